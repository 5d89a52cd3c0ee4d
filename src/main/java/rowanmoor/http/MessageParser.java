package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Reads one whole message after another from bytes that come in any pieces, content held within
 * {@link MessageLimits#maxBodyBytes}; {@link MessagePartParser} says what is refused. A parser that has thrown is of no further
 * use.
 */
public final class MessageParser {

    private final MessagePartParser parts;
    private MessagePart.Head head;
    private ByteArrayOutputStream body;

    private MessageParser(MessagePartParser parts) {
        this.parts = parts;
    }

    public static MessageParser forRequests(MessageLimits limits) {
        return new MessageParser(MessagePartParser.forRequests(limits));
    }

    public static MessageParser forResponses(MessageLimits limits) {
        return new MessageParser(MessagePartParser.forResponses(limits));
    }

    /** Which method the next response answers: one to HEAD has no content (RFC 9112, 6.3). */
    public void expectResponseTo(String itsMethod) {
        parts.expectResponseTo(itsMethod);
    }

    /** Whether a message has begun and is not whole. */
    public boolean inMessage() {
        return parts.inMessage();
    }

    /** Reads up to the end of one message and leaves the rest; null if the bytes end before it does. */
    public Message next(ByteBuffer bytes) throws HttpError {
        for (MessagePart part = parts.next(bytes); part != null; part = parts.next(bytes)) {
            Message whole = take(part);
            if (whole != null) {
                return whole;
            }
        }
        return null;
    }

    /** The peer has ended its bytes: the message that this completes, or null if none had begun. */
    public Message end() throws HttpError {
        MessagePart part = parts.end();
        return part == null ? null : take(part);
    }

    private Message take(MessagePart part) {
        if (part instanceof MessagePart.Head begun) {
            head = begun;
            body = new ByteArrayOutputStream(0);
            return null;
        }
        if (part instanceof MessagePart.Piece piece) {
            byte[] bytes = new byte[piece.bytes().remaining()];
            piece.bytes().get(bytes);
            body.write(bytes, 0, bytes.length);
            return null;
        }
        byte[] content = body.toByteArray();
        body = null;
        return head instanceof MessagePart.RequestHead r
                ? new Message.Request(r.method(), r.target(), r.minorVersion(), r.fields(), content)
                : response((MessagePart.ResponseHead) head, content);
    }

    private static Message response(MessagePart.ResponseHead r, byte[] content) {
        return new Message.Response(r.status(), r.reason(), r.minorVersion(), r.fields(), content);
    }
}
