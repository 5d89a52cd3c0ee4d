/**
 * The command line. Thread rule: a command runs its loop on the main thread; {@code QueuedAppender} writes
 * log lines on a thread of its own.
 */
package rowanmoor.cli;
