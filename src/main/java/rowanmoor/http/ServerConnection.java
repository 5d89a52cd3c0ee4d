package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import rowanmoor.net.Connection;

/**
 * Serves one connection with whole messages, content held within {@link MessageLimits#maxBodyBytes}. What is refused, how
 * requests sent ahead wait and when a client has given up is as {@link ServerStream} has it.
 */
public class ServerConnection extends ServerStream {

    /** Answers requests. */
    public interface Service {

        /** A request came; answer it through the exchange, now or later. */
        void onRequest(Message.Request request, Exchange exchange);

        /** The client of an unanswered exchange is gone. */
        default void onAborted(Exchange exchange) { }
    }

    /** One request's way back. */
    public static final class Exchange {
        private final ServerStream.Exchange parts;
        /** Free for the service's own use. */
        public Object attachment;

        private Exchange(ServerStream.Exchange parts) {
            this.parts = parts;
        }

        public Connection connection() {
            return parts.connection();
        }

        /** Answers; only the first call counts. False if the client is gone or was answered. */
        public boolean respond(Message.Response response) {
            MessagePart.ResponseHead head = new MessagePart.ResponseHead(response.status(), response.reason(), 1,
                    response.fields(), response.body().length);
            if (!parts.beginResponse(head)) {
                return false;
            }
            parts.write(ByteBuffer.wrap(response.body()));
            parts.endResponse(new HttpFields());
            return true;
        }

        /** Breaks the connection: for stand-ins that fail on purpose. */
        public void abort() {
            parts.abort();
        }
    }

    /** Puts a request together and hands it over. */
    private record Whole(Service service) implements ServerStream.Service {

        @Override
        public void onRequest(ServerStream.Exchange parts) {
            Exchange exchange = new Exchange(parts);
            parts.attachment = exchange;
            ByteArrayOutputStream content = new ByteArrayOutputStream(0);
            parts.setBodyConsumer(new BodyConsumer() {
                @Override
                public void onRequestContent(ByteBuffer bytes) {
                    byte[] piece = new byte[bytes.remaining()];
                    bytes.get(piece);
                    content.write(piece, 0, piece.length);
                }

                @Override
                public void onRequestEnd(HttpFields trailers) {
                    MessagePart.RequestHead head = parts.head();
                    service.onRequest(new Message.Request(head.method(), head.target(), head.minorVersion(),
                            head.fields(), content.toByteArray()), exchange);
                }
            });
        }

        @Override
        public void onAborted(ServerStream.Exchange parts) {
            if (parts.isRequestComplete()) {
                service.onAborted((Exchange) parts.attachment);
            }
        }
    }

    public ServerConnection(MessageLimits limits, Service service) {
        super(limits, new Whole(service));
    }
}
