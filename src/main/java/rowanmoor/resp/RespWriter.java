package rowanmoor.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes arrays of bulk strings (RESP2). */
public final class RespWriter {

    private static final int FRAMING = 14; // the most that one part's length and line ends take

    private RespWriter() { }

    /** The bytes of one message. */
    public static ByteBuffer encode(List<String> parts) {
        byte[][] all = new byte[parts.size()][];
        int bytes = FRAMING;
        for (int i = 0; i < all.length; i++) {
            all[i] = parts.get(i).getBytes(StandardCharsets.UTF_8);
            bytes += FRAMING + all[i].length;
        }
        ByteBuffer out = ByteBuffer.allocate(bytes);
        line(out, '*', all.length);
        for (byte[] part : all) {
            line(out, '$', part.length);
            out.put(part).put((byte) '\r').put((byte) '\n');
        }
        return out.flip();
    }

    private static void line(ByteBuffer out, char type, int number) {
        out.put((byte) type);
        for (char digit : Integer.toString(number).toCharArray()) {
            out.put((byte) digit);
        }
        out.put((byte) '\r').put((byte) '\n');
    }
}
