package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Parses successive whole messages from input split at any point, with content of at most
 * {@link MessageLimits#maxBodyBytes}; {@link MessagePartParser} describes what is rejected. A parser that has
 * thrown must not be used again.
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

    /** Sets the request method of the next response: a response to HEAD has no content (RFC 9112, 6.3). */
    public void expectResponseTo(String requestMethod) {
        parts.expectResponseTo(requestMethod);
    }

    /** Whether a message has begun and is incomplete. */
    public boolean inMessage() {
        return parts.inMessage();
    }

    /** Parses up to the end of one message and leaves the rest; null if the message is incomplete. */
    public Message next(ByteBuffer bytes) throws HttpError {
        for (MessagePart part = parts.next(bytes); part != null; part = parts.next(bytes)) {
            Message message = handlePart(part);
            if (message != null) {
                return message;
            }
        }
        return null;
    }

    /** Signals the end of input; returns the message that it completes, or null if none had begun. */
    public Message end() throws HttpError {
        MessagePart part = parts.end();
        return part == null ? null : handlePart(part);
    }

    private Message handlePart(MessagePart part) {
        if (part instanceof MessagePart.Head newHead) {
            head = newHead;
            body = new ByteArrayOutputStream(0);
            return null;
        }
        if (part instanceof MessagePart.Content contentPart) {
            byte[] bytes = new byte[contentPart.bytes().remaining()];
            contentPart.bytes().get(bytes);
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
