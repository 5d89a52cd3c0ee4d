package rowanmoor.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import rowanmoor.config.Section;
import rowanmoor.settings.InvalidSettingsException;
import rowanmoor.settings.SettingsReader;
import rowanmoor.settings.SettingsReader.NamedSettings;

/**
 * What the platform tells one controller, by variables and a JSON file.
 *
 * @param known the list of backends as this controller last had it, in the catalog's form; may be empty
 * @param sockets the most descriptors that the process may hold
 */
record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int sockets, Map<String, Object> known, NamedSettings told) {

    private static final int SOCKETS_LEAST = 64;
    private static final int HEX = 16;

    /** Reads all of it; what is wrong is told in one line that names variable, or file and key. */
    static PlatformConfig read(Map<String, String> env) throws IOException {
        String file = variable(env, "GW_CONFIG");
        Map<String, Object> root;
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            root = Json.object(bytes, 0, bytes.length);
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IOException("GW_CONFIG " + file + ": cannot be read: " + why);
        }
        try {
            Map<String, Object> limits = map(root, "limits");
            return new PlatformConfig(text(root, "name"), address("GW_LISTEN", variable(env, "GW_LISTEN")),
                    address("discovery", text(root, "discovery")), seed(text(root, "seed")),
                    sockets(limits.get("sockets")), map(root, "known"),
                    SettingsReader.fromTree(map(root, "settings")));
        } catch (InvalidSettingsException e) {
            throw new IOException("GW_CONFIG " + file + ": " + e.getMessage());
        }
    }

    private static String variable(Map<String, String> env, String name) throws IOException {
        String value = env.get(name);
        if (value == null || value.isEmpty()) {
            throw new IOException("variable " + name + " is not set");
        }
        return value;
    }

    private static String text(Map<String, Object> root, String key) {
        if (root.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new InvalidSettingsException(key + " is missing or no text");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> root, String key) {
        if (root.get(key) instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidSettingsException(key + " is missing or no object");
    }

    private static InetSocketAddress address(String key, String text) {
        InetSocketAddress address = Section.parseAddress(text);
        if (address == null) {
            throw new InvalidSettingsException(key + " is no IPv4 address and port: " + Messages.cut(text));
        }
        return address;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed is no hexadecimal number: " + Messages.cut(text));
        }
    }

    private static int sockets(Object value) {
        if (value instanceof Number n && n.doubleValue() >= SOCKETS_LEAST && n.doubleValue() <= 1e6) {
            return n.intValue();
        }
        throw new InvalidSettingsException("limits.sockets is missing or below " + SOCKETS_LEAST);
    }
}
