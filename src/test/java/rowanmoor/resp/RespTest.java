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

/** RESP2 framing: messages split at any byte, size limits, invalid input. */
class RespTest {

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<List<String>> read(RespReader reader, ByteBuffer bytes) throws RespException {
        List<List<String>> messages = new ArrayList<>();
        for (List<String> message = reader.next(bytes); message != null; message = reader.next(bytes)) {
            messages.add(message);
        }
        return messages;
    }

    @Property(tries = 200)
    void encodedMessagesAreReadWhereverTheyAreSplit(@ForAll @Size(min = 1, max = 6) List<String> parts)
            throws RespException {
        byte[] encoded = RespWriter.encode(parts).array();
        int length = RespWriter.encode(parts).remaining();
        List<String> sent = parts.stream().map(p -> new String(p.getBytes(StandardCharsets.UTF_8),
                StandardCharsets.UTF_8)).toList();
        for (int split = 0; split <= length; split++) {
            RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 16);
            List<List<String>> messages = read(reader, ByteBuffer.wrap(encoded, 0, split));
            messages.addAll(read(reader, ByteBuffer.wrap(encoded, split, length - split)));
            assertEquals(List.of(sent), messages);
        }
    }

    @Test
    void consecutiveMessagesAreRead() throws RespException {
        RespReader reader = new RespReader(100, 4);
        assertEquals(List.of(List.of("a"), List.of("", "b")),
                read(reader, bytes("*1\r\n$1\r\na\r\n*2\r\n$0\r\n\r\n$1\r\nb\r\n*1\r\n$5\r\nab")));
        assertTrue(reader.inMessage());
    }

    @Test
    void invalidInputIsRejectedAtOnceAndForGood() {
        for (String invalid : List.of("GET / HTTP/1.1\r\n", "+OK\r\n", "*-1\r\n", "*0\r\n", "*\r\n", "*1\n", "*1\r\r",
                "*5\r\n", "*99999999", "*1\r\n:5\r\n", "*1\r\n$-1\r\n", "*1\r\n$2\r\nabc", "*1\r\n$1\r\na\n",
                "*1\r\n$101\r\n", "*1\r\n$+1\r\n", "*1\r\n$12345678")) {
            RespReader reader = new RespReader(100, 4);
            assertThrows(RespException.class, () -> reader.next(bytes(invalid)), invalid);
            assertThrows(RespException.class, () -> reader.next(bytes("*1\r\n$1\r\na\r\n")), invalid);
        }
    }

    @Test
    void messageOverTheLimitIsRejected() {
        RespReader reader = new RespReader(100, 4);
        assertThrows(RespException.class, () -> {
            reader.next(bytes("*4\r\n"));
            for (int i = 0; i < 3; i++) {
                assertNull(reader.next(bytes("$30\r\n" + "x".repeat(30) + "\r\n")));
            }
        });
    }

    @Test
    void announcedLengthAllocatesNoMemory() throws Exception {
        List<RespReader> readers = new ArrayList<>();
        for (int i = 0; i < 2000; i++) { // 2 GiB if the announced lengths were allocated
            RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 4);
            assertNull(reader.next(bytes("*1\r\n$1000000\r\nx")));
            readers.add(reader);
        }
        assertEquals(2000, readers.stream().filter(RespReader::inMessage).count());
    }
}
