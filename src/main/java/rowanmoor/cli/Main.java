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
 * Entry point of the program. {@code benchlink}, {@code serve} and {@code rehearse} are started here, without
 * loading picocli and Logback, which would delay their start; {@link Commands} handles everything else.
 */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        String onlyArgument = args.length == 1 ? args[0] : "";
        System.exit(switch (onlyArgument) {
            case "benchlink" -> benchlink(System.in, System.out, System.err);
            case "serve" -> PlatformServer.run(System.getenv(), System.err);
            case "rehearse" -> PlatformServer.rehearse(System.err);
            default -> Commands.run(args);
        });
    }

    /** Serves the bench's protocol until the end of the input; returns the exit code. */
    static int benchlink(InputStream in, OutputStream out, PrintStream err) {
        try {
            new BenchServer().serve(new BufferedInputStream(in, 1 << 16),
                    new BufferedOutputStream(out, 1 << 16));
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }
}
