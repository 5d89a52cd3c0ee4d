package rowanmoor.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import rowanmoor.plan.Estimator;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Goal;
import rowanmoor.plan.Planner;

/** Writes a capacity plan as one self-contained HTML page with inline charts. */
public final class PlanReport {

    /**
     * The results of a plan.
     *
     * @param assumptions figures that were taken as given, each as name, value and source
     * @param curve service by rate
     */
    public record Plan(String fleet, Goal goal, double currentRate, int currentBackends,
            List<String[]> assumptions,
            List<Estimator.Estimate> estimates, List<String> notes, Planner.BreakingPoint breaks,
            List<Planner.CurvePoint> curve, Planner.FleetSize enough, boolean zonesLost,
            List<Planner.LossImpact> losses,
            List<Planner.Sensitivity> sensitivity) { }

    private static final int WIDTH = 860;
    private static final int HEIGHT = 320;

    private final Plan plan;
    private final StringBuilder page = new StringBuilder();

    private PlanReport(Plan plan) {
        this.plan = plan;
    }

    /** Writes {@code plan.html} into a directory. */
    public static void write(Plan plan, Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("plan.html"), new PlanReport(plan).page());
    }

    private String page() throws IOException {
        page.append("""
                <!DOCTYPE html>
                <html lang="en"><head><meta charset="utf-8"><title>Capacity plan</title><style>
                body { font: 15px/1.45 sans-serif; max-width: 900px; margin: 2em auto; color: #222 }
                table { border-collapse: collapse; margin: .6em 0 } h2 { margin-top: 1.6em }
                td, th { padding: .2em .8em; text-align: left; border-bottom: 1px solid #ddd }
                .bad { color: #a00 } .note { color: #666 }
                svg { max-width: 100%; height: auto }
                </style></head><body>
                """);
        line("<h1>Capacity plan: %s</h1>", text(plan.fleet()));
        line("<p>Goal: at least %.3f of the worth answered in time%s. Asked for now: %.1f requests a second"
                + " on"
                + " %d backends. Figures are emulated.</p>", plan.goal().minService(),
                plan.goal().minWorstService() > 0
                ? String.format(Locale.ROOT, ", %.3f over the worst ten seconds",
                plan.goal().minWorstService()) : "",
                plan.currentRate(), plan.currentBackends());
        breaks();
        enough();
        losses();
        sensitivity();
        assumptions();
        return page.append("</body></html>\n").toString();
    }

    private void breaks() throws IOException {
        line("<h2>What breaks first</h2>");
        Planner.BreakingPoint b = plan.breaks();
        if (b.rate().sampleCount() == 0) {
            line("<p>Nothing: %s.</p>", text(b.note()));
            return;
        }
        line("<p>The goal fails at <b>%.0f requests a second</b> (95%%: %.0f to %.0f, %d seeds, %d runs)%s."
                + "</p>",
                b.rate().mean(), b.rate().low(), b.rate().high(), b.rate().sampleCount(), b.runs(),
                b.note().isEmpty() ? "" : "; " + text(b.note()));
        line("<table><tr><th></th><th>short of</th><th>where</th><th>seen</th><th>pressure</th></tr>");
        int n = 0;
        for (Finding f : b.findings()) {
            if (++n <= 3) {
                line("<tr><td>%d</td><td>%s</td><td>%s</td><td>%s</td><td>%.2f</td></tr>", n, f.resource(),
                        text(f.location()), text(f.evidence()), f.pressure());
            }
        }
        line("</table>");
        if (!plan.curve().isEmpty()) {
            XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title("service over load")
                    .xAxisTitle("requests a second").yAxisTitle("service, 95% over seeds").build();
            double[] x = plan.curve().stream().mapToDouble(Planner.CurvePoint::rate).toArray();
            chart.addSeries("service", x,
                    plan.curve().stream().mapToDouble(p -> p.service().mean()).toArray(),
                    plan.curve().stream()
                            .mapToDouble(p -> p.service().high() - p.service().mean()).toArray());
            chart.addSeries("goal", x,
                    plan.curve().stream().mapToDouble(p -> plan.goal().minService()).toArray())
                    .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
            svg(chart);
        }
    }

    private void enough() {
        line("<h2>How many backends</h2>");
        Planner.FleetSize e = plan.enough();
        if (e.count() < 0 || !e.note().isEmpty()) {
            line("<p class=\"%s\">%s.</p>", e.count() < 0 ? "bad" : "note", text(e.note()));
        } else {
            line("<p><b>%d backends</b>, in today's proportions, hold %.1f requests a second%s: service %.3f,"
                    + " on seeds that the search did not see %.3f (%d runs). There are %d now.</p>",
                            e.count(),
                    plan.currentRate(), plan.zonesLost() ? " with each zone lost in turn" : "", e.service(),
                    e.validationService(), e.runs(), plan.currentBackends());
        }
    }

    private void losses() throws IOException {
        if (plan.losses().isEmpty()) {
            return;
        }
        line("<h2>What a loss does</h2>");
        line("<table><tr><th>lost</th><th>before</th><th>during</th><th>worst 10 s</th><th>back after</th>"
                + "<th>queue, of its limit</th></tr>");
        for (Planner.LossImpact l : plan.losses()) {
            line("<tr><td>%s</td><td>%.3f</td><td>%.3f</td><td>%.3f</td><td%s>%s</td><td>%.0f%%</td></tr>",
                    text(l.name()), l.before(), l.during(), l.worstService(), l.metastable()
                    ? " class=\"bad\"" : "",
                    l.recoverySeconds() < 0 ? "never"
                    : String.format(Locale.ROOT, "%.0f s%s", l.recoverySeconds(),
                            l.metastable() ? ", then jams" : ""), 100 * l.queueFraction());
        }
        line("</table>");
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT)
                .title("service through each loss (gone from 10 s to 25 s)").xAxisTitle("seconds")
                .yAxisTitle("service, over three seconds").build();
        chart.getStyler().setMarkerSize(0);
        for (Planner.LossImpact l : plan.losses()) {
            double[] x = new double[l.serviceBySecond().length];
            java.util.Arrays.setAll(x, i -> i);
            chart.addSeries(l.name(), x, l.serviceBySecond());
        }
        svg(chart);
    }

    private void sensitivity() throws IOException {
        if (plan.sensitivity().isEmpty()) {
            return;
        }
        line("<h2>What would change the answer most</h2>");
        line("<table><tr><th>one input at a time</th><th>the breaking rate moves by</th></tr>");
        plan.sensitivity().forEach(s -> line("<tr><td>%s</td><td>%+.0f%%</td></tr>", text(s.input()),
                100 * s.relativeChange()));
        line("</table>");
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT)
                .title("change of the breaking rate").yAxisTitle("percent").build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(20);
        chart.addSeries("change", plan.sensitivity().stream().map(Planner.Sensitivity::input).toList(),
                plan.sensitivity().stream().map(s -> 100 * s.relativeChange()).toList());
        svg(chart);
    }

    private void assumptions() {
        line("<h2>What this rests on</h2>");
        line("<table><tr><th>figure</th><th>value</th><th>95%%</th><th>from</th></tr>");
        for (Estimator.Estimate e : plan.estimates()) {
            line("<tr><td>%s</td><td>%.3g %s</td><td>%.3g to %.3g</td><td>the capture: %s</td></tr>",
                    text(e.name()), e.value(), e.unit(), e.low(), e.high(), text(e.source()));
        }
        plan.assumptions().forEach(a -> line("<tr><td>%s</td><td>%s</td><td></td><td>%s</td></tr>",
                text(a[0]),
                text(a[1]), text(a[2])));
        line("</table>");
        plan.notes().forEach(n -> line("<p class=\"note\">%s.</p>", text(n)));
    }

    private void svg(Chart<? extends Styler, ?> chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String text = out.toString(StandardCharsets.UTF_8);
        page.append(text.substring(text.indexOf("<svg"))).append('\n'); // inlined, without the document type
    }

    private static String text(String plain) {
        return plain.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void line(String format, Object... arguments) {
        page.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
