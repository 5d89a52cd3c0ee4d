package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/**
 * HTTP client for whole messages on one connection, one request at a time, with response bodies of at most
 * {@link MessageLimits#maxBodyBytes}. The connection is reused under the conditions of {@link ClientStream}.
 */
public final class ClientConnection {

    /** Receives the outcome of a request: exactly one of its methods is called, once. */
    public interface ResponseHandler {

        void onResponse(Message.Response response);

        /**
         * The request failed without a response.
         *
         * @param neverRan whether not a byte of the request was written
         */
        void onFailure(boolean neverRan, CloseReason reason, String detail);
    }

    private final ClientStream stream;

    private ClientConnection(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientConnection> onClosed) {
        this.stream = ClientStream.openWithBodyLimit(loop, from, to, options, limits,
                closed -> onClosed.accept(this));
    }

    /** Opens a connection; {@code onClosed} is called once when it is closed. */
    public static ClientConnection open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientConnection> onClosed) {
        return new ClientConnection(loop, from, to, options, limits, onClosed);
    }

    /** Sends a request; the connection must be {@link #isAvailable}. */
    public void send(Message.Request request, ResponseHandler responseHandler) {
        stream.sendHead(new MessagePart.RequestHead(request.method(), request.target(),
                request.minorVersion(), request.fields(), request.body().length),
                new ResponseAssembler(responseHandler));
        stream.write(ByteBuffer.wrap(request.body()));
        stream.endRequest(new HttpFields());
    }

    /** Assembles a whole response and passes it on. */
    private static final class ResponseAssembler implements ClientStream.ResponseHandler {
        private final ResponseHandler responseHandler;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream(0);
        private MessagePart.ResponseHead head;

        ResponseAssembler(ResponseHandler responseHandler) {
            this.responseHandler = responseHandler;
        }

        @Override
        public void onResponseHead(MessagePart.ResponseHead newHead) {
            head = newHead;
        }

        @Override
        public void onResponseContent(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            content.write(copy, 0, copy.length);
        }

        @Override
        public void onResponseEnd(HttpFields trailers) {
            responseHandler.onResponse(new Message.Response(head.status(), head.reason(), head.minorVersion(),
                    head.fields(), content.toByteArray()));
        }

        @Override
        public void onFailure(boolean neverRan, CloseReason reason, String detail) {
            responseHandler.onFailure(neverRan, reason, detail);
        }
    }

    /** Whether a request can be sent: none is in progress, and the connection can be reused. */
    public boolean isAvailable() {
        return stream.isAvailable();
    }

    /** When the connection last became available, by the loop's clock. */
    public long idleSince() {
        return stream.idleSince();
    }

    /** Cancels the request in progress: its handler is not called again, and the connection closes. */
    public void cancel() {
        stream.cancel();
    }

    public boolean isClosed() {
        return stream.isClosed();
    }
}
