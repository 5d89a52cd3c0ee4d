package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rowanmoor.config.Site;
import rowanmoor.emulator.Outcome;
import rowanmoor.standin.Clients;

/**
 * A day that was played.
 *
 * @param stats lines of figures that controllers logged; empty for a simulated day
 * @param faults what was thrown on any loop, which must be nothing
 * @param outcome the run in the emulator's terms, so that both can be diagnosed alike
 */
public record DayResult(DayFile day, Evidence evidence, List<RuleChecker.Verdict> verdicts, List<Clients.ClassStats> classTotals,
        List<Clients.RequestOutcome> outcomes, List<Double> changeLatenciesMs, double worstColdOverload, List<JsonNode> stats,
        List<String> faults, Outcome outcome) {

    /** Worth answered in time over worth offered, of one class or (-1) of all. */
    public double service(int cls) {
        Site site = day.site();
        double got = 0;
        double asked = 0;
        for (int c = 0; c < classTotals.size(); c++) {
            if (cls < 0 || cls == c) {
                double worth = site.classes().get(c).worth();
                got += worth * (classTotals.get(c).good + site.classes().get(c).lateWorth() * classTotals.get(c).late);
                asked += worth * classTotals.get(c).offered;
            }
        }
        return asked == 0 ? 1 : got / asked;
    }

    /** One line for each of the file's expectations that does not hold. */
    public List<String> unmetExpectations() {
        List<String> unmet = new ArrayList<>();
        for (Map.Entry<String, Double> least : day.expectations().entrySet()) {
            int cls = day.site().classNames().indexOf(least.getKey());
            double service = service(cls);
            if (service < least.getValue()) {
                unmet.add(String.format("service%s %.3f is below %.3f",
                        cls < 0 ? "" : " of " + least.getKey(),
                        service, least.getValue()));
            }
        }
        return unmet;
    }

    public boolean rulesKept() {
        return verdicts.stream().noneMatch(RuleChecker.Verdict::broken);
    }

    /** Whether no rule broke, all expectations hold and nothing was thrown. */
    public boolean passed() {
        return rulesKept() && unmetExpectations().isEmpty() && faults.isEmpty();
    }
}
