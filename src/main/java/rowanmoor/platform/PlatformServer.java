package rowanmoor.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.Map;
import rowanmoor.net.Loop;

/** Runs one controller of the platform in the foreground until the process is told to end. */
public final class PlatformServer {

    private PlatformServer() { }

    /** Answers the exit code: 1 if it cannot start, told in one line. */
    public static int run(Map<String, String> env, PrintStream err) {
        try {
            Loop[] loop = new Loop[1];
            AsyncLineLog log = new AsyncLineLog(err);
            loop[0] = Loop.onSockets(cause -> logFault(log, cause));
            PlatformController[] service = new PlatformController[1];
            ConfigFile file = new ConfigFile(env, c -> loop[0].post(() -> service[0].reload(c)), log::log);
            service[0] = new PlatformController(file.readInitial(), loop[0], System::currentTimeMillis, log::log,
                    file::checkForChange);
            onSignal("HUP", file::reload);
            // Proxies go elsewhere by themselves and nothing is kept: the end is at once.
            onSignal("TERM", () -> Runtime.getRuntime().halt(0));
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
            Rehearsal.run(new AsyncLineLog(err));
            return 0;
        } catch (IOException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }

    private static void logFault(AsyncLineLog log, Throwable cause) {
        StackTraceElement[] at = cause.getStackTrace();
        log.log("fault: " + cause + (at.length < 2 ? "" : " at " + at[0] + ", " + at[1]));
    }

    /**
     * The JVM's own way with these signals would end the process, for HUP too. The JDK's only way to hear
     * them is {@code sun.misc.Signal}, of the module jdk.unsupported, which javac warns of whenever it is
     * named: it is found by its name.
     */
    private static void onSignal(String name, Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls = Proxy.newProxyInstance(PlatformServer.class.getClassLoader(), new Class<?>[] {handler},
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
