package rowanmoor.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * The configuration's file while the controller runs. It is read anew when a signal says so, and looked at
 * when no watch of the catalog stands: the catalog may have moved while the signal was lost, or the file half
 * written when it came. Never on the loop's thread, which must not wait for a disk.
 */
final class ConfigFile {

    /** Looks at the file that may be under way at once: a disk that hangs must not gather threads. */
    private static final int MAX_CONCURRENT_CHECKS = 4;

    private final Map<String, String> env;
    private final Consumer<PlatformConfig> onConfig;
    private final Consumer<String> log;
    private final Semaphore checkPermits = new Semaphore(MAX_CONCURRENT_CHECKS);
    private List<Object> lastRead = List.of(); // which edition of the file was read last

    /**
     * @param env the platform's variables
     * @param taken gets each configuration that can be read, on the reader's thread
     */
    ConfigFile(Map<String, String> env, Consumer<PlatformConfig> taken, Consumer<String> log) {
        this.env = env;
        this.onConfig = taken;
        this.log = log;
    }

    /** Reads it for the first time; what is wrong ends the start. */
    synchronized PlatformConfig readInitial() throws IOException {
        lastRead = fingerprint();
        return PlatformConfig.read(env);
    }

    /** Reads it whatever it is; of two callers at once, who reads last hands over last. */
    synchronized void reload() {
        try {
            onConfig.accept(readInitial());
        } catch (IOException | IllegalArgumentException e) {
            log.accept("configuration kept as it was: " + e.getMessage());
        }
    }

    /** Reads it on a thread of its own if it is another than was read last; returns at once. */
    void checkForChange() {
        if (checkPermits.tryAcquire()) {
            Thread look = new Thread(() -> {
                try {
                    reloadIfChanged();
                } finally {
                    checkPermits.release();
                }
            }, "configuration");
            look.setDaemon(true);
            look.start();
        }
    }

    private synchronized void reloadIfChanged() {
        if (!fingerprint().equals(lastRead)) {
            reload();
        }
    }

    /** What tells editions apart: when it was written, how long it is, which file it is. */
    private List<Object> fingerprint() {
        try {
            BasicFileAttributes its = Files.readAttributes(Path.of(env.getOrDefault("GW_CONFIG", "")),
                    BasicFileAttributes.class);
            return Arrays.asList(its.lastModifiedTime(), its.size(), its.fileKey());
        } catch (IOException | IllegalArgumentException e) {
            return List.of(); // what is wrong with it is told by who reads it
        }
    }
}
