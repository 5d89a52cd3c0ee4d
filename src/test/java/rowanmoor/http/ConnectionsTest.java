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

/** HTTP client and server connections on the in-memory network. */
class ConnectionsTest {

    private static final long MS = 1_000_000;
    private final MemoryNet net = new MemoryNet(0, 5);
    private final Loop loop = net.newLoop(e -> {
        throw new AssertionError(e);
    });
    private final List<String> requestedTargets = new ArrayList<>();
    private final List<ServerConnection.Exchange> exchanges = new ArrayList<>();
    private int abortedCount;

    private InetSocketAddress serve(boolean immediately) throws IOException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return loop.listen(any, Connection.Options.defaults(), c -> new ServerConnection(MessageLimits.defaults(),
                new ServerConnection.Service() {
                    @Override
                    public void onRequest(Message.Request request, ServerConnection.Exchange exchange) {
                        requestedTargets.add(request.target());
                        exchanges.add(exchange);
                        if (immediately) {
                            exchange.respond(Message.Response.of(200, request.target()));
                        }
                    }

                    @Override
                    public void onAborted(ServerConnection.Exchange exchange) {
                        abortedCount++;
                    }
                })).address();
    }

    private Connection connectRaw(InetSocketAddress to, StringBuilder received) {
        return loop.connect(null, to, Connection.Options.defaults(), new ConnectionHandler() {
            @Override
            public void onData(Connection connection, ByteBuffer bytes) {
                received.append(StandardCharsets.ISO_8859_1.decode(bytes));
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
    void pipelinedRequestsAreServedOneByOneInOrder() throws IOException {
        StringBuilder received = new StringBuilder();
        connectRaw(serve(false), received).send(get("/1", "/2", "/3"));
        net.runFor(10 * MS);
        assertEquals(List.of("/1"), requestedTargets);
        for (int i = 0; i < 3; i++) {
            assertTrue(exchanges.get(i).respond(Message.Response.of(200, "response " + i)));
            net.runFor(10 * MS);
        }
        assertEquals(List.of("/1", "/2", "/3"), requestedTargets);
        assertTrue(received.indexOf("response 0") < received.indexOf("response 1"));
        assertTrue(received.indexOf("response 1") < received.indexOf("response 2"));
        requestedTargets.clear();
        connectRaw(serve(true), received).send(get("/4", "/5", "/6"));
        net.runFor(10 * MS);
        assertEquals(List.of("/4", "/5", "/6"), requestedTargets);
    }

    @Test
    void disconnectIsReportedOnceAndExchangeRejectsResponse() throws IOException {
        Connection connection = connectRaw(serve(false), new StringBuilder());
        connection.send(get("/1"));
        net.runFor(10 * MS);
        connection.close(CloseReason.LOCAL, "gone");
        net.runFor(10 * MS);
        assertEquals(1, abortedCount);
        assertFalse(exchanges.get(0).respond(Message.Response.of(200, "")));
    }

    @Test
    void surplusResponseIsNotMatchedToNextRequest() throws IOException {
        InetSocketAddress to = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Connection.Options.defaults(), c -> new ConnectionHandler() {
                    @Override
                    public void onData(Connection connection, ByteBuffer bytes) {
                        bytes.position(bytes.limit());
                        connection.send(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                                + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb").getBytes()));
                    }
                }).address();
        List<String> outcomes = new ArrayList<>();
        ClientConnection client = ClientConnection.open(loop, null, to, Connection.Options.defaults(),
                MessageLimits.defaults(), c -> { });
        client.send(Message.Request.get("/", "Host", "h"), new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                outcomes.add(new String(response.body()));
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason reason, String detail) {
                outcomes.add(reason.toString());
            }
        });
        net.runFor(10 * MS);
        assertEquals(List.of("a"), outcomes);
        assertFalse(client.isAvailable());
    }

    @Test
    void neverRanIsReportedOnlyWithoutConnection() throws IOException {
        List<Boolean> neverRanReports = new ArrayList<>();
        ClientConnection.ResponseHandler handler = new ClientConnection.ResponseHandler() {
            @Override
            public void onResponse(Message.Response response) {
                throw new AssertionError("unexpected response");
            }

            @Override
            public void onFailure(boolean neverRan, CloseReason reason, String detail) {
                neverRanReports.add(neverRan);
            }
        };
        InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
        ClientConnection.open(loop, null, unusedAddress, Connection.Options.defaults(), MessageLimits.defaults(),
                c -> { })
                .send(Message.Request.get("/", "Host", "h"), handler);
        net.runFor(10 * MS);
        ClientConnection.open(loop, null, serve(false), Connection.Options.defaults(), MessageLimits.defaults(),
                c -> { })
                .send(Message.Request.get("/", "Host", "h"), handler);
        net.runFor(10 * MS);
        exchanges.get(0).abort();
        net.runFor(10 * MS);
        assertEquals(List.of(true, false), neverRanReports);
    }
}
