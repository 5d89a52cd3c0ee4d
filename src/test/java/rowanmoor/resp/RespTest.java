package rowanmoor.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Framing: split at every byte, bounded, strict. */
class RespTest {

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<List<String>> read(RespReader reader, ByteBuffer bytes) throws RespException {
        List<List<String>> all = new ArrayList<>();
        for (List<String> m = reader.next(bytes); m != null; m = reader.next(bytes)) {
            all.add(m);
        }
        return all;
    }

    @Property(tries = 200)
    void whatIsWrittenIsReadWhereverItIsSplit(@ForAll @Size(min = 1, max = 6) List<String> parts)
            throws RespException {
        byte[] wire = RespWriter.encode(parts).array();
        int length = RespWriter.encode(parts).remaining();
        List<String> sent = parts.stream().map(p -> new String(p.getBytes(StandardCharsets.UTF_8),
                StandardCharsets.UTF_8)).toList();
        for (int split = 0; split <= length; split++) {
            RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 16);
            List<List<String>> all = read(reader, ByteBuffer.wrap(wire, 0, split));
            all.addAll(read(reader, ByteBuffer.wrap(wire, split, length - split)));
            assertEquals(List.of(sent), all);
        }
    }

    @Test
    void messagesFollowEachOther() throws RespException {
        RespReader reader = new RespReader(100, 4);
        assertEquals(List.of(List.of("a"), List.of("", "b")),
                read(reader, bytes("*1\r\n$1\r\na\r\n*2\r\n$0\r\n\r\n$1\r\nb\r\n*1\r\n$5\r\nab")));
        assertTrue(reader.inMessage());
    }

    @Test
    void whatCannotBeReadIsRefusedAtOnceAndForGood() {
        for (String bad : List.of("GET / HTTP/1.1\r\n", "+OK\r\n", "*-1\r\n", "*0\r\n", "*\r\n", "*1\n", "*1\r\r",
                "*5\r\n", "*99999999", "*1\r\n:5\r\n", "*1\r\n$-1\r\n", "*1\r\n$2\r\nabc", "*1\r\n$1\r\na\n",
                "*1\r\n$101\r\n", "*1\r\n$+1\r\n", "*1\r\n$12345678")) {
            RespReader reader = new RespReader(100, 4);
            assertThrows(RespException.class, () -> reader.next(bytes(bad)), bad);
            assertThrows(RespException.class, () -> reader.next(bytes("*1\r\n$1\r\na\r\n")), bad);
        }
    }

    @Test
    void endlessMessagesMeetTheBound() {
        RespReader reader = new RespReader(100, 4);
        assertThrows(RespException.class, () -> {
            reader.next(bytes("*4\r\n"));
            for (int i = 0; i < 3; i++) {
                assertNull(reader.next(bytes("$30\r\n" + "x".repeat(30) + "\r\n")));
            }
        });
    }

    @Test
    void anAnnouncedLengthTakesNoMemory() throws Exception {
        List<RespReader> all = new ArrayList<>();
        for (int i = 0; i < 2000; i++) { // 2 GiB if it were believed
            RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 4);
            assertNull(reader.next(bytes("*1\r\n$1000000\r\nx")));
            all.add(reader);
        }
        assertEquals(2000, all.stream().filter(RespReader::inMessage).count());
    }
}
