/**
 * Command line. A command runs its event loop on the main thread; {@code QueuedAppender} writes log lines
 * on a separate thread.
 */
package rowanmoor.cli;
