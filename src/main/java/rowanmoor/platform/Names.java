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
final class Names {

    private static final long PLACES = (1L << 48) - 1; // as many as a Backend's text tells apart
    private static final Pattern PLACE = Pattern.compile("\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+");

    private final ToLongFunction<String> hash;
    private final Map<String, Backend> byId = new HashMap<>();
    private final Map<Backend, String> ids = new HashMap<>();
    private final Map<String, String> byText = new HashMap<>();
    private final Map<Backend, InetSocketAddress> addresses = new HashMap<>();

    Names() {
        this(Names::hash);
    }

    Names(ToLongFunction<String> hash) {
        this.hash = hash;
    }

    static long hash(String id) {
        return Hashing.xxh3_64().hashCharsToLong(id);
    }

    /** The backend of an instance that discovery lists. */
    Backend listed(String id) {
        Backend known = byId.get(id);
        if (known != null) {
            return known;
        }
        Backend backend = place(id);
        for (int again = 1; ids.containsKey(backend); again++) {
            backend = place(id + "#" + again);
        }
        byId.put(id, backend);
        ids.put(backend, id);
        byText.put(backend.toString(), id);
        return backend;
    }

    private Backend place(String id) {
        return new Backend(hash.applyAsLong(id) & PLACES);
    }

    /** The backend of an instance, or null for one that discovery has not listed. */
    Backend known(String id) {
        return byId.get(id);
    }

    String id(Backend backend) {
        return ids.get(backend);
    }

    /** Where this controller reaches it now. */
    void reach(Backend backend, InetSocketAddress at) {
        addresses.put(backend, at);
    }

    InetSocketAddress address(Backend backend) {
        return addresses.get(backend);
    }

    /** Lets go of one that the module has let go. */
    void forget(Backend backend) {
        String id = ids.remove(backend);
        if (id != null) {
            byId.remove(id);
            byText.remove(backend.toString());
            addresses.remove(backend);
        }
    }

    int count() {
        return byId.size();
    }

    /** A line of the module's log with the platform's names in it. */
    String named(String text) {
        Matcher places = PLACE.matcher(text);
        return places.replaceAll(m -> byText.getOrDefault(m.group(), m.group()));
    }
}
