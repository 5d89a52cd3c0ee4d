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
 * Which {@link Backend} stands for which instance. It is drawn from the instance's ID alone, so that every
 * controller and every start has one order; where two IDs meet, the later one here moves on. No I/O.
 */
final class InstanceRegistry {

    private static final long BACKEND_ID_MASK = (1L << 48) - 1; // as many as a Backend's text tells apart
    private static final Pattern BACKEND_TEXT = Pattern.compile("\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+");

    private final ToLongFunction<String> hash;
    private final Map<String, Backend> backendsById = new HashMap<>();
    private final Map<Backend, String> idsByBackend = new HashMap<>();
    private final Map<String, String> idsByText = new HashMap<>();
    private final Map<Backend, InetSocketAddress> addresses = new HashMap<>();

    InstanceRegistry() {
        this(InstanceRegistry::hash);
    }

    InstanceRegistry(ToLongFunction<String> hash) {
        this.hash = hash;
    }

    static long hash(String id) {
        return Hashing.xxh3_64().hashCharsToLong(id);
    }

    /** The backend of an instance that discovery lists. */
    Backend register(String id) {
        Backend known = backendsById.get(id);
        if (known != null) {
            return known;
        }
        Backend backend = deriveBackend(id);
        for (int again = 1; idsByBackend.containsKey(backend); again++) {
            backend = deriveBackend(id + "#" + again);
        }
        backendsById.put(id, backend);
        idsByBackend.put(backend, id);
        idsByText.put(backend.toString(), id);
        return backend;
    }

    private Backend deriveBackend(String id) {
        return new Backend(hash.applyAsLong(id) & BACKEND_ID_MASK);
    }

    /** The backend of an instance, or null for one that discovery has not listed. */
    Backend find(String id) {
        return backendsById.get(id);
    }

    String id(Backend backend) {
        return idsByBackend.get(backend);
    }

    /** Where this controller reaches it now. */
    void setAddress(Backend backend, InetSocketAddress at) {
        addresses.put(backend, at);
    }

    InetSocketAddress address(Backend backend) {
        return addresses.get(backend);
    }

    /** Lets go of one that the module has let go. */
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

    /** A line of the module's log with the platform's names in it. */
    String withInstanceIds(String text) {
        Matcher places = BACKEND_TEXT.matcher(text);
        return places.replaceAll(m -> idsByText.getOrDefault(m.group(), m.group()));
    }
}
