package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.CloseReason;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/**
 * Asks over one connection with whole messages, one request at a time, answers held within
 * {@link MessageLimits#maxBodyBytes}. When it can be asked again is as {@link ClientStream} has it.
 */
public final class ClientConnection {

    /** Hears what becomes of a request: exactly one of its methods is called, once. */
    public interface ResponseHandler {

        void onResponse(Message.Response response);

        /** No answer will come. {@code neverRan}: not a byte of the request was written. */
        void onFailure(boolean neverRan, CloseReason why, String detail);
    }

    private final ClientStream stream;

    private ClientConnection(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientConnection> onGone) {
        this.stream = ClientStream.openWhole(loop, from, to, options, limits, gone -> onGone.accept(this));
    }

    /** Opens a connection; {@code onGone} hears once that the connection is over. */
    public static ClientConnection open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, MessageLimits limits, Consumer<ClientConnection> onGone) {
        return new ClientConnection(loop, from, to, options, limits, onGone);
    }

    /** Sends a request; the connection must be {@link #isAvailable}. */
    public void send(Message.Request request, ResponseHandler answer) {
        stream.sendHead(new MessagePart.RequestHead(request.method(), request.target(), request.minorVersion(), request.fields(),
                request.body().length), new Whole(answer));
        stream.write(ByteBuffer.wrap(request.body()));
        stream.endRequest(new HttpFields());
    }

    /** Puts an answer together and hands it over. */
    private static final class Whole implements ClientStream.ResponseHandler {
        private final ResponseHandler answer;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream(0);
        private MessagePart.ResponseHead head;

        Whole(ResponseHandler answer) {
            this.answer = answer;
        }

        @Override
        public void onResponseHead(MessagePart.ResponseHead begun) {
            head = begun;
        }

        @Override
        public void onResponseContent(ByteBuffer bytes) {
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            content.write(piece, 0, piece.length);
        }

        @Override
        public void onResponseEnd(HttpFields trailers) {
            answer.onResponse(new Message.Response(head.status(), head.reason(), head.minorVersion(), head.fields(),
                    content.toByteArray()));
        }

        @Override
        public void onFailure(boolean neverRan, CloseReason why, String detail) {
            answer.onFailure(neverRan, why, detail);
        }
    }

    /** Whether a request can be sent: none is in work, and the last answer left the connection usable. */
    public boolean isAvailable() {
        return stream.isAvailable();
    }

    /** When it last became free, by the loop's clock. */
    public long idleSince() {
        return stream.idleSince();
    }

    /** Gives the request in work up: nothing more is heard of it, and the connection closes. */
    public void cancel() {
        stream.cancel();
    }

    public boolean isClosed() {
        return stream.isClosed();
    }
}
