package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rowanmoor.config.ConfigException;

class ExperimentTest {

    @TempDir
    private Path dir;

    private Path file(String rates) throws IOException, ConfigException {
        Path day = dir.resolve("day.kdl");
        Files.writeString(day, TestDays.sampleText().substring(0, TestDays.sampleText().indexOf("troubles {"))
                .replace("length \"40s\"", "length \"8s\""));
        Path file = dir.resolve("e.kdl");
        Files.writeString(file, "experiment \"x\" { fleet \"day.kdl\"; rates " + rates
                + "; backends 8 12; seeds 2 }");
        return file;
    }

    @Test
    void rerunPlaysOnlyNewRunsAndGivesTheSameResults() throws IOException, ConfigException {
        Path store = dir.resolve("r.mv");
        Experiment.Grid first = Experiment.read(file("\"50/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(8, first.executed());
        Experiment.Grid again = Experiment.read(file("\"50/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(0, again.executed());
        assertEquals(first.cells(), again.cells());
        Experiment.Grid more = Experiment.read(file("\"50/s\" \"100/s\" \"600/s\"")).run(store, line -> { });
        assertEquals(4, more.executed());
        assertEquals(8, more.cached());
        double lowLoad = more.cells().get(0).interval(Experiment.Result::service).mean();
        double overloaded = more.cells().get(2).interval(Experiment.Result::service).mean();
        double moreBackends = more.cells().get(5).interval(Experiment.Result::service).mean();
        assertTrue(lowLoad > 0.97 && overloaded < 0.8 && moreBackends > overloaded, Experiment.table(more));
        Experiment.write(more, dir.resolve("out"));
        assertEquals(13, Files.readAllLines(dir.resolve("out/experiment.csv")).size());
        assertTrue(Files.size(dir.resolve("out/service.svg")) > 1000);
    }

    @Test
    void searchFindsTheFailingRateOfEachVariantAndARerunPlaysNothing() throws IOException, ConfigException {
        file("\"50/s\"");
        Path file = dir.resolve("s.kdl");
        Files.writeString(file, """
                experiment "s" {
                    fleet "day.kdl"
                    length "6s"
                    backends 10 20
                    mix "a, b" { class "preview" { share 1 } }
                    search { from "50/s"; to "2000/s"; service 0.9; within 0.1 }
                    seeds 1
                }
                """);
        Path store = dir.resolve("s.mv");
        Experiment.Grid grid = Experiment.read(file).run(store, line -> { });
        double[] found = grid.failingRates().values().stream().mapToDouble(v -> v).toArray();
        assertEquals(2, found.length);
        assertTrue(found[0] > 200 && found[1] > 1.5 * found[0] && found[1] < 2000, Experiment.table(grid));
        assertEquals(0, Experiment.read(file).run(store, line -> { }).executed());
        Experiment.write(grid, dir.resolve("out"));
        assertTrue(Files.readString(dir.resolve("out/experiment.csv")).contains("\"a, b\""));
        Files.writeString(file, "experiment \"s\" { fleet \"day.kdl\"; rates \"5/s\"; troubles \"some\"; "
                + "search { from \"5/s\"; to \"5/s\"; service 1 } }");
        ConfigException error = assertThrows(ConfigException.class, () -> Experiment.read(file));
        assertEquals(3, error.problems().size(), error.problems().toString());
    }

    @Test
    void fileThatIsNotAStoreIsRefusedAndUnchanged() throws IOException, ConfigException {
        Path store = dir.resolve("r.mv");
        Files.writeString(store, "x".repeat(10_000));
        Experiment experiment = Experiment.read(file("\"50/s\""));
        assertThrows(IOException.class, () -> experiment.run(store, line -> { }));
        assertEquals(10_000, Files.size(store));
    }
}
