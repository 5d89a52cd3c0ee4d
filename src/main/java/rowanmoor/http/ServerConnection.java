package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import rowanmoor.net.Connection;

/**
 * Serves one connection with whole messages, content held within {@link Limits#body}. What is refused, how
 * requests sent ahead wait and when a client has given up is as {@link ServerStream} has it.
 */
public class ServerConnection extends ServerStream {

    /** Answers requests. */
    public interface Service {

        /** A request came; answer it through the exchange, now or later. */
        void request(Message.Request request, Exchange exchange);

        /** The client of an unanswered exchange is gone. */
        default void abandoned(Exchange exchange) { }
    }

    /** One request's way back. */
    public static final class Exchange {
        private final ServerStream.Exchange parts;
        /** Free for the service's own use. */
        public Object tag;

        private Exchange(ServerStream.Exchange parts) {
            this.parts = parts;
        }

        public Connection connection() {
            return parts.connection();
        }

        /** Answers; only the first call counts. False if the client is gone or was answered. */
        public boolean answer(Message.Response response) {
            Part.ResponseHead head = new Part.ResponseHead(response.status(), response.reason(), 1,
                    response.fields(), response.body().length);
            if (!parts.begin(head)) {
                return false;
            }
            parts.write(ByteBuffer.wrap(response.body()));
            parts.end(new Fields());
            return true;
        }

        /** Breaks the connection: for stand-ins that fail on purpose. */
        public void breakOff() {
            parts.breakOff();
        }
    }

    /** Puts a request together and hands it over. */
    private record Whole(Service service) implements ServerStream.Service {

        @Override
        public void begun(ServerStream.Exchange parts) {
            Exchange exchange = new Exchange(parts);
            parts.tag = exchange;
            ByteArrayOutputStream content = new ByteArrayOutputStream(0);
            parts.to(new Body() {
                @Override
                public void piece(ByteBuffer bytes) {
                    byte[] piece = new byte[bytes.remaining()];
                    bytes.get(piece);
                    content.write(piece, 0, piece.length);
                }

                @Override
                public void end(Fields trailers) {
                    Part.RequestHead head = parts.head();
                    service.request(new Message.Request(head.method(), head.target(), head.minor(),
                            head.fields(), content.toByteArray()), exchange);
                }
            });
        }

        @Override
        public void gone(ServerStream.Exchange parts) {
            if (parts.asked()) {
                service.abandoned((Exchange) parts.tag);
            }
        }
    }

    public ServerConnection(Limits limits, Service service) {
        super(limits, new Whole(service));
    }
}
