/**
 * Runs days: scripted test runs of real controllers and proxies on stand-ins, with injected troubles. The
 * rules are checked from the bytes that crossed the sockets, and the results are reported.
 *
 * <p>Threads: each part of a {@link rowanmoor.lab.TestBed} stays on its loop; evidence is read only after the
 * loops have ended. {@code RuleChecker} and {@code ProxyStateModel} do no I/O.
 */
package rowanmoor.lab;
