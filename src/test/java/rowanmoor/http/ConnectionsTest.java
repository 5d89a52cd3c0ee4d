package rowanmoor.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.ConnectionHandler;
import rowanmoor.net.Loop;
import rowanmoor.net.MemoryNet;

class ConnectionsTest {

    private static final long MS = 1_000_000;
    private final MemoryNet net = new MemoryNet(0, 5);
    private final Loop loop = net.newLoop(e -> {
        throw new AssertionError(e);
    });
    private final List<String> asked = new ArrayList<>();
    private final List<ServerConnection.Exchange> open = new ArrayList<>();
    private int abandoned;

    private InetSocketAddress serve(boolean atOnce) throws IOException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return loop.listen(any, Connection.Options.defaults(), c -> new ServerConnection(MessageLimits.defaults(),
                new ServerConnection.Service() {
                    @Override
                    public void onRequest(Message.Request request, ServerConnection.Exchange exchange) {
                        asked.add(request.target());
                        open.add(exchange);
                        if (atOnce) {
                            exchange.respond(Message.Response.of(200, request.target()));
                        }
                    }

                    @Override
                    public void onAborted(ServerConnection.Exchange exchange) {
                        abandoned++;
                    }
                })).address();
    }

    private Connection raw(InetSocketAddress to, StringBuilder heard) {
        return loop.connect(null, to, Connection.Options.defaults(), new ConnectionHandler() {
            @Override
            public void onData(Connection its, ByteBuffer bytes) {
                heard.append(StandardCharsets.ISO_8859_1.decode(bytes));
            }
        });
    }

    private static ByteBuffer get(String... targets) {
        StringBuilder text = new StringBuilder();
        for (String target : targets) {
            text.append("GET ").append(target).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void clientsPipeliningAreAnsweredOneByOneAndInOrder() throws IOException {
        StringBuilder heard = new StringBuilder();
        raw(serve(false), heard).send(get("/1", "/2", "/3"));
        net.runFor(10 * MS);
        assertEquals(List.of("/1"), asked);
        for (int i = 0; i < 3; i++) {
            assertTrue(open.get(i).respond(Message.Response.of(200, "answer " + i)));
            net.runFor(10 * MS);
        }
        assertEquals(List.of("/1", "/2", "/3"), asked);
        assertTrue(heard.indexOf("answer 0") < heard.indexOf("answer 1"));
        assertTrue(heard.indexOf("answer 1") < heard.indexOf("answer 2"));
        asked.clear();
        raw(serve(true), heard).send(get("/4", "/5", "/6"));
        net.runFor(10 * MS);
        assertEquals(List.of("/4", "/5", "/6"), asked);
    }

    @Test
    void aClientThatIsGoneIsToldOfOnceAndCannotBeAnswered() throws IOException {
        Connection connection = raw(serve(false), new StringBuilder());
        connection.send(get("/1"));
        net.runFor(10 * MS);
        connection.close(CloseReason.LOCAL, "gone");
        net.runFor(10 * MS);
        assertEquals(1, abandoned);
        assertFalse(open.get(0).respond(Message.Response.of(200, "")));
    }

    @Test
    void anAnswerBeyondTheOneAskedForDoesNotAnswerTheNextRequest() throws IOException {
        InetSocketAddress to = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Connection.Options.defaults(), c -> new ConnectionHandler() {
                    @Override
                    public void onData(Connection its, ByteBuffer bytes) {
                        bytes.position(bytes.limit());
                        its.send(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                                + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb").getBytes()));
                    }
                }).address();
        List<String> answers = new ArrayList<>();
        ClientConnection client = ClientConnection.open(loop, null, to, Connection.Options.defaults(),
                MessageLimits.defaults(), c -> { });
        client.send(Message.Request.get("/", "Host", "h"), new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                answers.add(new String(response.body()));
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason why, String detail) {
                answers.add(why.toString());
            }
        });
        net.runFor(10 * MS);
        assertEquals(List.of("a"), answers);
        assertFalse(client.isAvailable());
    }

    @Test
    void onlyAConnectionNeverMadeIsProofThatNothingRan() throws IOException {
        List<Boolean> proofs = new ArrayList<>();
        ClientConnection.ResponseHandler answer = new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                throw new AssertionError("answered");
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason why, String detail) {
                proofs.add(neverRan);
            }
        };
        InetSocketAddress nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
        ClientConnection.open(loop, null, nobody, Connection.Options.defaults(), MessageLimits.defaults(), c -> { })
                .send(Message.Request.get("/", "Host", "h"), answer);
        net.runFor(10 * MS);
        ClientConnection.open(loop, null, serve(false), Connection.Options.defaults(), MessageLimits.defaults(), c -> { })
                .send(Message.Request.get("/", "Host", "h"), answer);
        net.runFor(10 * MS);
        open.get(0).abort();
        net.runFor(10 * MS);
        assertEquals(List.of(true, false), proofs);
    }
}
