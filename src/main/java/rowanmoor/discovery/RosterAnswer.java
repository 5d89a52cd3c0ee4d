package rowanmoor.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Availability;
import rowanmoor.config.Section;

/**
 * An answer of Consul's {@code /v1/health/service/NAME}: instances whose checks do not fail. An instance's
 * zone, kind, cell and start (milliseconds since 1970) stand in its service's Meta, its weight in
 * Weights.Passing, and a tag {@code draining} says that it takes nothing new.
 *
 * @param problems one line for each entry that could not be read
 */
record RosterAnswer(List<Entry> entries, List<String> problems) {

    /** {@code started} is 0 where it is not said; an entry that is not whole has only its address. */
    record Entry(Backend backend, int zone, int kind, int cell, Availability listed, double weight, long started,
            boolean whole) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ENTRIES_MOST = 65536;

    static RosterAnswer parse(byte[] body, List<String> zones, List<String> kinds) throws IOException {
        JsonNode root = JSON.readTree(body);
        if (root == null || !root.isArray() || root.size() > ENTRIES_MOST) {
            throw new IOException("the roster's answer is not a list of instances");
        }
        List<Entry> entries = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        for (JsonNode instance : root) {
            JsonNode service = instance.path("Service");
            String id = service.path("ID").asText("?");
            InetSocketAddress at = Section.parseAddress(service.path("Address").asText() + ":"
                    + service.path("Port").asInt(-1));
            if (at == null) {
                problems.add("instance " + id + ": Service.Address and Service.Port are no IPv4 address");
                continue;
            }
            if (passes(instance.path("Checks"))) {
                entries.add(entry(service, backend(at), zones, kinds, id, problems));
            }
        }
        return new RosterAnswer(entries, problems);
    }

    private static boolean passes(JsonNode checks) {
        for (JsonNode check : checks) {
            if (check.path("Status").asText().equals("critical")) {
                return false;
            }
        }
        return true;
    }

    private static Entry entry(JsonNode service, Backend backend, List<String> zones, List<String> kinds,
            String id, List<String> problems) {
        JsonNode meta = service.path("Meta");
        int zone = zones.indexOf(meta.path("zone").asText());
        int kind = kinds.indexOf(meta.path("kind").asText());
        double weight = service.path("Weights").path("Passing").asDouble(1);
        int cell = meta.path("cell").asInt(0);
        long started = meta.path("started").asLong(0);
        boolean whole = zone >= 0 && kind >= 0 && weight > 0 && weight < 1e6 && cell >= 0 && started >= 0;
        if (!whole) {
            problems.add("instance " + id
                    + ": Meta.zone, Meta.kind, Meta.cell, Meta.started or Weights.Passing"
                    + " is missing, unknown or out of range");
        }
        boolean draining = false;
        for (JsonNode tag : service.path("Tags")) {
            draining |= tag.asText().equals("draining");
        }
        return new Entry(backend, zone, kind, cell, draining ? Availability.DRAINING : Availability.READY, weight,
                started,
                whole);
    }

    static Backend backend(InetSocketAddress at) {
        long id = 0;
        for (byte part : at.getAddress().getAddress()) {
            id = id << 8 | part & 0xff;
        }
        return new Backend(id << 16 | at.getPort());
    }
}
