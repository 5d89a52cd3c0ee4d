package rowanmoor.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Reads one whole message after another from bytes that come in any pieces, content held within
 * {@link Limits#body}; {@link PartParser} says what is refused. A parser that has thrown is of no further
 * use.
 */
public final class Parser {

    private final PartParser parts;
    private Part.Head head;
    private ByteArrayOutputStream body;

    private Parser(PartParser parts) {
        this.parts = parts;
    }

    public static Parser ofRequests(Limits limits) {
        return new Parser(PartParser.ofRequests(limits));
    }

    public static Parser ofResponses(Limits limits) {
        return new Parser(PartParser.ofResponses(limits));
    }

    /** Which method the next response answers: one to HEAD has no content (RFC 9112, 6.3). */
    public void expectAnswerTo(String itsMethod) {
        parts.expectAnswerTo(itsMethod);
    }

    /** Whether a message has begun and is not whole. */
    public boolean inMessage() {
        return parts.inMessage();
    }

    /** Reads up to the end of one message and leaves the rest; null if the bytes end before it does. */
    public Message next(ByteBuffer bytes) throws HttpError {
        for (Part part = parts.next(bytes); part != null; part = parts.next(bytes)) {
            Message whole = take(part);
            if (whole != null) {
                return whole;
            }
        }
        return null;
    }

    /** The peer has ended its bytes: the message that this completes, or null if none had begun. */
    public Message end() throws HttpError {
        Part part = parts.end();
        return part == null ? null : take(part);
    }

    private Message take(Part part) {
        if (part instanceof Part.Head begun) {
            head = begun;
            body = new ByteArrayOutputStream(0);
            return null;
        }
        if (part instanceof Part.Piece piece) {
            byte[] bytes = new byte[piece.bytes().remaining()];
            piece.bytes().get(bytes);
            body.write(bytes, 0, bytes.length);
            return null;
        }
        byte[] content = body.toByteArray();
        body = null;
        return head instanceof Part.RequestHead r
                ? new Message.Request(r.method(), r.target(), r.minor(), r.fields(), content)
                : response((Part.ResponseHead) head, content);
    }

    private static Message response(Part.ResponseHead r, byte[] content) {
        return new Message.Response(r.status(), r.reason(), r.minor(), r.fields(), content);
    }
}
