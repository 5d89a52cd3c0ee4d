package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A complete HTTP/1.0 or HTTP/1.1 message; {@code minorVersion} is 0 or 1. */
public sealed interface Message {

    int minorVersion();

    HttpFields fields();

    byte[] body();

    /** Whether the connection stays open after this message (RFC 9112, 9.3). */
    default boolean isKeepAlive() {
        return minorVersion() == 1 ? !fields().hasToken("connection", "close")
                : fields().hasToken("connection", "keep-alive");
    }

    /** A request with its whole content. */
    record Request(String method, String target, int minorVersion, HttpFields fields, byte[] body)
            implements Message {

        /** A GET request without content; {@code fields} are alternating names and values. */
        public static Request get(String target, String... fields) {
            return new Request("GET", target, 1, HttpFields.of(fields), new byte[0]);
        }

        /** The target without its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        /** The first value of a query parameter, not percent-decoded, or null. */
        public String queryParameter(String key) {
            int at = target.indexOf('?');
            if (at < 0) {
                return null;
            }
            for (String pair : target.substring(at + 1).split("&")) {
                int equals = pair.indexOf('=');
                String name = equals < 0 ? pair : pair.substring(0, equals);
                if (name.equals(key)) {
                    return equals < 0 ? "" : pair.substring(equals + 1);
                }
            }
            return null;
        }

        /** The bytes on the wire, framed by Content-Length. */
        public ByteBuffer encode() {
            boolean framed = body.length > 0 || !method.equals("GET") && !method.equals("HEAD");
            return Message.encode(method + " " + target + " HTTP/1." + minorVersion, fields, body, framed);
        }
    }

    /** A response with its whole content. */
    record Response(int status, String reason, int minorVersion, HttpFields fields, byte[] body)
            implements Message {

        /** A response with a text as its content; {@code fields} are alternating names and values. */
        public static Response of(int status, String text, String... fields) {
            return new Response(status, ReasonPhrases.of(status), 1, HttpFields.of(fields),
                    text.getBytes(StandardCharsets.UTF_8));
        }

        /** The bytes on the wire, framed by Content-Length; {@code head} omits the content, as for HEAD. */
        public ByteBuffer encode(boolean head) {
            boolean withoutContent = status < 200 || status == 204 || status == 304;
            byte[] sent = withoutContent || head ? new byte[0] : body;
            HttpFields framed = fields;
            if (head && !withoutContent) {
                framed = fields.copy().set("Content-Length", Integer.toString(body.length));
                framed.remove("Transfer-Encoding");
                return Message.encode("HTTP/1." + minorVersion + " " + status + " " + reason, framed, sent,
                        false);
            }
            return Message.encode("HTTP/1." + minorVersion + " " + status + " " + reason, framed, sent,
                    !withoutContent);
        }
    }

    /**
     * The bytes of a message in chunked transfer coding (RFC 9112, 7.1), for a peer that supports HTTP/1.1.
     *
     * @param maxChunkBytes the most bytes of one chunk, 1 or more
     */
    static ByteBuffer encodeChunked(Message message, int maxChunkBytes) {
        String start = message instanceof Request r ? r.method() + " " + r.target() + " HTTP/1.1"
                : "HTTP/1.1 " + ((Response) message).status() + " " + ((Response) message).reason();
        HttpFields fields = message.fields().copy().set("Transfer-Encoding", "chunked");
        fields.remove("Content-Length");
        ByteBuffer head = encode(start, fields, new byte[0], false);
        byte[] body = message.body();
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.remaining() + body.length + 64);
        out.write(head.array(), 0, head.remaining());
        for (int at = 0; at < body.length; at += maxChunkBytes) {
            int count = Math.min(maxChunkBytes, body.length - at);
            out.writeBytes((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, count);
            out.write('\r');
            out.write('\n');
        }
        out.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return ByteBuffer.wrap(out.toByteArray());
    }

    private static ByteBuffer encode(String start, HttpFields fields, byte[] body, boolean framed) {
        StringBuilder head = new StringBuilder(256).append(start).append("\r\n");
        fields.forEach((name, value) -> {
            boolean framing = name.equalsIgnoreCase("content-length")
                    || name.equalsIgnoreCase("transfer-encoding");
            if (!framed || !framing) {
                Syntax.checkField(name, value);
                head.append(name).append(": ").append(value).append("\r\n");
            }
        });
        if (framed) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer out = ByteBuffer.allocate(bytes.length + body.length);
        return out.put(bytes).put(body).flip();
    }
}
