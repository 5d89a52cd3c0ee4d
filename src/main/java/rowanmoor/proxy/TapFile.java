package rowanmoor.proxy;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A tap that writes to a file, for audits of proxies in processes of their own. A write error ends the file
 * but not the observed stream; {@link #close} throws it. Records are big-endian: kind (1 opened, 2 read,
 * 3 closed), proxy (u16), stream (u32), time (u64, ns), count (u32) and that many bytes.
 */
public final class TapFile implements Tap, Closeable {

    private static final int OPENED = 1;
    private static final int READ = 2;
    private static final int CLOSED = 3;
    private static final int MAX_RECORD_BYTES = 1 << 20;

    private final DataOutputStream out;
    private IOException writeError;

    /** Creates or truncates a file. */
    public TapFile(Path file) throws IOException {
        out = new DataOutputStream(new BufferedOutputStream(Files.newOutputStream(file), 1 << 16));
    }

    @Override
    public void opened(int proxy, int stream, long nowNs) {
        write(OPENED, proxy, stream, nowNs, ByteBuffer.allocate(0));
    }

    @Override
    public void read(int proxy, int stream, long nowNs, ByteBuffer bytes) {
        write(READ, proxy, stream, nowNs, bytes);
    }

    @Override
    public void closed(int proxy, int stream, long nowNs) {
        write(CLOSED, proxy, stream, nowNs, ByteBuffer.allocate(0));
    }

    private void write(int kind, int proxy, int stream, long nowNs, ByteBuffer bytes) {
        if (writeError != null) {
            return;
        }
        try {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            out.writeByte(kind);
            out.writeShort(proxy);
            out.writeInt(stream);
            out.writeLong(nowNs);
            out.writeInt(copy.length);
            out.write(copy);
        } catch (IOException e) {
            writeError = e;
        }
    }

    @Override
    public void close() throws IOException {
        out.close();
        if (writeError != null) {
            throw writeError;
        }
    }

    /**
     * Passes a file's records to another tap.
     *
     * @return false if the last record is truncated
     * @throws IOException if the file cannot be read or a record is invalid
     */
    public static boolean read(Path file, Tap to) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            for (int kind = in.read(); kind >= 0; kind = in.read()) {
                int proxy = in.readUnsignedShort();
                int stream = in.readInt();
                long timeNs = in.readLong();
                int count = in.readInt();
                if (count < 0 || count > MAX_RECORD_BYTES) {
                    throw new IOException(file + ": record of " + count + " bytes, allowed are 0 to "
                            + MAX_RECORD_BYTES);
                }
                byte[] bytes = new byte[count];
                in.readFully(bytes);
                switch (kind) {
                    case OPENED -> to.opened(proxy, stream, timeNs);
                    case READ -> to.read(proxy, stream, timeNs, ByteBuffer.wrap(bytes));
                    case CLOSED -> to.closed(proxy, stream, timeNs);
                    default -> throw new IOException(file + ": record of unknown kind " + kind);
                }
            }
            return true;
        } catch (EOFException e) {
            return false;
        }
    }
}
