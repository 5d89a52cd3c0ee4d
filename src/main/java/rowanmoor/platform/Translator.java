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
 * What one proxy is to be told, as {@code push} messages: one part a set of classes, parts of one message
 * joined by {@code continued}. No I/O, no decision.
 */
final class Translator {

    private static final int LINES_A_PART = 16_384; // well under a message's 1 MiB
    private static final int DIGITS = 7;

    /** One part in the making: a table's changes for some classes. */
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
    private final Names names;
    private final Fanout fanout;

    Translator(List<String> classNames, Names names, Fanout fanout) {
        this.classNames = classNames;
        this.names = names;
        this.fanout = fanout;
    }

    /** The parts of one message, in the order in which they are to be written. */
    List<List<String>> push(int proxy, List<Frame.Order> orders) {
        List<Part> parts = new ArrayList<>();
        TreeMap<Integer, Frame.Level> levels = new TreeMap<>();
        LinkedHashMap<Backend, Boolean> shut = new LinkedHashMap<>();
        int mark = -1;
        for (Frame.Order order : orders) {
            if (order instanceof Frame.Bind bind) {
                Part part = new Part(bind.classMask());
                part.full = true;
                parts.add(part);
                bind.table().lines().forEach(l -> part.lines.put(l.backend(), l.weight()));
                eachClass(bind.classMask(), levels::remove);
                bind.table().levels().forEach(l -> eachClass(l.classMask() & bind.classMask(), c ->
                        levels.put(c, l)));
                bind.withdrawn().forEach(b -> shut.put(b, true));
            } else if (order instanceof Frame.SetLine line) {
                change(parts, fanout.boundClasses(proxy, line.table())).lines
                        .put(line.line().backend(), line.line().weight());
            } else if (order instanceof Frame.Admit admit) {
                eachClass(fanout.boundClasses(proxy, admit.table()) & admit.level().classMask(), c ->
                        levels.put(c, admit.level()));
            } else if (order instanceof Frame.Withdraw withdraw) {
                shut.put(withdraw.backend(), withdraw.withdrawn());
            } else if (order instanceof Frame.Mark m) {
                mark = m.number();
            }
        }
        attachLevels(parts, levels);
        return encode(parts, shut, mark);
    }

    /** The part that a change of these classes' table goes into: the last one, if it is of the same. */
    private static Part change(List<Part> parts, int classes) {
        for (int i = parts.size() - 1; i >= 0; i--) {
            if (parts.get(i).classes == classes) {
                return parts.get(i);
            }
            if ((parts.get(i).classes & classes) != 0) {
                break; // it must come after that one
            }
        }
        Part part = new Part(classes);
        parts.add(part);
        return part;
    }

    private void attachLevels(List<Part> parts, TreeMap<Integer, Frame.Level> levels) {
        Map<List<Object>, Integer> alike = new LinkedHashMap<>();
        levels.forEach((c, level) ->
                alike.merge(List.of(level.level(), level.retry()), 1 << c, (a, b) -> a | b));
        alike.forEach((what, classes) -> change(parts, classes).level =
                levels.get(Integer.numberOfTrailingZeros(classes)));
    }

    private interface OfClass {
        void of(int cls);
    }

    private static void eachClass(int classes, OfClass each) {
        for (int c = 0; classes >> c != 0; c++) {
            if ((classes >> c & 1) == 1) {
                each.of(c);
            }
        }
    }

    private List<List<String>> encode(List<Part> parts, Map<Backend, Boolean> shut, int mark) {
        List<List<String>> messages = new ArrayList<>();
        for (Part part : parts) {
            List<Map.Entry<Backend, Double>> lines = List.copyOf(part.lines.entrySet());
            for (int at = 0; at == 0 || at < lines.size(); at += LINES_A_PART) {
                List<String> message = begin();
                if (part.classes != (1 << classNames.size()) - 1) {
                    message.add("routes");
                    message.add(routes(part.classes));
                }
                if (part.full && at == 0) {
                    message.add("full");
                    message.add("1");
                }
                endpoints(message, lines.subList(at, Math.min(lines.size(), at + LINES_A_PART)));
                if (part.level != null && at == 0) {
                    message.add("admit");
                    message.add(number(part.level.level()));
                    message.add("policy");
                    message.add(Integer.toString(part.level.retry().ordinal()));
                }
                messages.add(message);
            }
        }
        if (messages.isEmpty()) {
            messages.add(begin());
        }
        List<String> last = messages.get(messages.size() - 1);
        shutOut(last, "eject", shut, true);
        shutOut(last, "restore", shut, false);
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

    /** Lines that a part counts for in the channel; a message's head is not among them. */
    static int lines(List<String> part) {
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

    private static List<String> begin() {
        List<String> message = new ArrayList<>();
        message.add("push");
        return message;
    }

    private String routes(int classes) {
        List<String> routes = new ArrayList<>();
        eachClass(classes, c -> routes.add(classNames.get(c)));
        return String.join("+", routes);
    }

    private void endpoints(List<String> message, List<Map.Entry<Backend, Double>> lines) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Backend, Double> line : lines) {
            String id = names.id(line.getKey());
            if (id != null) { // one never listed would cost the stream
                text.append(text.length() > 0 ? "," : "").append(id).append(':')
                        .append(number(line.getValue()));
            }
        }
        if (text.length() > 0) {
            message.add("endpoints");
            message.add(text.toString());
        }
    }

    private void shutOut(List<String> message, String field, Map<Backend, Boolean> shut, boolean out) {
        LinkedHashSet<String> ids = new LinkedHashSet<>();
        shut.forEach((backend, is) -> {
            if (is == out && names.id(backend) != null) {
                ids.add(names.id(backend));
            }
        });
        if (!ids.isEmpty()) {
            message.add(field);
            message.add(String.join(",", ids));
        }
    }

    /** A figure without an exponent, with as many digits as the simulator's wire keeps. */
    static String number(double value) {
        double rounded = Math.rint(value * 1e4) / 1e4;
        if (value >= 1 && value < 1e9) {
            return rounded == Math.rint(rounded) ? Long.toString((long) rounded)
                    : BigDecimal.valueOf(rounded).toPlainString();
        }
        return value <= 0 ? "0" : new BigDecimal(value).round(new MathContext(DIGITS)).stripTrailingZeros()
                .toPlainString();
    }
}
