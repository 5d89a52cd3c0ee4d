/**
 * Days: scripted runs of real controllers and proxies on stand-ins, with troubles, judged from what crossed
 * the sockets. Job: play, judge, report. Thread rule: a ground's parts stay on their loops; evidence is read
 * after the loops have ended. {@code RuleChecker} and {@code ProxyStateModel} do no I/O.
 */
package rowanmoor.lab;
