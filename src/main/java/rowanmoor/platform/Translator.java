package rowanmoor.platform;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.channel.Frame;
import rowanmoor.host.Fanout;

/**
 * Encodes the decision module's orders for one proxy as {@code push} messages. Each part covers one set of
 * classes; all parts but the last are marked {@code continued}. No I/O and no decisions.
 */
final class Translator {

    private static final int MAX_LINES_PER_PART = 16_384; // well under a message's 1 MiB
    private static final int SIGNIFICANT_DIGITS = 7;

    /** A part being built: the changes of one table, for a set of classes given as a bit mask. */
    private static final class Part {
        private final int classes;
        private boolean full;
        private final LinkedHashMap<Backend, Double> lines = new LinkedHashMap<>();
        private Frame.Level level;

        Part(int classes) {
            this.classes = classes;
        }
    }

    private final List<String> classNames;
    private final InstanceRegistry instances;
    private final Fanout fanout;

    Translator(List<String> classNames, InstanceRegistry instances, Fanout fanout) {
        this.classNames = classNames;
        this.instances = instances;
        this.fanout = fanout;
    }

    /** Returns the parts of one push, in the order in which they must be sent. */
    List<List<String>> pushMessages(int proxy, List<Frame.Order> orders) {
        List<Part> parts = new ArrayList<>();
        TreeMap<Integer, Frame.Level> levels = new TreeMap<>();
        LinkedHashMap<Backend, Boolean> ejections = new LinkedHashMap<>();
        int mark = -1;
        for (Frame.Order order : orders) {
            if (order instanceof Frame.Bind bind) {
                Part part = new Part(bind.classMask());
                part.full = true;
                parts.add(part);
                bind.table().lines().forEach(l -> part.lines.put(l.backend(), l.weight()));
                forEachClass(bind.classMask(), levels::remove);
                bind.table().levels().forEach(l -> forEachClass(l.classMask() & bind.classMask(), c ->
                        levels.put(c, l)));
                bind.withdrawn().forEach(b -> ejections.put(b, true));
            } else if (order instanceof Frame.SetLine line) {
                partFor(parts, fanout.boundClasses(proxy, line.table())).lines
                        .put(line.line().backend(), line.line().weight());
            } else if (order instanceof Frame.Admit admit) {
                forEachClass(fanout.boundClasses(proxy, admit.table()) & admit.level().classMask(), c ->
                        levels.put(c, admit.level()));
            } else if (order instanceof Frame.Withdraw withdraw) {
                ejections.put(withdraw.backend(), withdraw.withdrawn());
            } else if (order instanceof Frame.Mark m) {
                mark = m.number();
            }
        }
        attachLevels(parts, levels);
        return encode(parts, ejections, mark);
    }

    /**
     * Returns the part for a change to these classes: the latest of the same classes if order allows, else a
     * new one.
     */
    private static Part partFor(List<Part> parts, int classes) {
        for (int i = parts.size() - 1; i >= 0; i--) {
            if (parts.get(i).classes == classes) {
                return parts.get(i);
            }
            if ((parts.get(i).classes & classes) != 0) {
                break; // must be sent after this part, which covers some of the same classes
            }
        }
        Part part = new Part(classes);
        parts.add(part);
        return part;
    }

    /** Adds the levels to parts; classes with the same level and retry policy share one. */
    private void attachLevels(List<Part> parts, TreeMap<Integer, Frame.Level> levels) {
        Map<List<Object>, Integer> classesByLevel = new LinkedHashMap<>();
        levels.forEach((c, level) ->
                classesByLevel.merge(List.of(level.level(), level.retry()), 1 << c, (a, b) -> a | b));
        classesByLevel.forEach((levelAndRetry, classes) -> partFor(parts, classes).level =
                levels.get(Integer.numberOfTrailingZeros(classes)));
    }

    private interface ClassVisitor {
        void visit(int cls);
    }

