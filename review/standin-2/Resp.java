import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 arrays of bulk strings. */
final class Resp {

    private Resp() { }

    static byte[] encode(List<String> words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.size() + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String word : words) {
            byte[] bytes = word.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(bytes);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }

    static List<String> read(DataInputStream in) throws IOException {
        int count = length(in, '*');
        List<String> words = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            byte[] bytes = new byte[length(in, '$')];
            in.readFully(bytes);
            in.readByte();
            in.readByte();
            words.add(new String(bytes, StandardCharsets.UTF_8));
        }
        return words;
    }

    private static int length(DataInputStream in, char type) throws IOException {
        int first = in.read();
        if (first < 0) {
            throw new EOFException();
        }
        if (first != type) {
            throw new IOException("not RESP2");
        }
        int value = 0;
        for (int b = in.readByte(); b != '\r'; b = in.readByte()) {
            value = value * 10 + b - '0';
        }
        in.readByte();
        return value;
    }
}
