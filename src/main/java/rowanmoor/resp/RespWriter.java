package rowanmoor.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes RESP2 arrays of bulk strings. */
public final class RespWriter {

    private static final int MAX_FRAMING_BYTES = 14; // length and line ends of one part, at most

    private RespWriter() { }

    /** Returns the bytes of one message. */
    public static ByteBuffer encode(List<String> parts) {
        byte[][] all = new byte[parts.size()][];
        int bytes = MAX_FRAMING_BYTES;
        for (int i = 0; i < all.length; i++) {
            all[i] = parts.get(i).getBytes(StandardCharsets.UTF_8);
            bytes += MAX_FRAMING_BYTES + all[i].length;
        }
        ByteBuffer out = ByteBuffer.allocate(bytes);
        writeHeader(out, '*', all.length);
        for (byte[] part : all) {
            writeHeader(out, '$', part.length);
            out.put(part).put((byte) '\r').put((byte) '\n');
        }
        return out.flip();
    }

    private static void writeHeader(ByteBuffer out, char type, int number) {
        out.put((byte) type);
        for (char digit : Integer.toString(number).toCharArray()) {
            out.put((byte) digit);
        }
        out.put((byte) '\r').put((byte) '\n');
    }
}
