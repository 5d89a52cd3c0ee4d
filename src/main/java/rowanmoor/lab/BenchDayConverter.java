package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts a day of the benchmark (JSON, times in microseconds) into a day file. The fleet and the rate are
 * scaled down alike; troubles that stand-ins cannot play are listed, in the file and for the caller.
 */
public final class BenchDayConverter {

    /** The day file's text, and one line for each trouble that was skipped. */
    public record Conversion(String text, List<String> skippedTroubles) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double US_PER_SECOND = 1e6;

    private final JsonNode day;
    private final double scale;
    private final StringBuilder out = new StringBuilder();
    private final List<String> skippedTroubles = new ArrayList<>();

    private BenchDayConverter(JsonNode day, double scale) {
        this.day = day;
        this.scale = scale;
    }

    /** @param scale fraction of the fleet and of the rate to keep, above 0 and up to 1 */
    public static Conversion convert(Path file, double scale) throws IOException {
        JsonNode day = JSON.readTree(Files.readString(file));
        if (day == null || !day.path("family").asText().equals("control") || !day.has("troubles")) {
            throw new IOException(file + ": family: not a day of a control service");
        }
        return new BenchDayConverter(day, scale).converted();
    }

    private void line(String format, Object... arguments) {
        out.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    private static String ms(double micros) {
        return Math.max(1, Math.round(micros / 1000)) + "ms";
    }

    private static String quoted(Iterable<JsonNode> names) {
        List<String> all = new ArrayList<>();
        names.forEach(name -> all.add("\"" + name.asText() + "\""));
        return String.join(" ", all);
    }

    private Conversion converted() {
        JsonNode tier = day.get("tiers").get(0);
        int proxies = Math.max(2, (int) Math.round(day.get("balancers").size() * scale));
        line("day \"%s %s\" {", day.path("site").asText(), day.path("kind").asText());
        line("    seed %d", Math.floorMod(day.path("noise").asLong(), 1_000_000));
        line("    length \"%s\"%n    settle \"5s\"%n}%n", ms(day.path("length").asDouble()));
        site(tier, proxies);
        double capacity = fleet(tier, proxies);
        JsonNode discovery = day.get("discovery");
        line("roster { notice \"%s\"; wait \"2s\"; empty-hold \"3s\" }%n",
                ms(discovery.path("notice").asDouble()));
        load(capacity);
        line("troubles {");
        day.get("troubles").forEach(this::trouble);
        line("}");
        skippedTroubles.forEach(skipped -> line("// left out: %s", skipped));
        return new Conversion(out.toString(), List.copyOf(skippedTroubles));
    }

    private void site(JsonNode tier, int proxies) {
        JsonNode family = day.get("fam");
        List<JsonNode> kinds = new ArrayList<>();
        tier.get("kinds").forEach(kind -> kinds.add(kind.get("name")));
        line("site {%n    zones %s%n    kinds %s", quoted(day.get("zones")), quoted(kinds));
        for (JsonNode cls : day.get("classes")) {
            String limits = cls.path("only_kinds").size() == 0 ? ""
                    : "; only-kinds " + quoted(names(cls, "only_kinds", kinds));
            limits += cls.path("only_zones").size() == 0 ? ""
                    : "; only-zones " + quoted(names(cls, "only_zones", list(day.get("zones"))));
            line("    class \"%s\" { prefix \"/%s\"; aim \"%s\"; deadline \"%s\"; worth %s; late-worth %s;"
                    + " effect \"%s\"; group \"%s\"; window \"%s\"; write #%s%s }", cls.get("name").asText(),
                    cls.get("name").asText(), ms(cls.get("aim").asDouble()),
                    ms(cls.get("deadline").asDouble()), cls.get("worth").asText(),
                    cls.get("late_worth").asText(), cls.get("effect").asText(),
                    cls.path("group").asText("all"), ms(cls.path("window").asDouble(5e6)),
                    cls.path("write").asBoolean(), limits);
        }
        List<String> columns = new ArrayList<>();
        Map<String, String> columnsByField = Map.of("queue", "queue", "latency_ms", "latency-ms",
                "util", "busy", "inflight", "inflight");
        for (JsonNode field : tier.path("report_fields")) {
            if (columnsByField.containsKey(field.asText())) {
                columns.add("\"" + columnsByField.get(field.asText()) + "\"");
            }
        }
        if (!columns.isEmpty()) {
            line("    load-report %s", String.join(" ", columns));
        }
        line("    probes #%s%n    choice \"%s\"%n    admission \"%s\"%n    standing %d%n    ejects %d",
                day.path("allow").path("probes").asBoolean(), family.path("pick").asText("two"),
                family.path("admit").asText("rate").replace("none", "off"), family.path("standing").asInt(5),
                family.path("ejects").asInt());
        line("    eject-for \"%s\"%n    proxies %d%n    period \"%s\"%n    intake \"%s/s\"",
                ms(family.path("eject").asDouble()), proxies, ms(family.path("period").asDouble()),
                family.path("intake").asText());
        line("    rules { bare \"%s\"; drain-grace \"%s\"; cold \"%s\"; cold-from %s; fall-multiple %s;"
                + " fall-span \"%s\" }", ms(family.path("bare").asDouble()),
                ms(day.path("drain_grace").asDouble()), ms(tier.path("stated_cold").asDouble()),
                tier.path("stated_cold_from").asText(), day.path("fall_multiple").asText(),
                ms(day.path("fall_for").asDouble()));
        line("    channel { pace \"%s/s\"; head %s; backlog %s; late \"%s\"; latest \"%s\" }%n}%n",
                family.path("rate").asText(), family.path("head").asText(), family.path("backlog").asText(),
                ms(family.path("late").asDouble()), ms(3 * family.path("late").asDouble()));
    }

    private static List<JsonNode> list(JsonNode array) {
        List<JsonNode> all = new ArrayList<>();
        array.forEach(all::add);
        return all;
    }

    private static List<JsonNode> names(JsonNode cls, String key, List<JsonNode> names) {
        List<JsonNode> all = new ArrayList<>();
        // Either a list for each tier or one flat list; a control service has one tier.
        cls.get(key).forEach(entry -> (entry.isArray() ? list(entry) : List.of(entry)).forEach(name ->
                all.add(name.isInt() ? names.get(name.asInt()) : name)));
        return all;
    }

    /** Writes the fleet; returns its capacity in seconds of work per second. */
    private double fleet(JsonNode tier, int proxies) {
        TreeMap<Integer, List<JsonNode>> byKind = new TreeMap<>();
        day.get("servers").forEach(server -> byKind.computeIfAbsent(server.get("kind").asInt(),
                kind -> new ArrayList<>()).add(server));
        List<String> controllers = new ArrayList<>();
        day.get("fam").path("controllers").forEach(zone -> controllers.add(
                "\"" + day.get("zones").get(zone.asInt()).asText() + "\""));
        line("fleet {%n    controllers %s%n    proxies %d%n    proxy-skew 0.8", String.join(" ", controllers),
                proxies);
        double[] capacity = {0};
        byKind.forEach((kind, servers) -> {
            JsonNode kindNode = tier.get("kinds").get(kind);
            int count = Math.max(1, (int) Math.round(servers.size() * scale));
            double speed = servers.stream().mapToDouble(server -> server.get("speed").asDouble()).average()
                    .orElse(1);
            capacity[0] += count * speed * kindNode.get("cores").asInt();
            line("    backends \"%s\" { count %d; cores %d; speed %.3f; slots %d; queue %d; weight %s;"
                    + " connections %d; cold-from %.3f; cold \"%s\" }", kindNode.get("name").asText(),
                    count, kindNode.get("cores").asInt(), speed, kindNode.get("slots").asInt(),
                    kindNode.get("queue").asInt(), servers.get(0).path("weight").asText("1"),
                    Math.max(50, Math.round(tier.path("conn_cap_per_core").asDouble(100)
                            * kindNode.get("cores").asInt())),
                    kindNode.get("cold_from").asDouble(), ms(kindNode.get("cold").asDouble()));
        });
        line("}%n");
        return capacity[0];
    }

    private void load(double capacity) {
        double shares = 0;
        double work = 0;
        for (JsonNode cls : day.get("classes")) {
            shares += cls.get("share").asDouble();
            work += cls.get("share").asDouble() * cls.get("work").asDouble() / US_PER_SECOND;
        }
        double rate = day.get("traffic").get("load").asDouble() * capacity / (work / shares);
        line("load {%n    rate \"%.1f/s\"%n    swing 0.1", rate);
        for (JsonNode cls : day.get("classes")) {
            line("    class \"%s\" { share %.4f; work \"%s\" }", cls.get("name").asText(),
                    Math.min(1, cls.get("share").asDouble()), ms(cls.get("work").asDouble()));
        }
        JsonNode clients = day.get("clients");
        line("}%n%nclients { retries %d; backoff \"%s\"; try-share %.3f }%n", clients.path("retries").asInt(),
                ms(clients.path("backoff_us").asDouble()), clients.path("try_share").asDouble(1));
    }

    private void trouble(JsonNode trouble) {
        String kind = trouble.get("kind").asText();
        double backendFraction = Math.min(1, trouble.path("on").size() / (double) day.get("servers").size());
        double proxyFraction = Math.min(1, trouble.path("on").size() / (double) day.get("balancers").size());
        String size = String.format(Locale.ROOT, "%.3f", trouble.path("size").asDouble());
        String zone = "zone \"" + day.get("zones").get(Math.min(day.get("zones").size() - 1,
                trouble.path("which").asInt())).asText() + "\"";
        String block = switch (kind) {
            case "crash" -> "crash { %s; part " + number(backendFraction) + " }";
            case "slow" -> "slow { %s; part " + number(backendFraction) + "; size " + size + " }";
            case "shared_slow" -> "slow { %s; part 1; size " + size + " }";
            case "fast_errors" ->
                    "fast-errors { %s; part " + number(backendFraction) + "; size " + size + " }";
            case "pauses" -> "pauses { %s; part " + number(backendFraction) + "; size " + size + " }";
            case "burst" -> "burst { %s; size " + size + " }";
            case "zone_cut" -> "zone-cut { %s; " + zone + " }";
            case "zone_loss" -> "zone-loss { %s; " + zone + " }";
            case "discovery_down" -> "roster-down { %s }";
            case "counter_down" -> "proxies-cut { %s; part " + number(proxyFraction) + " }";
            case "answer_lost" ->
                    "answers-lost { %s; part " + number(backendFraction) + "; size " + size + " }";
            case "false_reports" ->
                    "false-reports { %s; part " + number(backendFraction) + "; size " + size + " }";
            default -> null;
        };
        if (block == null) {
            skippedTroubles.add(kind + " at " + ms(trouble.get("at").asDouble()) + " for "
                    + ms(trouble.get("len").asDouble()) + ": no stand-in plays it");
        } else {
            String when = "at \"" + ms(trouble.get("at").asDouble()) + "\"; for \""
                    + ms(trouble.get("len").asDouble());
            line("    " + block, when + "\"");
        }
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