    private static void forEachClass(int classes, ClassVisitor visitor) {
        for (int c = 0; classes >> c != 0; c++) {
            if ((classes >> c & 1) == 1) {
                visitor.visit(c);
            }
        }
    }

    private List<List<String>> encode(List<Part> parts, Map<Backend, Boolean> ejections, int mark) {
        List<List<String>> messages = new ArrayList<>();
        for (Part part : parts) {
            List<Map.Entry<Backend, Double>> lines = List.copyOf(part.lines.entrySet());
            for (int at = 0; at == 0 || at < lines.size(); at += MAX_LINES_PER_PART) {
                List<String> message = newPush();
                if (part.classes != (1 << classNames.size()) - 1) {
                    message.add("routes");
                    message.add(routes(part.classes));
                }
                if (part.full && at == 0) {
                    message.add("full");
                    message.add("1");
                }
                addEndpoints(message, lines.subList(at, Math.min(lines.size(), at + MAX_LINES_PER_PART)));
                if (part.level != null && at == 0) {
                    message.add("admit");
                    message.add(formatNumber(part.level.level()));
                    message.add("policy");
                    message.add(Integer.toString(part.level.retry().ordinal()));
                }
                messages.add(message);
            }
        }
        if (messages.isEmpty()) {
            messages.add(newPush());
        }
        List<String> last = messages.get(messages.size() - 1);
        addInstanceIds(last, "eject", ejections, true);
        addInstanceIds(last, "restore", ejections, false);
        if (mark >= 0) {
            last.add("nonce_out");
            last.add(Integer.toString(mark));
        }
        for (int i = 0; i < messages.size() - 1; i++) {
            messages.get(i).add("continued");
            messages.get(i).add("1");
        }
        return messages;
    }

    /** Lines that a part costs in the channel's budget, without the message's head. */
    static int lineCount(List<String> part) {
        int lines = 0;
        for (int i = 1; i < part.size(); i += 2) {
            lines += switch (part.get(i)) {
                case "endpoints", "eject", "restore" -> 1 + (int) part.get(i + 1).chars()
                        .filter(c -> c == ',').count();
                case "full", "admit", "nonce_out" -> 1;
                default -> 0;
            };
        }
        return lines;
    }

    private static List<String> newPush() {
        List<String> message = new ArrayList<>();
        message.add("push");
        return message;
    }

    private String routes(int classes) {
        List<String> routes = new ArrayList<>();
        forEachClass(classes, c -> routes.add(classNames.get(c)));
        return String.join("+", routes);
    }

    private void addEndpoints(List<String> message, List<Map.Entry<Backend, Double>> lines) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Backend, Double> line : lines) {
            String id = instances.id(line.getKey());
            if (id != null) { // a proxy would close the stream on an unknown instance
                text.append(text.length() > 0 ? "," : "").append(id).append(':')
                        .append(formatNumber(line.getValue()));
            }
        }
        if (text.length() > 0) {
            message.add("endpoints");
            message.add(text.toString());
        }
    }

    private void addInstanceIds(List<String> message, String field, Map<Backend, Boolean> ejections,
            boolean ejected) {
        LinkedHashSet<String> ids = new LinkedHashSet<>();
        ejections.forEach((backend, isEjected) -> {
            if (isEjected == ejected && instances.id(backend) != null) {
                ids.add(instances.id(backend));
            }
        });
        if (!ids.isEmpty()) {
            message.add(field);
            message.add(String.join(",", ids));
        }
    }

    /** Formats a number without an exponent, at the precision of the simulator's protocol. */
    static String formatNumber(double value) {
        double rounded = Math.rint(value * 1e4) / 1e4;
        if (value >= 1 && value < 1e9) {
            return rounded == Math.rint(rounded) ? Long.toString((long) rounded)
                    : BigDecimal.valueOf(rounded).toPlainString();
        }
        return value <= 0 ? "0" : new BigDecimal(value).round(new MathContext(SIGNIFICANT_DIGITS))
                .stripTrailingZeros().toPlainString();
    }
}
