package rowanmoor.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Usage;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;
import rowanmoor.settings.SettingsReaderTest;

/** The bench protocol: decoding, encoding, and several instances on one connection. */
class BenchServerTest {

    private static final Backend BACKEND = new Backend(0x0a0102031f40L);
    private static final String BACKEND_HEX = "0a010203401f";

    static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static ByteBuffer record(int code, String fields) {
        byte[] body = hex(fields);
        return ByteBuffer.allocate(5 + body.length).order(ByteOrder.LITTLE_ENDIAN).put((byte) code)
                .putInt(body.length).put(body).rewind();
    }

    private static Object event(BatchDecoder decoder, int code, String fields) {
        return ((BatchDecoder.InstanceEvent) decoder.next(record(code, fields))).event();
    }

    static byte[] batch(int number, long now, ByteBuffer... records) {
        int size = 0;
        for (ByteBuffer r : records) {
            size += r.capacity();
        }
        ByteBuffer out = ByteBuffer.allocate(20 + size).order(ByteOrder.LITTLE_ENDIAN);
        out.putInt(number).putInt(12 + size).putInt(records.length).putLong(now);
        for (ByteBuffer r : records) {
            out.put(r.array());
        }
        return out.array();
    }

    private static byte[] serve(byte[]... batches) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.writeBytes(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BenchServer().serve(new ByteArrayInputStream(in.toByteArray()), out);
        return out.toByteArray();
    }

    @Test
    void eventsAreDecoded() {
        BatchDecoder decoder = new BatchDecoder();
        assertEquals(new ProxyJoined(41, 1, 6.5, true), event(decoder, 70, "03000000 2900 0100 0000d040 01"));
        assertEquals(new ProxyLeft(41), event(decoder, 80, "05000000 2900"));
        assertEquals(new Usage(41, 1, 9, 2, 5), event(decoder, 110,
                "03000000 2900 0100 09000000 02000000 0500000000000000"));
        assertEquals(new Tally(BACKEND, 1, 14, 3, 7, 9, List.of(2.0, 14.5)), event(decoder, 100,
                "03000000 0700000000000000" + BACKEND_HEX
                        + "0900000000000000 03000000 0100 0e000000 02 00000040 00006841"));
        assertEquals(new Probed(BACKEND, true, 10, 8, List.of()), event(decoder, 40,
                "03000000 0a00 0800000000000000" + BACKEND_HEX + "00"));
    }

    @Test
    void eventUsesTheCatalogThatItsSlotHeldWhenItArrived() {
        BatchDecoder decoder = new BatchDecoder();
        String entry = BACKEND_HEX + "0100 0000 0200 01 0000c03f 0500000000000000";
        decoder.next(record(150, "0300 01000000" + entry));
        Members members = (Members) event(decoder, 20, "03000000 00 29000000 0300");
        assertEquals(List.of(new Member(BACKEND, 1, 0, 2, Availability.READY, 1.5, 5)), members.entries());
        decoder.next(record(150, "0300 00000000"));
        assertEquals(List.of(), ((Members) event(decoder, 20, "03000000 01 2a000000 0300")).entries());
        assertThrows(MalformedBatchException.class, () -> event(decoder, 20, "03000000 01 2a000000 0400"));
    }

    @Test
    void actionsAreEncoded() {
        ReplyEncoder reply = new ReplyEncoder();
        reply.add(3, new Watch(true));
        reply.add(3, new Admit(117, 2, 0.75, RetryPolicy.ONCE_UNRUN));
        reply.add(3, new Log("ab"));
        reply.add(3, new Mark(12));
        reply.add(3, new Probe(BACKEND));
        reply.add(3, new Withdraw(BACKEND, true));
        reply.add(3, new SetLine(117, BACKEND, 0.75));
        reply.add(3, new TimerAt(7, 77));
        reply.add(3, new Bind(41, 117, 0));
        reply.addFailure(3, "x");
        assertArrayEquals(hex("05000000 a3000000 0a000000"
                + "0a 05000000 03000000 01"
                + "14 0d000000 03000000 7500 0200 0000403f 01"
                + "1e 08000000 03000000 0200 6162"
                + "32 09000000 03000000 0c000000 00"
                + "3c 0a000000 03000000" + BACKEND_HEX
                + "46 0b000000 03000000" + BACKEND_HEX + "01"
                + "50 10000000 03000000" + BACKEND_HEX + "0000403f 7500"
                + "64 14000000 03000000 0700000000000000 4d00000000000000"
                + "6e 0a000000 03000000 2900 7500 0000"
                + "82 07000000 03000000 0100 78"), reply.encode(5));
    }

