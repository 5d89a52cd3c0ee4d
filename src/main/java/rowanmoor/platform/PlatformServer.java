package rowanmoor.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.Map;
import rowanmoor.net.Loop;

/** Runs one controller of the platform in the foreground until the process is terminated. */
public final class PlatformServer {

    private PlatformServer() { }

    /**
     * Returns the exit code: 1 if the controller cannot start, after one line about the reason on {@code
     * err}.
     */
    public static int run(Map<String, String> env, PrintStream err) {
        try {
            Loop[] loop = new Loop[1];
            AsyncLineLog log = new AsyncLineLog(err);
            loop[0] = Loop.onSockets(cause -> logFault(log, cause));
            PlatformController[] controller = new PlatformController[1];
            ConfigFile file = new ConfigFile(env, c -> loop[0].post(() -> controller[0].reload(c)), log::log);
            controller[0] = new PlatformController(file.read(), loop[0], System::currentTimeMillis,
                    log::log, file::checkForChange);
            onSignal("HUP", file::reload);
            // Ends at once: proxies reconnect to another controller by themselves, and there is no state to
            // save.
            onSignal("TERM", () -> Runtime.getRuntime().halt(0));
            loop[0].run();
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }

    /** Runs the training run for the class-data archive; returns the exit code. */
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
     * Installs a signal handler. By default the JVM ends the process on these signals, on HUP too. The JDK's
     * only API for them is {@code sun.misc.Signal} of the module jdk.unsupported; since javac warns about
     * every use, it is called by reflection.
     */
    private static void onSignal(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object adapter = Proxy.newProxyInstance(PlatformServer.class.getClassLoader(),
                    new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance(name), adapter);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM cannot handle signal " + name, e);
        }
    }
}
