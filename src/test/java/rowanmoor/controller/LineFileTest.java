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

/** A file on a disk that is slow, stands still or is full. */
@Timeout(30)
class LineFileTest {

    private final List<String> lost = new CopyOnWriteArrayList<>();

    @Test
    void linesAreWrittenInOrder() {
        StringWriter to = new StringWriter();
        AsyncLineWriter file = new AsyncLineWriter(to, 1000, lost::add);
        file.offer("a");
        file.offer("b");
        file.close();
        assertEquals("a\nb\n", to.toString());
        assertEquals(List.of(), lost);
    }

    @Test
    void aDiskThatStandsStillHoldsNobodyUpAndIsToldOnce() throws InterruptedException {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        Writer still = new StringWriter() {
            @Override
            public void write(char[] cs, int from, int count) {
                stuck.countDown();
                try {
                    goOn.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        AsyncLineWriter file = new AsyncLineWriter(still, 1000, lost::add);
        file.offer("first");
        stuck.await();
        for (int i = 0; i < 1000; i++) {
            file.offer("0123456789");
        }
        assertFalse(file.isOpen());
        assertEquals(1, lost.size(), lost.toString());
        assertTrue(lost.get(0).contains("wait to be written"), lost.get(0));
        goOn.countDown();
        file.close();
    }

    @Test
    void aFullDiskEndsTheFileAndIsToldOnce() {
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
        AsyncLineWriter file = new AsyncLineWriter(full, 1 << 20, lost::add);
        file.offer("x");
        file.close();
        file.offer("after the end nothing is taken");
        assertFalse(file.isOpen());
        assertEquals(List.of("no space left"), lost);
    }
}
