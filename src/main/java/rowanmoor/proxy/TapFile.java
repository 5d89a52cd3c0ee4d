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
 * A tap that writes to a file, for audits of processes of their own. What cannot be written ends the file,
 * not the stream that it taps: closing tells why. Records, big end first: what (1 opened,
 * 2 read, 3 closed), proxy (u16), stream (u32), time (u64, ns), count (u32) and that many bytes.
 */
public final class TapFile implements Tap, Closeable {

    private static final int OPENED = 1;
    private static final int READ = 2;
    private static final int CLOSED = 3;
    private static final int MAX_RECORD_BYTES = 1 << 20;

    private final DataOutputStream out;
    private IOException writeError;

    public TapFile(Path file) throws IOException {
        out = new DataOutputStream(new BufferedOutputStream(Files.newOutputStream(file), 1 << 16));
    }

    @Override
    public void opened(int proxy, int stream, long now) {
        write(OPENED, proxy, stream, now, ByteBuffer.allocate(0));
    }

    @Override
    public void read(int proxy, int stream, long now, ByteBuffer bytes) {
        write(READ, proxy, stream, now, bytes);
    }

    @Override
    public void closed(int proxy, int stream, long now) {
        write(CLOSED, proxy, stream, now, ByteBuffer.allocate(0));
    }

    private void write(int what, int proxy, int stream, long now, ByteBuffer bytes) {
        if (writeError != null) {
            return;
        }
        try {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            out.writeByte(what);
            out.writeShort(proxy);
            out.writeInt(stream);
            out.writeLong(now);
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

    /** Passes a file's records to another tap; answers false if the last one is cut off. */
    public static boolean read(Path file, Tap to) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file)))) {
            for (int what = in.read(); what >= 0; what = in.read()) {
                int proxy = in.readUnsignedShort();
                int stream = in.readInt();
                long at = in.readLong();
                int count = in.readInt();
                if (count < 0 || count > MAX_RECORD_BYTES) {
                    throw new IOException(file + ": a record of " + count + " bytes");
                }
                byte[] bytes = new byte[count];
                in.readFully(bytes);
                switch (what) {
                    case OPENED -> to.opened(proxy, stream, at);
                    case READ -> to.read(proxy, stream, at, ByteBuffer.wrap(bytes));
                    case CLOSED -> to.closed(proxy, stream, at);
                    default -> throw new IOException(file + ": a record of unknown kind " + what);
                }
            }
            return true;
        } catch (EOFException e) {
            return false;
        }
    }
}
