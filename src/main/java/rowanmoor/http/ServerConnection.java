package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import rowanmoor.net.Connection;

/**
 * HTTP server for whole messages on one connection, with request bodies of at most
 * {@link MessageLimits#maxBodyBytes}. What is rejected, how pipelined requests are buffered and when a client
 * has given up is as in {@link ServerStream}.
 */
public class ServerConnection extends ServerStream {

    /** Handles requests. */
    public interface Service {

        /** A request has arrived; respond through the exchange, now or later. */
        void onRequest(Message.Request request, Exchange exchange);

        /** The client disconnected before the response. */
        default void onAborted(Exchange exchange) { }
    }

    /** One request, and the means to respond to it. */
    public static final class Exchange {
        private final ServerStream.Exchange streamExchange;
        /** For the service's own use. */
        public Object attachment;

        private Exchange(ServerStream.Exchange streamExchange) {
            this.streamExchange = streamExchange;
        }

        public Connection connection() {
            return streamExchange.connection();
        }

        /** Responds; only the first call has an effect. False if the client is gone or has had a response. */
        public boolean respond(Message.Response response) {
            MessagePart.ResponseHead head = new MessagePart.ResponseHead(response.status(), response.reason(),
                    1, response.fields(), response.body().length);
            if (!streamExchange.beginResponse(head)) {
                return false;
            }
            streamExchange.write(ByteBuffer.wrap(response.body()));
            streamExchange.endResponse(new HttpFields());
            return true;
        }

        /** Resets the connection, for stand-ins that simulate failures. */
        public void abort() {
            streamExchange.abort();
        }
    }

    /** Assembles a whole request and passes it on. */
    private record RequestAssembler(Service service) implements ServerStream.Service {

        @Override
        public void onRequest(ServerStream.Exchange streamExchange) {
            Exchange exchange = new Exchange(streamExchange);
            streamExchange.attachment = exchange;
            ByteArrayOutputStream content = new ByteArrayOutputStream(0);
            streamExchange.setBodyConsumer(new BodyConsumer() {
                @Override
                public void onRequestContent(ByteBuffer bytes) {
                    byte[] copy = new byte[bytes.remaining()];
                    bytes.get(copy);
                    content.write(copy, 0, copy.length);
                }

                @Override
                public void onRequestEnd(HttpFields trailers) {
                    MessagePart.RequestHead head = streamExchange.head();
                    service.onRequest(new Message.Request(head.method(), head.target(), head.minorVersion(),
                            head.fields(), content.toByteArray()), exchange);
                }
            });
        }

        @Override
        public void onAborted(ServerStream.Exchange streamExchange) {
            if (streamExchange.isRequestComplete()) {
                service.onAborted((Exchange) streamExchange.attachment);
            }
        }
    }

    public ServerConnection(MessageLimits limits, Service service) {
        super(limits, new RequestAssembler(service));
    }
}
