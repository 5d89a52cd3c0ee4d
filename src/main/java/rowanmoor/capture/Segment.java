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
 * The format of a segment file: eight bytes {@code RWMCAP01}, then records. A record is a marker of four
 * bytes, a u32 length, a u32 CRC32C of the content, and the content: a {@link LoadRecord} in CBOR. The reader
 * skips damaged bytes up to the next marker whose record has a valid checksum.
 */
final class Segment {

    /** The records of a file, and a line for each range of bytes that could not be read. */
    record ReadResult(List<LoadRecord> records, List<String> problems) { }

    static final byte[] FILE_HEADER = {'R', 'W', 'M', 'C', 'A', 'P', '0', '1'};
    static final int MAX_CONTENT_BYTES = 1 << 16;
    private static final int RECORD_MARKER = 0x9e524d01;
    private static final int RECORD_HEADER_BYTES = 12;
    private static final CBORMapper CBOR = new CBORMapper();

    private Segment() { }

    /** One record with its header. */
    static ByteBuffer encode(LoadRecord record) throws IOException {
        byte[] content = CBOR.writeValueAsBytes(record);
        if (content.length > MAX_CONTENT_BYTES) {
            throw new IOException("capture record too long: " + content.length + " bytes, the limit is "
                    + MAX_CONTENT_BYTES);
        }
        return ByteBuffer.allocate(RECORD_HEADER_BYTES + content.length).putInt(RECORD_MARKER)
                .putInt(content.length).putInt(checksum(content, 0, content.length)).put(content).flip();
    }

    private static int checksum(byte[] bytes, int from, int count) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, count);
        return (int) crc.getValue();
    }

    /** Reads all intact records of a file. */
    static ReadResult read(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        List<LoadRecord> records = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        if (bytes.length < FILE_HEADER.length || !java.util.Arrays.equals(bytes, 0, FILE_HEADER.length,
                FILE_HEADER, 0, FILE_HEADER.length)) {
            problems.add(file + ": not a capture segment: it does not begin with RWMCAP01");
            return new ReadResult(records, problems);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int at = FILE_HEADER.length;
        int damagedFrom = -1;
        while (at < bytes.length) {
            LoadRecord record = decodeAt(in, at);
            if (record == null) {
                damagedFrom = damagedFrom < 0 ? at : damagedFrom;
                at++;
            } else {
                if (damagedFrom >= 0) {
                    problems.add(file + ": bytes " + damagedFrom + " to " + at + " are damaged and skipped");
                    damagedFrom = -1;
                }
                records.add(record);
                at += RECORD_HEADER_BYTES + in.getInt(at + 4);
            }
        }
        if (damagedFrom >= 0) {
            problems.add(file + ": cut off or damaged from byte " + damagedFrom + " to its end at "
                    + bytes.length);
        }
        return new ReadResult(records, problems);
    }

    /** The record that begins at an offset, or null if there is no intact one. */
    private static LoadRecord decodeAt(ByteBuffer in, int at) {
        if (in.limit() - at < RECORD_HEADER_BYTES || in.getInt(at) != RECORD_MARKER) {
            return null;
        }
        int length = in.getInt(at + 4);
        if (length < 1 || length > MAX_CONTENT_BYTES || in.limit() - at - RECORD_HEADER_BYTES < length
                || checksum(in.array(), at + RECORD_HEADER_BYTES, length) != in.getInt(at + 8)) {
            return null;
        }
        try {
            return CBOR.readValue(in.array(), at + RECORD_HEADER_BYTES, length, LoadRecord.class);
        } catch (IOException e) {
            return null;
        }
    }
}
