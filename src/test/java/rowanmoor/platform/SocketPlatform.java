package rowanmoor.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import rowanmoor.net.Loop;
import rowanmoor.resp.RespException;
import rowanmoor.resp.RespReader;
import rowanmoor.resp.RespWriter;

/**
 * A controller on real loopback sockets, with a catalog and peers on blocking sockets, so that the test controls
 * which byte arrives when. Nothing sleeps; every wait is bounded by {@code TIMEOUT_MS}.
 */
final class SocketPlatform implements AutoCloseable {

    static final int TIMEOUT_MS = 20_000;

    final List<Throwable> faults;
    final List<String> log = new CopyOnWriteArrayList<>();
    final Loop loop;
    final PlatformController controller;
    final ConfigFile configFile; // null unless started from a file
    private final Thread thread;

    SocketPlatform(ScriptedCatalog catalog, int sockets, Map<String, Object> known) throws IOException {
        this(config(catalog.address(), sockets, known), new CopyOnWriteArrayList<>(), null);
    }

    /** Uses the configuration file of {@code env}; without one if {@code env} is null. */
    SocketPlatform(PlatformConfig config, List<Throwable> faults, Map<String, String> env) throws IOException {
        this.faults = faults;
        loop = Loop.onSockets(faults::add);
        configFile = env == null ? null : new ConfigFile(env, c -> loop.post(() -> reload(c)), log::add);
        Runnable lookAgain = configFile == null ? () -> { } : configFile::checkForChange;
        controller = new PlatformController(config, loop, System::currentTimeMillis, log::add, lookAgain);
        thread = new Thread(loop);
        thread.start();
    }

    /** Starts a controller from its configuration file, as the program does. */
    static SocketPlatform fromFile(Map<String, String> env) throws IOException {
        return new SocketPlatform(PlatformConfig.read(env), new CopyOnWriteArrayList<>(), env);
    }

    private void reload(PlatformConfig config) {
        controller.reload(config);
    }

    static PlatformConfig config(InetSocketAddress catalog, int sockets, Map<String, Object> known) {
        return new PlatformConfig("n1", InMemoryPlatform.LOOPBACK, catalog, 7, sockets, known, InMemoryPlatform.namedSettings());
    }

    /** Calls something on the loop's thread and returns its result. */
    <T> T callOnLoop(Callable<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> {
            try {
                result.complete(call.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until a condition, checked on the loop's thread, holds. */
    void awaitOnLoop(Callable<Boolean> condition) {
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!callOnLoop(condition)) {
            if (System.nanoTime() > until) {
                throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms; log: " + log);
            }
            Thread.onSpinWait();
        }
    }

    /** Blocks the loop while the test sends bytes, so that the loop receives them all in one turn. */
    void whileLoopIsBlocked(Callable<Void> step) throws Exception {
        CompletableFuture<Void> blocked = new CompletableFuture<>();
        CompletableFuture<Void> released = new CompletableFuture<>();
        loop.post(() -> {
            blocked.complete(null);
            released.join();
        });
        blocked.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        try {
            step.call();
        } finally {
            released.complete(null);
        }
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        if (!faults.isEmpty()) {
            throw new AssertionError(faults.toString(), faults.get(0));
        }
    }

    /** One connection to the controller. */
    final class SocketPeer implements AutoCloseable {
        final Socket socket;
        private final RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 256);
        private ByteBuffer received = ByteBuffer.allocate(0);

        SocketPeer() throws IOException {
            socket = new Socket(controller.address().getAddress(), controller.address().getPort());
            socket.setSoTimeout(TIMEOUT_MS);
        }

        SocketPeer send(String message) throws IOException {
            ByteBuffer bytes = RespWriter.encode(List.of(message.split(" ")));
            socket.getOutputStream().write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
            return this;
        }

        SocketPeer join(int number) throws IOException {
            return send("hello node " + number + " locality north w 5.0 cold 1");
        }

        /** Returns the next message; null once the stream has ended. */
        List<String> receive() throws IOException {
            try {
                while (true) {
                    List<String> message = received.hasRemaining() ? reader.next(received) : null;
                    if (message != null) {
                        return message;
                    }
                    byte[] into = new byte[8192];
                    int count = socket.getInputStream().read(into);
                    if (count < 0) {
                        return null;
                    }
                    received = ByteBuffer.wrap(into, 0, count);
                }
            } catch (RespException e) {
                throw new AssertionError(e);
            }
        }

        /** Returns the next message with a field whose value contains the text. */
        List<String> receiveWith(String field, String text) throws IOException {
            for (List<String> message = receive(); message != null; message = receive()) {
                int at = message.indexOf(field);
                if (at > 0 && message.get(at + 1).contains(text)) {
                    return message;
                }
            }
            throw new AssertionError("stream ended before a message with " + field + " " + text);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    SocketPeer connectPeer() throws IOException {
        return new SocketPeer();
    }

    /** A catalog whose watches the test accepts and answers itself. */
    static final class ScriptedCatalog implements AutoCloseable {
        private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Watch> watches = new ArrayList<>();

        ScriptedCatalog() throws IOException {
            serverSocket.setSoTimeout(TIMEOUT_MS);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort());
        }

        /** Accepts the next watch; its request has been read and its response not begun. */
        Watch acceptWatch() throws IOException {
            Watch watch = new Watch(serverSocket.accept());
            watches.add(watch);
            return watch;
        }

        @Override
        public void close() throws IOException {
            for (Watch watch : watches) {
                watch.socket.close();
            }
            serverSocket.close();
        }
    }

    /** The catalog's side of one watch. */
    static final class Watch {
        final Socket socket;
        final String requestLine;
        private final InputStream in;
        private final OutputStream out;

        Watch(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_MS);
            in = socket.getInputStream();
            out = socket.getOutputStream();
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            requestLine = lines.readLine();
            for (String line = lines.readLine(); !line.isEmpty(); line = lines.readLine()) {
                continue;
            }
        }

        Watch sendHead() throws IOException {
            return sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        Watch sendLine(String line) throws IOException {
            return sendRaw(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        Watch sendObject(long generation, boolean reset, List<Map<String, Object>> entries) throws IOException {
            return sendLine(InMemoryPlatform.toJson(InMemoryPlatform.catalogObject(generation, reset, entries)));
        }

        Watch sendRaw(String bytes) throws IOException {
            out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return this;
        }

        /** Waits for the controller to close the watch; returns false on a timeout. */
        boolean isClosedByController() throws IOException {
            try {
                return in.read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // reset
            }
        }
    }
}
