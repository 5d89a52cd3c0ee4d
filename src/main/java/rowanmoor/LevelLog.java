package rowanmoor;

import java.util.Arrays;
import java.util.Locale;

/**
 * Log lines about the admission levels that were sent and the reason for their change: one line for each
 * change, however many proxies and pools it concerns. Up to ten lines may come at once, and one every ten
 * seconds in the long run. Of the changes beyond that the latest is logged as soon as a line is permitted,
 * with the number of changes left out before it. No decision depends on this class.
 */
final class LevelLog {

    /** Why levels have changed. */
    enum Reason { SET, LOWERED, RAISED, LIFTED, FLOOR, DEMAND }

    /**
     * What the levels follow from.
     *
     * @param total requests a second that are admitted in all; infinite if there is no limit
     * @param part requests a second of the total that levels share out; infinite if there is no limit
     * @param counted proxies that the levels are shared by, departed ones included
     * @param departed those of them that have left
     */
    record Inputs(Reason reason, double total, double part, long counted, long departed) { }

    private static final double BURST_LINES = 10;
    private static final double LINE_INTERVAL_NS = 10e9;
    /** Smaller relative changes are not logged; they are not sent either. */
    private static final double MIN_CHANGE_FRACTION = 0.03;

    private final double openLevel;
    /** The levels after the latest change that was logged or is pending. */
    private final double[] latestLevels;
    private String pendingLine;
    private int omittedChanges;
    /** Lines that may be logged now; refilled with time. */
    private double lineTokens = BURST_LINES;
    private long tokensUpdatedAt;

    /**
     * Creates the log of an instance whose levels are all open.
     *
     * @param openLevel the level that admits everything
     */
    LevelLog(int classes, double openLevel) {
        this.openLevel = openLevel;
        this.latestLevels = new double[classes];
        Arrays.fill(latestLevels, openLevel);
    }

    /** Takes in the levels in force; returns the line to log now, or null. */
    String update(long now, double[] levels, boolean[] atFloor, Inputs inputs) {
        lineTokens = Math.min(BURST_LINES, lineTokens + (now - tokensUpdatedAt) / LINE_INTERVAL_NS);
        tokensUpdatedAt = now;
        boolean changed = false;
        for (int cls = 0; cls < latestLevels.length; cls++) {
            changed |= Math.abs(levels[cls] / latestLevels[cls] - 1) > MIN_CHANGE_FRACTION;
        }
        if (changed) {
            System.arraycopy(levels, 0, latestLevels, 0, latestLevels.length);
            omittedChanges += pendingLine == null ? 0 : 1;
            pendingLine = format(atFloor, inputs);
        }
        if (pendingLine == null || lineTokens < 1) {
            return null;
        }
        lineTokens--;
        String line = omittedChanges == 0 ? pendingLine
                : pendingLine + "; " + omittedChanges + " changes before it left out";
        pendingLine = null;
        omittedChanges = 0;
        return line;
    }

    private String format(boolean[] atFloor, Inputs inputs) {
        StringBuilder classes = new StringBuilder();
        boolean anyLimited = false;
        boolean allAtFloor = true;
        for (int cls = 0; cls < latestLevels.length; cls++) {
            boolean limited = latestLevels[cls] < openLevel;
            anyLimited |= limited;
            allAtFloor &= !limited || atFloor[cls];
            classes.append(cls == 0 ? "" : ", ").append("class ").append(cls).append(' ')
                    .append(limited ? formatFigure(latestLevels[cls]) : "open")
                    .append(limited && atFloor[cls] ? " (floor)" : "");
        }
        Reason reason = !anyLimited ? Reason.LIFTED : allAtFloor ? Reason.FLOOR : inputs.reason();
        return "levels " + reason.name().toLowerCase(Locale.ROOT) + ": " + classes + "; total "
                + formatFigure(inputs.total()) + ", part " + formatFigure(inputs.part()) + "; "
                + inputs.counted() + " proxies counted, " + inputs.departed() + " of them departed";
    }

    private static String formatFigure(double value) {
        return Double.isInfinite(value) ? "none" : String.format(Locale.ROOT, "%.4g", value);
    }
}
