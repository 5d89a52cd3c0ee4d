package rowanmoor.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rowanmoor.capture.Capture;

/** {@code rowanmoor capture ...}. A capture is a directory of segment files, or a single segment file. */
@Command(name = "capture", description = "Inspects, cuts, scales and exports captured load.",
        mixinStandardHelpOptions = true)
final class CaptureCommands {

    @Spec
    private CommandSpec spec;

    private Capture read(Path path) throws IOException {
        Capture capture = Capture.read(path);
        PrintWriter err = spec.commandLine().getErr();
        capture.problems().forEach(err::println);
        err.flush();
        return capture;
    }

    private int print(String format, Object... arguments) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, format, arguments);
        out.flush();
        return 0;
    }

    @Command(name = "info",
            description = "Prints a summary of a capture and lists records that cannot be read.")
    int info(@Parameters(paramLabel = "CAPTURE") Path path) throws IOException {
        Capture.Info info = read(path).info();
        double seconds = (info.endNs() - info.startNs()) / 1e9;
        return print("%d records of %d controllers over %.1f s: %d requests (%.1f/s), %d tries, %d proxies,"
                + " %d backends, %d records dropped%nrequests by class: %s%n", info.records(),
                info.controllers(), seconds, info.requests(), seconds > 0 ? info.requests() / seconds : 0,
                info.tries(), info.proxies(), info.backends(), info.dropped(), info.requestsByClass());
    }

    @Command(name = "cut", description = "Copies a time range of a capture.")
    int cut(@Parameters(paramLabel = "CAPTURE") Path path, @Parameters(paramLabel = "TO") Path to,
            @Option(names = "--from", defaultValue = "0", paramLabel = "SECONDS",
                    description = "start of the range, in seconds from the start of the capture;"
                            + " default ${DEFAULT-VALUE}") double from,
            @Option(names = "--until", required = true, paramLabel = "SECONDS",
                    description = "end of the range, in seconds from the start of the capture") double until)
            throws IOException {
        Capture part = read(path).cut((long) (from * 1e9), (long) (until * 1e9));
        part.write(to);
        return print("%d records in %s%n", part.records().size(), to);
    }

    @Command(name = "scale",
            description = "Copies a capture with its requests and tries multiplied by a factor.")
    int scale(@Parameters(paramLabel = "CAPTURE") Path path, @Parameters(paramLabel = "TO") Path to,
            @Option(names = "--by", required = true, paramLabel = "FACTOR",
                    description = "factor, 0 to 1000") double factor) throws IOException {
        if (!(factor >= 0 && factor <= 1000)) {
            throw new IOException("--by is out of range: " + factor + " is not within 0 to 1000");
        }
        Capture scaled = read(path).scale(factor);
        scaled.write(to);
        return print("%d requests in %s%n", scaled.info().requests(), to);
    }

    @Command(name = "export", description = "Writes CSV (requests by second, zone and class) or JSON lines.")
    int export(@Parameters(paramLabel = "CAPTURE") Path path, @Parameters(paramLabel = "TO") Path to,
            @Option(names = "--json", description = "writes every record as a JSON line") boolean json)
            throws IOException {
        Capture capture = read(path);
        try (var out = Files.newBufferedWriter(to)) {
            if (json) {
                capture.exportJson(out);
            } else {
                capture.exportCsv(out);
            }
        }
        return print("%s written%n", to);
    }
}
