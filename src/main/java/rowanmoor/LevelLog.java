package rowanmoor;

import java.util.Locale;

/**
 * The record of levels: which went out and why, one line a change however many proxies and pools it concerns.
 * Ten lines may come at once and one every ten seconds in the long run; of changes beyond that the latest is
 * told as soon as there is room, with how many were left out before it. Nothing is decided by it.
 */
final class LevelLog {

    /** Why levels are other than they were. */
    enum Reason { SET, LOWERED, RAISED, LIFTED, FLOOR, DEMAND }

    /** What levels follow from; {@code counted} holds {@code departed}; no total is an infinite one. */
    record Inputs(Reason reason, double total, double part, long counted, long departed) { }

    private static final double BURST_LINES = 10;
    private static final double LINE_INTERVAL_NS = 10e9; // ns
    private static final double MIN_CHANGE_FRACTION = 0.03; // less is not sent either

    private final double openLevel;
    private final double[] latestLevels;
    private String pendingLine;
    private int omittedChanges;
    private double lineTokens = BURST_LINES;
    private long tokensUpdatedAt;

    /** @param open the level that lets everything in, which all classes have at first */
    LevelLog(int classes, double open) {
        this.openLevel = open;
        this.latestLevels = new double[classes];
        java.util.Arrays.fill(latestLevels, open);
    }

    /** Takes in the levels in force; answers the line to log now, or null. */
    String update(long now, double[] levels, boolean[] atFloor, Inputs inputs) {
        lineTokens = Math.min(BURST_LINES, lineTokens + (now - tokensUpdatedAt) / LINE_INTERVAL_NS);
        tokensUpdatedAt = now;
        boolean moved = false;
        for (int c = 0; c < latestLevels.length; c++) {
            moved |= Math.abs(levels[c] / latestLevels[c] - 1) > MIN_CHANGE_FRACTION;
        }
        if (moved) {
            System.arraycopy(levels, 0, latestLevels, 0, latestLevels.length);
            omittedChanges += pendingLine == null ? 0 : 1;
            pendingLine = format(atFloor, inputs);
        }
        if (pendingLine == null || lineTokens < 1) {
            return null;
        }
        lineTokens--;
        String line = omittedChanges == 0 ? pendingLine : pendingLine + "; " + omittedChanges + " changes before it left out";
        pendingLine = null;
        omittedChanges = 0;
        return line;
    }

    private String format(boolean[] atFloor, Inputs inputs) {
        StringBuilder classes = new StringBuilder();
        boolean limited = false;
        boolean floor = true;
        for (int c = 0; c < latestLevels.length; c++) {
            boolean its = latestLevels[c] < openLevel;
            limited |= its;
            floor &= !its || atFloor[c];
            classes.append(c == 0 ? "" : ", ").append("class ").append(c).append(' ')
                    .append(its ? formatFigure(latestLevels[c]) : "open").append(its && atFloor[c] ? " (floor)" : "");
        }
        Reason reason = !limited ? Reason.LIFTED : floor ? Reason.FLOOR : inputs.reason();
        return "levels " + reason.name().toLowerCase(Locale.ROOT) + ": " + classes + "; total "
                + formatFigure(inputs.total()) + ", part " + formatFigure(inputs.part()) + "; " + inputs.counted()
                + " proxies counted, " + inputs.departed() + " of them departed";
    }

    private static String formatFigure(double value) {
        return Double.isInfinite(value) ? "none" : String.format(Locale.ROOT, "%.4g", value);
    }
}
