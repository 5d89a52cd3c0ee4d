package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import rowanmoor.net.Close;
import rowanmoor.net.Connection;
import rowanmoor.net.Loop;

/**
 * Asks over one connection with whole messages, one request at a time, answers held within
 * {@link Limits#body}. When it can be asked again is as {@link ClientStream} has it.
 */
public final class ClientConnection {

    /** Hears what becomes of a request: exactly one of its methods is called, once. */
    public interface Answer {

        void answered(Message.Response response);

        /** No answer will come. {@code neverRan}: not a byte of the request was written. */
        void failed(boolean neverRan, Close why, String detail);
    }

    private final ClientStream stream;

    private ClientConnection(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, Limits limits, Consumer<ClientConnection> onGone) {
        this.stream = ClientStream.openWhole(loop, from, to, options, limits, gone -> onGone.accept(this));
    }

    /** Opens a connection; {@code onGone} hears once that the connection is over. */
    public static ClientConnection open(Loop loop, InetSocketAddress from, InetSocketAddress to,
            Connection.Options options, Limits limits, Consumer<ClientConnection> onGone) {
        return new ClientConnection(loop, from, to, options, limits, onGone);
    }

    /** Sends a request; the connection must be {@link #free}. */
    public void ask(Message.Request request, Answer answer) {
        stream.ask(new Part.RequestHead(request.method(), request.target(), request.minor(), request.fields(),
                request.body().length), new Whole(answer));
        stream.write(ByteBuffer.wrap(request.body()));
        stream.end(new Fields());
    }

    /** Puts an answer together and hands it over. */
    private static final class Whole implements ClientStream.Answer {
        private final Answer answer;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream(0);
        private Part.ResponseHead head;

        Whole(Answer answer) {
            this.answer = answer;
        }

        @Override
        public void head(Part.ResponseHead begun) {
            head = begun;
        }

        @Override
        public void content(ByteBuffer bytes) {
            byte[] piece = new byte[bytes.remaining()];
            bytes.get(piece);
            content.write(piece, 0, piece.length);
        }

        @Override
        public void whole(Fields trailers) {
            answer.answered(new Message.Response(head.status(), head.reason(), head.minor(), head.fields(),
                    content.toByteArray()));
        }

        @Override
        public void failed(boolean neverRan, Close why, String detail) {
            answer.failed(neverRan, why, detail);
        }
    }

    /** Whether a request can be sent: none is in work, and the last answer left the connection usable. */
    public boolean free() {
        return stream.free();
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
