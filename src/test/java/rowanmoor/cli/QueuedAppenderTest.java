package rowanmoor.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A slow or blocked reader of standard error must not block the threads that log. */
@Timeout(30)
class QueuedAppenderTest {

    @Test
    void blockedReaderDoesNotBlockLoggingAndDroppedLinesAreReported() throws InterruptedException {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        CountDownLatch readerBlocked = new CountDownLatch(1);
        CountDownLatch releaseReader = new CountDownLatch(1);
        List<String> writtenLines = new CopyOnWriteArrayList<>();
        AppenderBase<ILoggingEvent> reader = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                readerBlocked.countDown();
                try {
                    releaseReader.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                writtenLines.add(event.getFormattedMessage());
            }
        };
        reader.setContext(context);
        reader.start();
        QueuedAppender appender = new QueuedAppender();
        appender.setContext(context);
        appender.setQueueSize(16);
        appender.addAppender(reader);
        appender.start();
        Logger log = context.getLogger("a loop");
        log.addAppender(appender);
        log.info("first");
        readerBlocked.await();
        for (int i = 0; i < 1000; i++) {
            log.info("line {}", i); // the timeout of the test checks that none of these calls blocks
        }
        releaseReader.countDown();
        while (appender.getNumberOfElementsInQueue() > 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        log.info("last");
        context.stop();
        assertEquals("first", writtenLines.get(0));
        assertEquals("last", writtenLines.get(writtenLines.size() - 1));
        String report = writtenLines.get(writtenLines.size() - 2);
        assertTrue(report.startsWith("log lines dropped: "), report);
        int dropped = Integer.parseInt(report.substring(report.indexOf(':') + 2));
        assertEquals(1000, dropped + writtenLines.size() - 3, "every line was written or counted");
    }
}
