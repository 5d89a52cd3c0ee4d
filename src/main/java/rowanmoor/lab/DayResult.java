package rowanmoor.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rowanmoor.config.Site;
import rowanmoor.emulator.Outcome;
import rowanmoor.standin.Clients;

/**
 * The result of one day.
 *
 * @param classTotals the clients' counts, by class
 * @param changeLatenciesMs for each roster change, milliseconds until the last proxy's next message
 * @param worstColdOverload largest multiple of its capacity that was sent to a cold backend
 * @param stats statistics lines that the controllers logged; empty for a simulated day
 * @param faults exceptions thrown on any loop; the day passes only without any
 * @param outcome the run as an emulator outcome, so that the same diagnosis applies to both
 */
public record DayResult(DayFile day, Evidence evidence, List<RuleChecker.Verdict> verdicts,
        List<Clients.ClassStats> classTotals, List<Clients.RequestOutcome> outcomes,
        List<Double> changeLatenciesMs, double worstColdOverload, List<JsonNode> stats,
        List<String> faults, Outcome outcome) {

    /** Worth answered in time divided by worth offered, of one class or of all ({@code cls} -1). */
    public double service(int cls) {
        Site site = day.site();
        double earned = 0;
        double offered = 0;
        for (int c = 0; c < classTotals.size(); c++) {
            if (cls < 0 || cls == c) {
                double worth = site.classes().get(c).worth();
                earned += worth * (classTotals.get(c).good + site.classes().get(c).lateWorth()
                        * classTotals.get(c).late);
                offered += worth * classTotals.get(c).offered;
            }
        }
        return offered == 0 ? 1 : earned / offered;
    }

    /** Describes each expectation of the day file that was not met, one line each. */
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

    /** Whether no rule was broken. */
    public boolean rulesKept() {
        return verdicts.stream().noneMatch(RuleChecker.Verdict::broken);
    }

    /** Whether no rule was broken, all expectations were met and nothing was thrown. */
    public boolean passed() {
        return rulesKept() && unmetExpectations().isEmpty() && faults.isEmpty();
    }
}
