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
 * Reads and reloads the configuration file. It is reloaded on a signal, and checked for changes when no watch
 * of the catalog is established: the catalog may have moved while the signal was lost, or the file may have
 * been half written when the signal arrived. Never runs on the loop's thread, which must not wait for a disk.
 */
final class ConfigFile {

    /** Concurrent checks of the file; bounded so that a hung disk does not accumulate threads. */
    private static final int MAX_CONCURRENT_CHECKS = 4;

    private final Map<String, String> env;
    private final Consumer<PlatformConfig> onConfig;
    private final Consumer<String> log;
    private final Semaphore checkPermits = new Semaphore(MAX_CONCURRENT_CHECKS);
    private List<Object> lastRead = List.of(); // fingerprint of the file as last read

    /**
     * @param env environment variables
     * @param onConfig receives each valid configuration, on the thread that read it
     * @param log receives one line for each configuration that could not be read
     */
    ConfigFile(Map<String, String> env, Consumer<PlatformConfig> onConfig, Consumer<String> log) {
        this.env = env;
        this.onConfig = onConfig;
        this.log = log;
    }

    /**
     * Reads the file and remembers its fingerprint.
     *
     * @throws IOException if it is missing or invalid
     */
    synchronized PlatformConfig read() throws IOException {
        lastRead = fingerprint();
        return PlatformConfig.read(env);
    }

    /** Reads the file unconditionally; of concurrent callers, the last to read is the last to deliver. */
    synchronized void reload() {
        try {
            onConfig.accept(read());
        } catch (IOException | IllegalArgumentException e) {
            log.accept("configuration kept as it was: " + e.getMessage());
        }
    }

    /** Reloads the file on a separate thread if it has changed since it was last read; returns at once. */
    void checkForChange() {
        if (checkPermits.tryAcquire()) {
            Thread checker = new Thread(() -> {
                try {
                    reloadIfChanged();
                } finally {
                    checkPermits.release();
                }
            }, "configuration");
            checker.setDaemon(true);
            checker.start();
        }
    }

    private synchronized void reloadIfChanged() {
        if (!fingerprint().equals(lastRead)) {
            reload();
        }
    }

    /** Modification time, size and file key: they change when the file does. */
    private List<Object> fingerprint() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(Path.of(env.getOrDefault("GW_CONFIG", "")),
                    BasicFileAttributes.class);
            return Arrays.asList(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException | IllegalArgumentException e) {
            return List.of(); // reading the file reports the error
        }
    }
}
