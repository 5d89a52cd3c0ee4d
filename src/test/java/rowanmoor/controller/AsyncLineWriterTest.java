package rowanmoor.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The line writer on a disk that works, hangs or is full. */
@Timeout(30)
class AsyncLineWriterTest {

    private final List<String> failures = new CopyOnWriteArrayList<>();

    @Test
    void linesAreWrittenInOrder() {
        StringWriter target = new StringWriter();
        AsyncLineWriter writer = new AsyncLineWriter(target, 1000, failures::add);
        writer.offer("a");
        writer.offer("b");
        writer.close();
        assertEquals("a\nb\n", target.toString());
        assertEquals(List.of(), failures);
    }

    @Test
    void hungDiskBlocksNoCallerAndIsReportedOnce() throws InterruptedException {
        CountDownLatch writeStarted = new CountDownLatch(1);
        CountDownLatch releaseWrite = new CountDownLatch(1);
        Writer hung = new StringWriter() {
            @Override
            public void write(char[] cs, int from, int count) {
                writeStarted.countDown();
                try {
                    releaseWrite.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        AsyncLineWriter writer = new AsyncLineWriter(hung, 1000, failures::add);
        writer.offer("first");
        writeStarted.await();
        for (int i = 0; i < 1000; i++) {
            writer.offer("0123456789");
        }
        assertFalse(writer.isOpen());
        assertEquals(1, failures.size(), failures.toString());
        assertTrue(failures.get(0).contains("write queue full"), failures.get(0));
        releaseWrite.countDown();
        writer.close();
    }

    @Test
    void fullDiskStopsTheWriterAndIsReportedOnce() {
        Writer full = new Writer() {
            @Override
            public void write(char[] cs, int from, int count) throws IOException {
                throw new IOException("no space left");
            }

            @Override
            public void flush() { }

            @Override
            public void close() { }
        };
        AsyncLineWriter writer = new AsyncLineWriter(full, 1 << 20, failures::add);
        writer.offer("x");
        writer.close();
        writer.offer("offered after close");
        assertFalse(writer.isOpen());
        assertEquals(List.of("no space left"), failures);
    }
}
