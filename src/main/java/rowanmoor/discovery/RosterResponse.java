package rowanmoor.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Backend;
import rowanmoor.config.Section;

/**
 * A response of Consul's {@code /v1/health/service/NAME}, without instances whose checks are critical. Zone,
 * kind, cell and start time (milliseconds since 1970) are in the service's Meta, the weight is in
 * Weights.Passing, and the tag {@code draining} means that the instance accepts no new requests.
 *
 * @param problems one line for each unreadable entry
 */
record RosterResponse(List<Entry> entries, List<String> problems) {

    /**
     * One instance.
     *
     * @param startedAtMs 0 if not stated
     * @param complete false if a field is missing or invalid; then only the address is usable
     */
    record Entry(Backend backend, int zone, int kind, int cell, Availability availability, double weight,
            long startedAtMs, boolean complete) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ENTRIES = 65536;

    /** Parses a response body; throws if it is not a JSON array of at most {@code MAX_ENTRIES} entries. */
    static RosterResponse parse(byte[] body, List<String> zones, List<String> kinds) throws IOException {
        JsonNode root = JSON.readTree(body);
        if (root == null || !root.isArray() || root.size() > MAX_ENTRIES) {
            throw new IOException("the roster's response is not a list of instances");
        }
        List<Entry> entries = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        for (JsonNode instance : root) {
            JsonNode service = instance.path("Service");
            String id = service.path("ID").asText("?");
            InetSocketAddress address = Section.parseAddress(service.path("Address").asText() + ":"
                    + service.path("Port").asInt(-1));
            if (address == null) {
                problems.add("instance " + id + ": Service.Address and Service.Port are not an IPv4 address");
                continue;
            }
            if (isPassing(instance.path("Checks"))) {
                entries.add(parseEntry(service, toBackend(address), zones, kinds, id, problems));
            }
        }
        return new RosterResponse(entries, problems);
    }

    private static boolean isPassing(JsonNode checks) {
        for (JsonNode check : checks) {
            if (check.path("Status").asText().equals("critical")) {
                return false;
            }
        }
        return true;
    }

    private static Entry parseEntry(JsonNode service, Backend backend, List<String> zones, List<String> kinds,
            String id, List<String> problems) {
        JsonNode meta = service.path("Meta");
        int zone = zones.indexOf(meta.path("zone").asText());
        int kind = kinds.indexOf(meta.path("kind").asText());
        double weight = service.path("Weights").path("Passing").asDouble(1);
        int cell = meta.path("cell").asInt(0);
        long startedAtMs = meta.path("started").asLong(0);
        boolean complete = zone >= 0 && kind >= 0 && weight > 0 && weight < 1e6 && cell >= 0
                && startedAtMs >= 0;
        if (!complete) {
            problems.add("instance " + id
                    + ": Meta.zone, Meta.kind, Meta.cell, Meta.started or Weights.Passing"
                    + " is missing, unknown or out of range");
        }
        boolean draining = false;
        for (JsonNode tag : service.path("Tags")) {
            draining |= tag.asText().equals("draining");
        }
        return new Entry(backend, zone, kind, cell,
                draining ? Availability.DRAINING : Availability.READY, weight, startedAtMs, complete);
    }

    static Backend toBackend(InetSocketAddress address) {
        long id = 0;
        for (byte part : address.getAddress().getAddress()) {
            id = id << 8 | part & 0xff;
        }
        return new Backend(id << 16 | address.getPort());
    }
}
