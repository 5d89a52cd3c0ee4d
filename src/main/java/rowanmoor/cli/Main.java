package rowanmoor.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import rowanmoor.benchlink.Link;

/** The command line: picks a subcommand. */
public final class Main {

    private static final String USAGE = """
            usage: rowanmoor COMMAND
              benchlink   decide on the bench's wire, on standard input and output
              help        print this text""";

    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    /** Runs one subcommand and returns the process's exit code. */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink":
                return benchlink(in, out, err);
            case "help":
                new PrintStream(out, true).println(USAGE);
                return 0;
            default:
                err.println(USAGE);
                return 2;
        }
    }

    private static int benchlink(InputStream in, OutputStream out, PrintStream err) {
        try {
            new Link().serve(new BufferedInputStream(in, 1 << 16), new BufferedOutputStream(out, 1 << 16));
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            err.println("rowanmoor: " + e.getMessage());
            return 1;
        }
    }
}
