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
 * Results of runs, kept in an embedded store under a hash of all that they follow from: the fleet's file, the
 * variant, the seed, and the code that decides and emulates. Changed code finds no old result.
 */
final class ResultStore implements Closeable {

    private static final ObjectMapper JSON = new ObjectMapper();
    // The classes whose code a result follows from; others of their packages change with them.
    private static final List<Class<?>> CODE = List.of(RoutingPolicy.class, Driver.class, Router.class,
            Emulator.class);
    private static final List<String> MORE = List.of("/rowanmoor/FleetState.class", "/rowanmoor/FleetState$Path.class",
            "/rowanmoor/controller/Intake.class", "/rowanmoor/controller/Outbox.class",
            "/rowanmoor/host/TableStore.class", "/rowanmoor/host/TickRunner.class",
            "/rowanmoor/host/Fanout.class", "/rowanmoor/emulator/SimulatedBackend.class",
            "/rowanmoor/emulator/EventQueue.class", "/rowanmoor/emulator/Model.class");

    private final MVStore store;
    private final MVMap<String, String> results;
    private final byte[] code;

    ResultStore(Path file) throws IOException {
        try {
            store = new MVStore.Builder().fileName(file.toString()).open();
        } catch (MVStoreException e) {
            throw new IOException(file + ": is no store of results, or in use: " + e.getMessage(), e);
        }
        results = store.openMap("results");
        code = code();
    }

    private static byte[] code() throws IOException {
        HashStream128 hash = Hashing.murmur3_128().hashStream();
        for (Class<?> one : CODE) {
            put(hash, "/" + one.getName().replace('.', '/') + ".class");
        }
        for (String resource : MORE) {
            put(hash, resource);
        }
        return hash.get().toByteArray();
    }

    private static void put(HashStream128 hash, String resource) throws IOException {
        try (InputStream in = ResultStore.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new IOException("no class " + resource);
            }
            hash.putByteArray(in.readAllBytes());
        }
    }

    /** The key of a run. */
    String key(byte[] fleet, String variant, long seed) {
        HashValue128 hash = Hashing.murmur3_128().hashStream().putByteArray(code).putByteArray(fleet)
                .putString(variant).putLong(seed).get();
        return hash.toString();
    }

    /** A result, or null. */
    Experiment.Result get(String key) throws IOException {
        String text = results.get(key);
        return text == null ? null : JSON.readValue(text, Experiment.Result.class);
    }

    /** Keeps a result; from any thread. It is on disk within a second, or at once after {@link #close}. */
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
