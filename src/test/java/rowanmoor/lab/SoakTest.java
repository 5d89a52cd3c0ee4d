package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real proxy processes, stopped and started under load: fixed seeds, and a mutant that must be caught. */
class SoakTest {

    @TempDir
    Path directory;

    @Test
    void noRequestIsLostWhileProxiesAreStoppedAndStarted() throws InterruptedException {
        List<String> told = new ArrayList<>();
        assertTrue(new SoakRunner(directory, told::add).play(1, 3, 2), told::toString);
    }

    /** A process that ends at once, with requests read and unanswered, though it was only told to stop. */
    @Test
    void aProcessThatEndsAtOnceIsCaught() throws InterruptedException {
        List<String> told = new ArrayList<>();
        assertFalse(new SoakRunner(directory, told::add).play(3, 3, 1, SoakRun.Ending.KILL_TAKEN_FOR_STOP), told::toString);
        assertTrue(told.stream().anyMatch(line -> line.contains("never answered")), told::toString);
        assertTrue(told.stream().anyMatch(line -> line.contains("--seeds 3..3")), told::toString);
    }
}
