package rowanmoor.capture;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A segment file: eight bytes {@code RWMCAP01}, then records. A record is a mark of four bytes, a u32
 * length, a u32 CRC32C of the content, and the content: a {@link LoadRecord} in CBOR. What is damaged is
 * skipped up to the next mark whose record checks out; the rest is read.
 */
final class Segment {

    /** What reading found: the records, and a line for each stretch that was not readable. */
    record Read(List<LoadRecord> records, List<String> problems) { }

    static final byte[] HEAD = {'R', 'W', 'M', 'C', 'A', 'P', '0', '1'};
    static final int CONTENT_MOST = 1 << 16;
    private static final int MARK = 0x9e524d01;
    private static final int FRAME = 12;
    private static final CBORMapper CBOR = new CBORMapper();

    private Segment() { }

    static ByteBuffer encode(LoadRecord record) throws IOException {
        byte[] content = CBOR.writeValueAsBytes(record);
        if (content.length > CONTENT_MOST) {
            throw new IOException("a record of " + content.length + " bytes");
        }
        return ByteBuffer.allocate(FRAME + content.length).putInt(MARK).putInt(content.length)
                .putInt(checksum(content, 0, content.length)).put(content).flip();
    }

    private static int checksum(byte[] bytes, int from, int count) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, count);
        return (int) crc.getValue();
    }

    static Read read(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        List<LoadRecord> records = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        if (bytes.length < HEAD.length || !java.util.Arrays.equals(bytes, 0, HEAD.length, HEAD, 0,
                HEAD.length)) {
            problems.add(file + ": is no segment of a capture: its first eight bytes are others");
            return new Read(records, problems);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int at = HEAD.length;
        int damagedFrom = -1;
        while (at < bytes.length) {
            LoadRecord record = recordAt(in, at);
            if (record == null) {
                damagedFrom = damagedFrom < 0 ? at : damagedFrom;
                at++;
            } else {
                if (damagedFrom >= 0) {
                    problems.add(file + ": bytes " + damagedFrom + " to " + at + " are damaged and skipped");
                    damagedFrom = -1;
                }
                records.add(record);
                at += FRAME + in.getInt(at + 4);
            }
        }
        if (damagedFrom >= 0) {
            problems.add(file + ": cut off or damaged from byte " + damagedFrom + " to its end at "
                    + bytes.length);
        }
        return new Read(records, problems);
    }

    /** The whole record that begins at a place, or null. */
    private static LoadRecord recordAt(ByteBuffer in, int at) {
        if (in.limit() - at < FRAME || in.getInt(at) != MARK) {
            return null;
        }
        int length = in.getInt(at + 4);
        if (length < 1 || length > CONTENT_MOST || in.limit() - at - FRAME < length
                || checksum(in.array(), at + FRAME, length) != in.getInt(at + 8)) {
            return null;
        }
        try {
            return CBOR.readValue(in.array(), at + FRAME, length, LoadRecord.class);
        } catch (IOException e) {
            return null;
        }
    }
}
