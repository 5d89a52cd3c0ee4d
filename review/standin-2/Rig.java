import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One case: the record, the temporary folder and the controllers that it started. */
final class Rig implements AutoCloseable {

    /** The case could not run: neither held nor broken. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    /** What a case does; returns the exit code. */
    interface Play {
        int play(Rig rig) throws Exception;
    }

    static final String HOST = "127.0.0.1";
    private static final long LONGEST_MS = 115_000;

    final Path root;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    Rig(String[] args) throws IOException {
        root = Path.of(args[0]).toRealPath();
        temp = Path.of(args[1]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[2])));
        note("disruption: " + (trouble ? "yes" : "no"));
    }

    /** Exit code of a broken rule; not 1, with which a JVM ends that cannot start. run.sh makes 1 of it. */
    private static final int BROKEN = 10;

    /** Plays a case and ends the process: BROKEN if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Play play) {
        int code;
        try (Rig rig = new Rig(args)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endAll));
            daemon("limit", () -> {
                sleep(LONGEST_MS);
                System.out.println("cannot run: it takes too long");
                System.exit(2);
            });
            code = play.play(rig);
        } catch (Throwable e) {
            System.out.println("cannot run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private synchronized void endAll() {
        processes.forEach(Process::destroyForcibly);
    }

    long ms() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes a line into the record, with the milliseconds since the start of the case. */
    synchronized void note(String line) {
        record.printf("%7d %s%n", ms(), line);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void sleepUntil(long ms) {
        sleep(ms - ms());
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private String command(String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " *= *\"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new CannotRun("no " + key + " in the deploy file");
        }
        return matcher.group(1);
    }

    /** Starts a controller by the deploy file's command and waits for its answer to a probe. */
    Process startController(String name, int port, int discoveryPort, String known, String settings)
            throws IOException {
        writeConfig(name, port, discoveryPort, known, settings);
        Path config = temp.resolve(name + ".json");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run"));
        builder.directory(root.toFile());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", HOST + ":" + port);
        builder.environment().put("GW_DISCOVERY", HOST + ":" + discoveryPort);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (this) {
            processes.add(process);
        }
        long until = ms() + 30_000;
        while (!answersProbe(port)) {
            if (!process.isAlive() || ms() > until) {
                throw new CannotRun("the controller is not ready: "
                        + Files.readString(temp.resolve(name + ".log")));
            }
            sleep(50);
        }
        note("controller " + name + " answers");
        return process;
    }

    /** Writes or replaces the configuration file of a controller. */
    void writeConfig(String name, int port, int discoveryPort, String known, String settings) throws IOException {
        Path file = temp.resolve(name + ".new");
        Files.writeString(file, "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port
                + "\",\"discovery\":\"" + HOST + ":" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
                + ",\"settings\":" + settings + "}");
        Files.move(file, temp.resolve(name + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Sends a signal to a controller: HUP, STOP, CONT, TERM. */
    void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        note("SIG" + signal);
    }

    private static boolean answersProbe(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 500);
            socket.setSoTimeout(500);
            OutputStream out = socket.getOutputStream();
            out.write(Resp.encode(List.of("probe")));
            return Resp.read(new DataInputStream(socket.getInputStream())).equals(List.of("alive"));
        } catch (IOException e) {
            return false;
        }
    }

    /** A case whose controllers or proxies are not there at its end has shown nothing. */
    void requireAlive(List<Process> controllers, List<PlainProxy> proxies) {
        if (controllers.stream().anyMatch(c -> !c.isAlive())) {
            throw new CannotRun("a controller that the case did not end is gone");
        }
        long away = proxies.stream().filter(p -> !p.isJoined()).count();
        if (away > 0) {
            throw new CannotRun(away + " proxies have not joined at the end");
        }
    }

    /** Ends the case: exit code BROKEN if the rule was broken, else 0. */
    int verdict(boolean broken, String line) {
        note((broken ? "BROKEN: " : "held: ") + line);
        System.out.println((broken ? "BROKEN: " : "held: ") + line);
        return broken ? BROKEN : 0;
    }

    /** Ends what was started and copies the controllers' logs into the record. */
    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        try (var logs = Files.list(temp)) {
            for (Path log : logs.filter(p -> p.toString().endsWith(".log")).sorted().toList()) {
                note("log of " + log.getFileName() + ":");
                for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
                    note("  " + line);
                }
            }
        }
        record.close();
    }
}
