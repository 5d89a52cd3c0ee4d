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
 * A controller of the platform on real loopback sockets, with a catalog and peers that are scripted by plain
 * blocking sockets: the test says which byte comes when. Nothing sleeps; every wait has a bound.
 */
final class SocketPlatform implements AutoCloseable {

    static final int PATIENCE_MS = 20_000;

    final List<Throwable> faults;
    final List<String> log = new CopyOnWriteArrayList<>();
    final Loop loop;
    final Service service;
    final ConfigFile file; // null unless it was started from one
    private final Thread thread;

    SocketPlatform(ScriptedCatalog catalog, int sockets, Map<String, Object> known) throws IOException {
        this(config(catalog.address(), sockets, known), new CopyOnWriteArrayList<>(), null);
    }

    /** One whose configuration is a file, or null. */
    SocketPlatform(PlatformConfig config, List<Throwable> faults, Map<String, String> env) throws IOException {
        this.faults = faults;
        loop = Loop.onSockets(faults::add);
        file = env == null ? null : new ConfigFile(env, c -> loop.post(() -> reload(c)), log::add);
        Runnable lookAgain = file == null ? () -> { } : file::lookAgain;
        service = new Service(config, loop, System::currentTimeMillis, log::add, lookAgain);
        thread = new Thread(loop);
        thread.start();
    }

    /** A controller started from a file as the program starts it. */
    static SocketPlatform ofFile(Map<String, String> env) throws IOException {
        return new SocketPlatform(PlatformConfig.read(env), new CopyOnWriteArrayList<>(), env);
    }

    private void reload(PlatformConfig config) {
        service.reload(config);
    }

    static PlatformConfig config(InetSocketAddress catalog, int sockets, Map<String, Object> known) {
        return new PlatformConfig("n1", TestPlatform.ANY, catalog, 7, sockets, known, TestPlatform.told());
    }

    /** Asks something on the loop's thread. */
    <T> T on(Callable<T> what) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> {
            try {
                answer.complete(what.call());
            } catch (Exception e) {
                answer.completeExceptionally(e);
            }
        });
        try {
            return answer.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /** Turns the loop until something holds there. */
    void await(Callable<Boolean> holds) {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!on(holds)) {
            if (System.nanoTime() > until) {
                throw new AssertionError("it never held; log: " + log);
            }
            Thread.onSpinWait();
        }
    }

    /** Stands the loop still while a test puts bytes in place, so that it meets them all in one turn. */
    void whileItStandsStill(Callable<Void> step) throws Exception {
        CompletableFuture<Void> still = new CompletableFuture<>();
        CompletableFuture<Void> on = new CompletableFuture<>();
        loop.post(() -> {
            still.complete(null);
            on.join();
        });
        still.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        try {
            step.call();
        } finally {
            on.complete(null);
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

    /** One connection to the controller's address. */
    final class Peer implements AutoCloseable {
        final Socket socket;
        private final RespReader reader = new RespReader(RespReader.MAX_MESSAGE_BYTES, 256);
        private ByteBuffer read = ByteBuffer.allocate(0);

        Peer() throws IOException {
            socket = new Socket(service.address().getAddress(), service.address().getPort());
            socket.setSoTimeout(PATIENCE_MS);
        }

        Peer say(String words) throws IOException {
            ByteBuffer bytes = RespWriter.encode(List.of(words.split(" ")));
            socket.getOutputStream().write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
            return this;
        }

        Peer join(int number) throws IOException {
            return say("hello node " + number + " locality north w 5.0 cold 1");
        }

        /** The next message; null once the stream has ended. */
        List<String> hear() throws IOException {
            try {
                while (true) {
                    List<String> message = read.hasRemaining() ? reader.next(read) : null;
                    if (message != null) {
                        return message;
                    }
                    byte[] into = new byte[8192];
                    int count = socket.getInputStream().read(into);
                    if (count < 0) {
                        return null;
                    }
                    read = ByteBuffer.wrap(into, 0, count);
                }
            } catch (RespException e) {
                throw new AssertionError(e);
            }
        }

        /** The first message in which a field has a value that holds this text. */
        List<String> hearWith(String field, String text) throws IOException {
            for (List<String> message = hear(); message != null; message = hear()) {
                int at = message.indexOf(field);
                if (at > 0 && message.get(at + 1).contains(text)) {
                    return message;
                }
            }
            throw new AssertionError("ended before " + field + " " + text);
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

    Peer peer() throws IOException {
        return new Peer();
    }

    /** The catalog's address; the test takes each watch itself and says what it is told. */
    static final class ScriptedCatalog implements AutoCloseable {
        private final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Watch> watches = new ArrayList<>();

        ScriptedCatalog() throws IOException {
            door.setSoTimeout(PATIENCE_MS);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(door.getInetAddress(), door.getLocalPort());
        }

        /** The next watch, whose question has been read and whose answer has not begun. */
        Watch watch() throws IOException {
            Watch watch = new Watch(door.accept());
            watches.add(watch);
            return watch;
        }

        @Override
        public void close() throws IOException {
            for (Watch watch : watches) {
                watch.socket.close();
            }
            door.close();
        }
    }

    /** One watch, at the catalog's end. */
    static final class Watch {
        final Socket socket;
        final String question;
        private final InputStream in;
        private final OutputStream out;

        Watch(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(PATIENCE_MS);
            in = socket.getInputStream();
            out = socket.getOutputStream();
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            question = lines.readLine();
            for (String line = lines.readLine(); !line.isEmpty(); line = lines.readLine()) {
                continue;
            }
        }

        Watch begin() throws IOException {
            return raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        Watch line(String line) throws IOException {
            return raw(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        Watch tell(long generation, boolean reset, List<Map<String, Object>> entries) throws IOException {
            return line(TestPlatform.text(TestPlatform.list(generation, reset, entries)));
        }

        Watch raw(String bytes) throws IOException {
            out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return this;
        }

        /** Waits until the controller has closed it. */
        boolean isLeft() throws IOException {
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
