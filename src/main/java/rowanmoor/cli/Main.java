package rowanmoor.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import rowanmoor.benchlink.BenchServer;
import rowanmoor.platform.PlatformServer;

/**
 * Where the program starts. The bench's adapter and the platform's controller are started here, without
 * picocli and Logback, whose start they need not wait for; all else is picocli's, in {@link Commands}.
 */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        String only = args.length == 1 ? args[0] : "";
        System.exit(switch (only) {
            case "benchlink" -> benchlink(System.in, System.out, System.err);
            case "serve" -> PlatformServer.run(System.getenv(), System.err);
            case "rehearse" -> PlatformServer.rehearse(System.err);
            default -> Commands.run(args);
        });
    }

    /** Decides on the bench's wire until the input ends; answers the exit code. */
    static int benchlink(InputStream in, OutputStream out, PrintStream err) {
        try {
            new BenchServer().serve(new BufferedInputStream(in, 1 << 16), new BufferedOutputStream(out, 1 << 16));
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }
}
