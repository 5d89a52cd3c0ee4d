package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.config.ConfigError;

class ExperimentTest {

    @TempDir
    private Path dir;

    private Path file(String rates) throws IOException, ConfigError {
        Path day = dir.resolve("day.kdl");
        Files.writeString(day, TestDays.text().substring(0, TestDays.text().indexOf("troubles {"))
                .replace("length \"40s\"", "length \"8s\""));
        Path file = dir.resolve("e.kdl");
        Files.writeString(file, "experiment \"x\" { fleet \"day.kdl\"; rates " + rates
                + "; backends 8 12; seeds 2 }");
        return file;
    }

    @Test
    void aRerunPlaysOnlyWhatIsNewAndAnswersTheSame() throws IOException, ConfigError {
        Path store = dir.resolve("r.mv");
        Experiment.Grid first = Experiment.read(file("\"50/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(8, first.played());
        Experiment.Grid again = Experiment.read(file("\"50/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(0, again.played());
        assertEquals(first.cells(), again.cells());
        Experiment.Grid more = Experiment.read(file("\"50/s\" \"100/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(4, more.played());
        assertEquals(8, more.kept());
        double calm = more.cells().get(0).interval(Experiment.Result::service).mean();
        double jammed = more.cells().get(2).interval(Experiment.Result::service).mean();
        double larger = more.cells().get(5).interval(Experiment.Result::service).mean();
        assertTrue(calm > 0.97 && jammed < 0.8 && larger > jammed, Experiment.table(more));
        Experiment.write(more, dir.resolve("out"));
        assertEquals(13, Files.readAllLines(dir.resolve("out/experiment.csv")).size());
        assertTrue(Files.size(dir.resolve("out/service.svg")) > 1000);
    }

    @Test
    void aFileThatIsNoStoreIsRefusedAndLeftAsItIs() throws IOException, ConfigError {
        Path store = dir.resolve("r.mv");
        Files.writeString(store, "x".repeat(10_000));
        Experiment experiment = Experiment.read(file("\"50/s\""));
        assertThrows(IOException.class, () -> experiment.run(store, line -> { }));
        assertEquals(10_000, Files.size(store));
    }
}
