package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.standin.Clients;

/** Charts of a day with one point per second: load, service, table versions, levels, waiting lines. */
final class Charts {

    private static final double NS_PER_SECOND = 1e9;
    /** Levels at or above this admit everything and are not drawn. */
    private static final double UNLIMITED_LEVEL = 1e5;

    private final DayResult result;
    private final Path directory;
    private final int seconds;

    Charts(DayResult result, Path directory) {
        this.result = result;
        this.directory = directory;
        this.seconds = (int) Math.ceil(result.day().length() / NS_PER_SECOND);
    }

    void write() throws IOException {
        outcomes("load", "requests a second", o -> true);
        outcomes("served", "answered within the aim, a second", o -> o.answered()
                && o.latencyNs() <= result.day().site().classes().get(o.cls()).aim());
        updates();
        waiting();
    }

    private int second(long at) {
        return (int) Math.floorDiv(at - result.evidence().start(), (long) NS_PER_SECOND);
    }

    private void outcomes(String name, String axis,
            Predicate<Clients.RequestOutcome> filter) throws IOException {
        Map<String, double[]> series = new TreeMap<>();
        for (Clients.RequestOutcome o : result.outcomes()) {
            int second = second(o.arrivedAt());
            if (filter.test(o) && second >= 0 && second < seconds) {
                series.computeIfAbsent(result.day().site().classNames().get(o.cls()),
                        c -> new double[seconds])[second]++;
            }
        }
        save(name, axis, series);
    }

    /** Table versions and levels as the proxies read them. */
    private void updates() throws IOException {
        double[] versions = new double[seconds];
        Map<String, double[]> levels = new TreeMap<>();
        Map<String, FrameReader> readers = new HashMap<>();
        for (Evidence.TapEvent tap : result.evidence().tapEvents()) {
            FrameReader reader = readers.computeIfAbsent(tap.proxy() + "/" + tap.stream(),
                    k -> new FrameReader(ChannelLimits.defaults()));
            ByteBuffer bytes = ByteBuffer.wrap(tap.bytes());
            int second = second(tap.at());
            try {
                while (bytes.hasRemaining()) {
                    Frame frame = reader.next(bytes);
                    if (frame instanceof Frame.Update update && second >= 0 && second < seconds) {
                        versions[second]++;
                        update.orders().forEach(o -> levels(o, second, levels));
                    }
                }
            } catch (ChannelException e) {
                readers.remove(tap.proxy() + "/" + tap.stream()); // reported by the rule checker
            }
        }
        save("versions", "updates read a second, all proxies", Map.of("updates", versions));
        save("levels", "lowest level ordered in the second, requests a second at a proxy", levels);
    }

    private void levels(Frame.Order order, int second, Map<String, double[]> levels) {
        List<Frame.Level> all = order instanceof Frame.Admit a ? List.of(a.level())
                : order instanceof Frame.Bind b ? b.table().levels() : List.of();
        for (Frame.Level level : all) {
            for (int c = 0; c < result.classTotals().size(); c++) {
                if ((level.classMask() >> c & 1) == 1 && level.level() < UNLIMITED_LEVEL) {
                    double[] lowest = levels.computeIfAbsent(result.day().site().classNames().get(c),
                            k -> new double[seconds]);
                    lowest[second] = lowest[second] == 0 ? level.level()
                            : Math.min(lowest[second], level.level());
                }
            }
        }
    }

    private void waiting() throws IOException {
        Map<String, double[]> series = new TreeMap<>();
        for (int rank = 0; rank < result.day().controllerZones().size(); rank++) {
            List<Double> y = new ArrayList<>();
            for (JsonNode stat : result.stats()) {
                if (stat.get("rank").asInt() == rank) {
                    y.add(stat.get("waiting").asDouble());
                }
            }
            if (!y.isEmpty()) {
                series.put("controller " + rank, y.stream().mapToDouble(v -> v).toArray());
            }
        }
        save("waiting", "lines waiting in the channel", series);
    }

    private void save(String name, String axis, Map<String, double[]> series) throws IOException {
        if (series.isEmpty()) {
            return;
        }
        XYChart chart = new XYChartBuilder().width(900).height(400).title(result.day().name() + ": " + name)
                .xAxisTitle("seconds").yAxisTitle(axis).build();
        chart.getStyler().setMarkerSize(0);
        series.forEach((label, y) -> {
            double[] x = new double[y.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = i;
            }
            chart.addSeries(label, x, y);
        });
        VectorGraphicsEncoder.saveVectorGraphic(chart, directory.resolve(name).toString(),
                VectorGraphicsFormat.SVG);
    }
}
