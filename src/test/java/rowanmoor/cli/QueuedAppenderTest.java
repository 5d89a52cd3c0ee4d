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

@Timeout(30)
class QueuedAppenderTest {

    @Test
    void aReaderThatStopsHoldsNoLoopUpAndTheLossIsToldOnceItReads() throws InterruptedException {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        List<String> read = new CopyOnWriteArrayList<>();
        AppenderBase<ILoggingEvent> reader = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                stuck.countDown();
                try {
                    goOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                read.add(event.getFormattedMessage());
            }
        };
        reader.setContext(context);
        reader.start();
        QueuedAppender queue = new QueuedAppender();
        queue.setContext(context);
        queue.setQueueSize(16);
        queue.addAppender(reader);
        queue.start();
        Logger log = context.getLogger("a loop");
        log.addAppender(queue);
        log.info("first");
        stuck.await();
        for (int i = 0; i < 1000; i++) {
            log.info("line {}", i); // the test's limit of time is the check that none of these waits
        }
        goOn.countDown();
        while (queue.getNumberOfElementsInQueue() > 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        log.info("last");
        context.stop();
        assertEquals("first", read.get(0));
        assertEquals("last", read.get(read.size() - 1));
        String told = read.get(read.size() - 2);
        assertTrue(told.startsWith("log lines dropped: "), told);
        int lost = Integer.parseInt(told.substring(told.indexOf(':') + 2));
        assertEquals(1000, lost + read.size() - 3, "every line was written or counted");
    }
}
