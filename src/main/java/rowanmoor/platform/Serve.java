package rowanmoor.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.Map;
import rowanmoor.net.Loop;

/** Runs one controller of the platform in the foreground until the process is told to end. */
public final class Serve {

    private Serve() { }

    /** Answers the exit code: 1 if it cannot start, told in one line. */
    public static int run(Map<String, String> env, PrintStream err) {
        try {
            Loop[] loop = new Loop[1];
            LineLog log = new LineLog(err);
            loop[0] = Loop.onSockets(cause -> fault(log, cause));
            PlatformConfig config = PlatformConfig.read(env);
            Service service = new Service(config, loop[0], System::currentTimeMillis, log::line);
            handle("HUP", new Reload(env, loop[0], service, log));
            // Proxies go elsewhere by themselves and nothing is kept: the end is at once.
            handle("TERM", () -> Runtime.getRuntime().halt(0));
            loop[0].run();
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }

    /** Serves invented peers for a moment, so that the classes that a start needs can be recorded. */
    public static int rehearse(PrintStream err) {
        try {
            Rehearsal.run(new LineLog(err));
            return 0;
        } catch (IOException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }

    private static void fault(LineLog log, Throwable cause) {
        StackTraceElement[] at = cause.getStackTrace();
        log.line("fault: " + cause + (at.length < 2 ? "" : " at " + at[0] + ", " + at[1]));
    }

    /**
     * Reads the configuration on the signal's own thread, since the loop must not wait for a disk. One at a
     * time: of two signals at once, what was read last is what is handed over last.
     */
    record Reload(Map<String, String> env, Loop loop, Service service, LineLog log) implements Runnable {

        @Override
        public synchronized void run() {
            try {
                PlatformConfig config = PlatformConfig.read(env);
                loop.post(() -> service.reload(config));
            } catch (IOException | IllegalArgumentException e) {
                log.line("configuration kept as it was: " + e.getMessage());
            }
        }
    }

    /**
     * The JVM's own way with these signals would end the process, for HUP too. The JDK's only way to hear
     * them is {@code sun.misc.Signal}, of the module jdk.unsupported, which javac warns of whenever it is
     * named: it is found by its name.
     */
    private static void handle(String name, Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls = Proxy.newProxyInstance(Serve.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        what.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance(name), calls);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM hears no signal " + name, e);
        }
    }
}
