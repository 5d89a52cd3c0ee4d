package rowanmoor.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import rowanmoor.benchlink.Link;

/**
 * Where the program starts. The bench's adapter is started here, without a library; all else is picocli's,
 * in {@link Commands}.
 */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        System.exit(args.length == 1 && args[0].equals("benchlink") ? benchlink(System.in, System.out,
                System.err)
                : Commands.run(args));
    }

    /** Decides on the bench's wire until the input ends; answers the exit code. */
    static int benchlink(InputStream in, OutputStream out, PrintStream err) {
        try {
            new Link().serve(new BufferedInputStream(in, 1 << 16), new BufferedOutputStream(out, 1 << 16));
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }
}
