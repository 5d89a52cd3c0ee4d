package rowanmoor.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing and writing of whole messages: framing, limits, and the rejection of request smuggling. */
class ParserTest {

    private static final MessageLimits SMALL = new MessageLimits(64, 200, 8, 100);

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static Message.Request request(String text) throws HttpError {
        return (Message.Request) MessageParser.forRequests(SMALL).next(bytes(text));
    }

    @Test
    void parsesContentLengthAndChunkedWithTrailers() throws HttpError {
        assertArrayEquals("hello".getBytes(), request("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
                .body());
        Message.Request chunked = request("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nT: v\r\n\r\n");
        assertArrayEquals("hello".getBytes(), chunked.body());
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\nx",
        "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx",
        "GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX: a\u0000b\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
        "GE(T /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "\r\n\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhelX",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
        "GET /aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa HTTP/1.1\r\n"
    })
    void smugglingAndOversizeAreRejectedHoweverSplit(String text) {
        assertThrows(HttpError.class, () -> request(text));
        MessageParser parser = MessageParser.forRequests(SMALL);
        assertThrows(HttpError.class, () -> {
            for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
                parser.next(ByteBuffer.wrap(new byte[] {b}));
            }
        });
        assertThrows(HttpError.class, () -> parser.next(bytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    }

    @Test
    void tooManyFieldsReturn431() {
        HttpError error = assertThrows(HttpError.class, () ->
                request("GET /a HTTP/1.1\r\nHost: h\r\n" + "a: b\r\n".repeat(8) + "\r\n"));
        assertEquals(431, error.status());
    }

    @Test
    void headResponseHasNoContentAndUnframedResponseEndsAtClose() throws HttpError {
        MessageParser parser = MessageParser.forResponses(SMALL);
        parser.expectResponseTo("HEAD");
        Message.Response head = (Message.Response) parser.next(bytes(
                "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"));
        assertEquals(0, head.body().length);
        parser.expectResponseTo("GET");
        assertNull(parser.next(bytes("HTTP/1.1 200 OK\r\n\r\nup to the end")));
        assertArrayEquals("up to the end".getBytes(), parser.end().body());
        assertNull(parser.next(bytes("HTTP/1.1 200 OK\r\nContent-Le")));
        assertThrows(HttpError.class, parser::end);
    }

    @Property(seed = "19", tries = 100)
    void bothFramingsRoundTrip(@ForAll @Size(max = 100) byte[] body, @ForAll boolean chunked)
            throws HttpError {
        Message.Request sent = new Message.Request("PUT", "/a", 1, HttpFields.of("Host", "h", "X", "y z"), body);
        ByteBuffer wire = chunked ? Message.encodeChunked(sent, 7) : sent.encode();
        Message read = MessageParser.forRequests(SMALL).next(wire);
        assertArrayEquals(body, read.body());
        assertEquals("y z", read.fields().get("x"));
        assertEquals(0, wire.remaining());
    }

    /** Arbitrary input raises no exception but {@link HttpError}, and its result is the same wherever it is split. */
    @Property(seed = "17")
    void resultDoesNotDependOnHowInputIsSplit(@ForAll @Size(max = 120) byte[] randomBytes, @ForAll long seed) {
        String[] fragments = {"GET /a HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 3\r\n", "\r\n", "abc",
            "Transfer-Encoding: chunked\r\n", "2\r\n", "0\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\n",
            new String(randomBytes, StandardCharsets.ISO_8859_1)};
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 12; i++) {
            text.append(fragments[random.nextInt(fragments.length)]);
        }
        byte[] input = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        for (boolean requests : new boolean[] {true, false}) {
            String unsplit = parseInPieces(requests, input, input.length, random);
            assertEquals(unsplit, parseInPieces(requests, input, 1, random));
            assertEquals(unsplit, parseInPieces(requests, input, 9, random));
        }
    }

    private static String parseInPieces(boolean requests, byte[] input, int maxPieceBytes, Random random) {
        MessageParser parser = requests ? MessageParser.forRequests(SMALL) : MessageParser.forResponses(SMALL);
        List<String> results = new ArrayList<>();
        try {
            for (int at = 0; at < input.length;) {
                int count = Math.min(input.length - at, maxPieceBytes == input.length ? maxPieceBytes
                        : 1 + random.nextInt(maxPieceBytes));
                ByteBuffer piece = ByteBuffer.wrap(input, at, count);
                while (piece.hasRemaining()) {
                    Message message = parser.next(piece);
                    if (message != null) {
                        results.add(message.fields() + new String(message.body(), StandardCharsets.ISO_8859_1));
                    }
                }
                at += count;
            }
        } catch (HttpError e) {
            results.add(e.status() + e.getMessage());
        }
        return results.toString();
    }
}
