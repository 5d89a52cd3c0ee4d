package rowanmoor.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands log lines to a thread of its own and never waits: a loop that logs must not stand still because
 * nobody reads its standard error. What does not fit is dropped; the next line that does tells how many were.
 */
public final class QueuedAppender extends AsyncAppender {

    private final AtomicLong dropped = new AtomicLong();

    public QueuedAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
        setMaxFlushTime(1000);
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() < 2) {
            dropped.incrementAndGet();
            return;
        }
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            super.append(new LoggingEvent(QueuedAppender.class.getName(), ((LoggerContext) getContext())
                    .getLogger(QueuedAppender.class), Level.WARN, "log lines dropped: {}", null,
                    new Object[] {lost}));
        }
        super.append(event);
    }
}
