package rowanmoor.platform;

import com.dynatrace.hash4j.hashing.Hashing;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rowanmoor.ControlApi.Backend;

/**
 * Maps instance IDs to {@link Backend}s and back, and backends to their addresses. A backend's number is a
 * hash of the instance's ID alone, so that all controllers order backends alike, also after a restart. On a
 * hash collision, the instance registered later gets the next free hash. No I/O.
 */
final class InstanceRegistry {

    private static final long BACKEND_ID_MASK = (1L << 48) - 1; // a Backend's text form has 48 bits
    private static final Pattern BACKEND_TEXT = Pattern.compile("\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+");

    private final ToLongFunction<String> hash;
    private final Map<String, Backend> backendsById = new HashMap<>();
    private final Map<Backend, String> idsByBackend = new HashMap<>();
    private final Map<String, String> idsByText = new HashMap<>();
    private final Map<Backend, InetSocketAddress> addresses = new HashMap<>();

    InstanceRegistry() {
        this(InstanceRegistry::hash);
    }

    /** Uses another hash function, for tests of collisions. */
    InstanceRegistry(ToLongFunction<String> hash) {
        this.hash = hash;
    }

    static long hash(String id) {
        return Hashing.xxh3_64().hashCharsToLong(id);
    }

    /** Returns the backend of an instance that discovery lists; assigns one if it is new. */
    Backend register(String id) {
        Backend known = backendsById.get(id);
        if (known != null) {
            return known;
        }
        Backend backend = deriveBackend(id);
        for (int attempt = 1; idsByBackend.containsKey(backend); attempt++) {
            backend = deriveBackend(id + "#" + attempt);
        }
        backendsById.put(id, backend);
        idsByBackend.put(backend, id);
        idsByText.put(backend.toString(), id);
        return backend;
    }

    private Backend deriveBackend(String id) {
        return new Backend(hash.applyAsLong(id) & BACKEND_ID_MASK);
    }

    /** Returns the backend of an instance, or null if discovery has not listed it. */
    Backend find(String id) {
        return backendsById.get(id);
    }

    /** Returns the instance's ID, or null if the backend is not registered. */
    String id(Backend backend) {
        return idsByBackend.get(backend);
    }

    /** Sets the address at which this controller reaches the instance. */
    void setAddress(Backend backend, InetSocketAddress address) {
        addresses.put(backend, address);
    }

    /** Returns the instance's address, or null if none is known. */
    InetSocketAddress address(Backend backend) {
        return addresses.get(backend);
    }

    /** Removes an instance that the decision module has removed. */
    void forget(Backend backend) {
        String id = idsByBackend.remove(backend);
        if (id != null) {
            backendsById.remove(id);
            idsByText.remove(backend.toString());
            addresses.remove(backend);
        }
    }

    int size() {
        return backendsById.size();
    }

    /** Replaces backends in a log line of the decision module by their instance IDs. */
    String withInstanceIds(String text) {
        Matcher matcher = BACKEND_TEXT.matcher(text);
        return matcher.replaceAll(m -> idsByText.getOrDefault(m.group(), m.group()));
    }
}
