package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stops and starts real proxy processes under load: with fixed seeds, and with a mutant that must be detected. */
class SoakRunnerTest {

    @TempDir
    Path directory;

    @Test
    void noRequestIsLostWhileProxiesRestart() throws InterruptedException {
        List<String> lines = new ArrayList<>();
        assertTrue(new SoakRunner(directory, lines::add).run(1, 3, 2), lines::toString);
    }

    /** A process that was asked to stop is killed, with requests that it has read and not answered. */
    @Test
    void processKilledInsteadOfStoppedIsDetected() throws InterruptedException {
        List<String> lines = new ArrayList<>();
        assertFalse(new SoakRunner(directory, lines::add).run(3, 3, 1, SoakRun.StopMode.KILL_INSTEAD_OF_STOP), lines::toString);
        assertTrue(lines.stream().anyMatch(line -> line.contains("never answered")), lines::toString);
        assertTrue(lines.stream().anyMatch(line -> line.contains("--seeds 3..3")), lines::toString);
    }
}