    @Test
    void emptyBatchGetsAnEmptyReplyAndEndOfInputEndsTheServer() throws IOException {
        assertArrayEquals(hex("01000000 04000000 00000000"), serve(batch(1, 9)));
        assertEquals(0, serve().length);
    }

    @Test
    void truncatedAndInvalidBatchesAreReported() {
        byte[] whole = batch(1, 9, record(30, "03000000 0700000000000000"));
        for (int cut = 1; cut < whole.length; cut++) {
            byte[] part = java.util.Arrays.copyOf(whole, cut);
            MalformedBatchException e = assertThrows(MalformedBatchException.class, () -> serve(part));
            assertTrue(e.getMessage().contains("ends within"), e.getMessage());
        }
        assertThrows(MalformedBatchException.class, () -> serve(hex("01000000 02000000 00000000 00000000")));
        assertThrows(MalformedBatchException.class, () -> serve(batch(1, 9, record(30, "03000000"))));
        assertThrows(MalformedBatchException.class, () -> serve(batch(1, 9, record(20, "03000000 09 00000000 0000"))));
    }

    @Test
    void unknownEventCodesAreIgnored() throws IOException {
        assertArrayEquals(hex("02000000 04000000 00000000"),
                serve(batch(2, 9, record(200, "0102"), record(145, "03000000"), record(5, ""))));
    }

    static ByteBuffer start(int instance, long seed) {
        byte[] settings = SettingsReaderTest.SETTINGS.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(21 + settings.length).order(ByteOrder.LITTLE_ENDIAN).put((byte) 10)
                .putInt(16 + settings.length).putInt(instance).putLong(seed).putInt(settings.length).put(settings).rewind();
    }

    private static ByteBuffer[] startWithOneBackend(int instance) {
        String entry = BACKEND_HEX + "0000 0000 0000 01 0000803f 0000000000000000";
        String id = String.format("%02x000000", instance);
        return new ByteBuffer[] {start(instance, 5), record(150, "0000 01000000" + entry),
            record(20, id + "02 01000000 0000"), record(70, id + "0100 0000 00000041 01")};
    }

    /** Returns the records of each instance in a sequence of replies. */
    private static TreeMap<Integer, List<String>> byInstance(byte[] replies) {
        TreeMap<Integer, List<String>> records = new TreeMap<>();
        ByteBuffer in = ByteBuffer.wrap(replies).order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            in.position(in.position() + 8);
            for (int left = in.getInt(); left > 0; left--) {
                int code = in.get();
                byte[] fields = new byte[in.getInt()];
                in.get(fields);
                records.computeIfAbsent((int) fields[0], k -> new ArrayList<>())
                        .add(code + HexFormat.of().formatHex(fields, 4, fields.length));
            }
        }
        return records;
    }

    @Test
    void interleavedInstancesActAsEachAlone() throws IOException {
        ByteBuffer[] first = startWithOneBackend(1);
        ByteBuffer[] second = startWithOneBackend(2);
        byte[] both = serve(batch(1, 9, first[0], second[0], first[1], second[2], first[2], second[3],
                first[3]),
                batch(2, 2_000_000_009L, record(30, "01000000 0000000000000000"),
                        record(30, "02000000 0000000000000000")));
        byte[] alone = serve(batch(1, 9, first), batch(2, 2_000_000_009L, record(30,
                "01000000 0000000000000000")));
        TreeMap<Integer, List<String>> together = byInstance(both);
        assertEquals(byInstance(alone).get(1), together.get(1));
        assertEquals(together.get(1), together.get(2));
        assertTrue(together.get(1).size() > 3);
    }

    @Test
    void stoppedInstanceIsSilentAndARestartBeginsAnew() throws IOException {
        byte[] first = serve(batch(1, 9, startWithOneBackend(1)));
        byte[] again = serve(batch(1, 9, startWithOneBackend(1)), batch(2, 9, record(60, "01000000")),
                batch(3, 9, record(30, "01000000 0000000000000000")), batch(1, 9, startWithOneBackend(1)));
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        expected.writeBytes(first);
        expected.writeBytes(hex("02000000 04000000 00000000 03000000 04000000 00000000"));
        expected.writeBytes(first);
        assertArrayEquals(expected.toByteArray(), again);
    }

    @Test
    void exceptionInThePolicyIsReported() throws IOException {
        // A class that the settings do not have makes the policy throw.
        byte[] reply = serve(batch(1, 9, startWithOneBackend(1)),
                batch(2, 9, record(110, "01000000 0100 0900 09000000 00000000 0500000000000000")));
        assertTrue(byInstance(reply).get(1).stream().anyMatch(r -> r.startsWith("-126")), "a failure has code 130");
    }
}
