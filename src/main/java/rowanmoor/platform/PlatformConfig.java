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
 * Configuration of one controller of the platform, from environment variables and a JSON file.
 *
 * @param name the controller's name, for the log
 * @param listenAddress where peers connect
 * @param catalogAddress the instance catalog
 * @param maxSockets maximum number of descriptors of the process
 * @param knownInstances the last known list of instances, in the catalog's format; may be empty
 */
record PlatformConfig(String name, InetSocketAddress listenAddress, InetSocketAddress catalogAddress,
        long seed, int maxSockets, Map<String, Object> knownInstances, NamedSettings namedSettings) {

    private static final int MIN_SOCKETS = 64;
    private static final int HEX_RADIX = 16;

    /**
     * Reads the variables and the file.
     *
     * @throws IOException if anything is missing or invalid; its one-line text names the variable, or file
     * and key
     */
    static PlatformConfig read(Map<String, String> env) throws IOException {
        String file = variable(env, "GW_CONFIG");
        Map<String, Object> root;
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            root = Json.parseObject(bytes, 0, bytes.length);
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IOException("GW_CONFIG " + file + ": cannot be read: " + reason);
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
        throw new InvalidSettingsException(key + " is missing or not a string");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> root, String key) {
        if (root.get(key) instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidSettingsException(key + " is missing or not an object");
    }

    private static InetSocketAddress address(String key, String text) {
        InetSocketAddress address = Section.parseAddress(text);
        if (address == null) {
            throw new InvalidSettingsException(
                    key + " is not an IPv4 address and port: " + Messages.sanitize(text));
        }
        return address;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(
                    "seed is not a hexadecimal number: " + Messages.sanitize(text));
        }
    }

    private static int sockets(Object value) {
        if (value instanceof Number n && n.doubleValue() >= MIN_SOCKETS && n.doubleValue() <= 1e6) {
            return n.intValue();
        }
        throw new InvalidSettingsException(
                "limits.sockets is missing or not within " + MIN_SOCKETS + " to 1000000");
    }
}
