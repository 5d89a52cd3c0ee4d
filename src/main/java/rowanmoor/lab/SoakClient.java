package rowanmoor.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client of a soak test, on its own thread: one persistent connection, one request at a time. Like a
 * careful connection pool it checks before each request whether the server has closed the connection.
 */
final class SoakClient implements Runnable {

    /** Is notified of the result of each request that was written; called on the client's thread. */
    interface Listener {

        void answered(String id, int status);

        /** No response came. {@code connectedAt} is in the time of {@link System#nanoTime}. */
        void unanswered(String id, long connectedAt, String why);
    }

    private static final int RESPONSE_TIMEOUT_MS = 15_000;
    private static final int MAX_PAUSE_MS = 40;
    private static final int RECONNECT_DELAY_MS = 20;
    private static final int MAX_HEAD_BYTES = 1 << 14;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: (\\d+)\r\n");
    private static final Pattern CLOSE = Pattern.compile("(?i)\r\nconnection: close\r\n");

    private final String name;
    private final InetSocketAddress server;
    private final SplittableRandom random;
    private final Listener listener;
    private final BooleanSupplier running;
    private SocketChannel channel;
    private long connectedAt;

    SoakClient(String name, InetSocketAddress server, SplittableRandom random, Listener listener,
            BooleanSupplier running) {
        this.name = name;
        this.server = server;
        this.random = random;
        this.listener = listener;
        this.running = running;
    }

    @Override
    public void run() {
        for (int number = 0; running.getAsBoolean(); number++) {
            if (connect()) {
                pause(random.nextInt(MAX_PAUSE_MS));
                sendIfOpen(number);
            } else {
                pause(RECONNECT_DELAY_MS);
            }
        }
        close();
    }

    private boolean connect() {
        if (channel != null) {
            return true;
        }
        try {
            channel = SocketChannel.open(server);
            channel.socket().setSoTimeout(RESPONSE_TIMEOUT_MS);
            connectedAt = System.nanoTime();
            return true;
        } catch (IOException e) {
            channel = null;
            return false;
        }
    }

    private void sendIfOpen(int number) {
        if (isClosedByServer()) {
            close();
            return;
        }
        String id = name + "-" + number;
        String path = random.nextBoolean() ? SoakRun.SAFE_PATH : SoakRun.UNSAFE_PATH;
        String request = "GET " + path + "/" + id + " HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + id
                + "\r\n\r\n";
        try {
            channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.ISO_8859_1)));
            readResponse(id);
        } catch (IOException e) {
            listener.unanswered(id, connectedAt, e.toString());
            close();
        }
    }

    /**
     * Whether the server has closed the connection or sent unsolicited bytes; it must not be used any more
     * then.
     */
    private boolean isClosedByServer() {
        try {
            channel.configureBlocking(false);
            int read = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return read != 0;
        } catch (IOException e) {
            return true;
        }
    }

    private void readResponse(String id) throws IOException {
        InputStream in = channel.socket().getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) readByte(in));
            if (head.length() > MAX_HEAD_BYTES) {
                throw new IOException("response head is longer than " + MAX_HEAD_BYTES + " bytes");
            }
        }
        Matcher status = STATUS.matcher(head);
        Matcher length = LENGTH.matcher(head);
        if (!status.lookingAt() || !length.find()) {
            throw new IOException("not a response with a content length: " + head);
        }
        for (int left = Integer.parseInt(length.group(1)); left > 0; left--) {
            readByte(in);
        }
        listener.answered(id, Integer.parseInt(status.group(1)));
        if (CLOSE.matcher(head).find()) {
            close();
        }
    }

    private static int readByte(InputStream in) throws IOException {
        try {
            int value = in.read();
            if (value < 0) {
                throw new IOException("connection closed before the end of the response");
            }
            return value;
        } catch (SocketTimeoutException e) {
            throw new IOException("no byte received for " + RESPONSE_TIMEOUT_MS + " ms", e);
        }
    }

    private void close() {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // the descriptor is released in either case
            }
            channel = null;
        }
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
