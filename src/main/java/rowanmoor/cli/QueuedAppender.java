package rowanmoor.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Log appender that writes on a separate thread and never blocks the caller: an event loop must not stall
 * because standard error is not read. Lines that do not fit into the queue are dropped; the next line that
 * fits is preceded by one with the number of dropped lines.
 */
public final class QueuedAppender extends AsyncAppender {

    private static final int MAX_FLUSH_MS = 1000;

    private final AtomicLong droppedLines = new AtomicLong();

    public QueuedAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
        setMaxFlushTime(MAX_FLUSH_MS);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() < 2) {
            droppedLines.incrementAndGet();
            return;
        }
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
            super.append(new LoggingEvent(QueuedAppender.class.getName(), ((LoggerContext) getContext())
                    .getLogger(QueuedAppender.class), Level.WARN, "log lines dropped: {}", null,
                    new Object[] {dropped}));
        }
        super.append(event);
    }
}
