package rowanmoor.lab;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import rowanmoor.RoutingPolicy;
import rowanmoor.controller.Driver;
import rowanmoor.emulator.Emulator;
import rowanmoor.proxy.Router;

/**
 * Keeps results of runs in an embedded store. The key is a hash of everything that determines a result: the
 * fleet's file, the variant, the seed, and the code that decides and emulates. After a change of that code no
 * old result is found.
 */
final class ResultStore implements Closeable {

    private static final ObjectMapper JSON = new ObjectMapper();
    // The classes whose code determines a result; other classes of their packages change along with these.
    private static final List<Class<?>> CODE_CLASSES = List.of(
            RoutingPolicy.class, Driver.class, Router.class, Emulator.class);
    private static final List<String> CODE_RESOURCES = List.of(
            "/rowanmoor/FleetState.class", "/rowanmoor/FleetState$PathStats.class",
            "/rowanmoor/controller/Intake.class", "/rowanmoor/controller/Outbox.class",
            "/rowanmoor/host/TableStore.class", "/rowanmoor/host/TickRunner.class",
            "/rowanmoor/host/Fanout.class", "/rowanmoor/emulator/SimulatedBackend.class",
            "/rowanmoor/emulator/EventQueue.class", "/rowanmoor/emulator/Model.class");

    private final MVStore store;
    private final MVMap<String, String> results;
    private final byte[] codeHash;

    ResultStore(Path file) throws IOException {
        try {
            store = new MVStore.Builder().fileName(file.toString()).open();
        } catch (MVStoreException e) {
            throw new IOException(file + ": not a result store, or in use by another process: "
                    + e.getMessage(), e);
        }
        results = store.openMap("results");
        codeHash = computeCodeHash();
    }

    private static byte[] computeCodeHash() throws IOException {
        HashStream128 hash = Hashing.murmur3_128().hashStream();
        for (Class<?> type : CODE_CLASSES) {
            hashResource(hash, "/" + type.getName().replace('.', '/') + ".class");
        }
        for (String resource : CODE_RESOURCES) {
            hashResource(hash, resource);
        }
        return hash.get().toByteArray();
    }

    private static void hashResource(HashStream128 hash, String resource) throws IOException {
        try (InputStream in = ResultStore.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new IOException("class file not found: " + resource);
            }
            hash.putByteArray(in.readAllBytes());
        }
    }

    /** The key under which a run's result is stored. */
    String key(byte[] fleet, String variant, long seed) {
        HashValue128 hash = Hashing.murmur3_128().hashStream().putByteArray(codeHash).putByteArray(fleet)
                .putString(variant).putLong(seed).get();
        return hash.toString();
    }

    /** Returns the stored result, or null. */
    Experiment.Result get(String key) throws IOException {
        String text = results.get(key);
        return text == null ? null : JSON.readValue(text, Experiment.Result.class);
    }

    /** Stores a result. Thread-safe. It is on disk within a second, or after {@link #close}. */
    void put(String key, Experiment.Result result) throws IOException {
        results.put(key, JSON.writeValueAsString(result));
        store.tryCommit();
    }

    int size() {
        return results.size();
    }

    @Override
    public void close() {
        store.close();
    }
}
