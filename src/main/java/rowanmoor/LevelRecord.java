package rowanmoor;

import java.util.Locale;

/**
 * The record of levels: which went out and why, one line a change however many proxies and pools it concerns.
 * Ten lines may come at once and one every ten seconds in the long run; of changes beyond that the latest is
 * told as soon as there is room, with how many were left out before it. Nothing is decided by it.
 */
final class LevelRecord {

    /** Why levels are other than they were. */
    enum Reason { SET, LOWERED, RAISED, LIFTED, FLOOR, DEMAND }

    /** What levels follow from; {@code counted} holds {@code departed}; no total is an infinite one. */
    record Ground(Reason reason, double total, double part, long counted, long departed) { }

    private static final double AT_ONCE = 10;
    private static final double APART = 10e9; // ns
    private static final double MOVED = 0.03; // less is not sent either

    private final double open;
    private final double[] told;
    private String held;
    private int leftOut;
    private double room = AT_ONCE;
    private long roomAt;

    /** @param open the level that lets everything in, which all classes have at first */
    LevelRecord(int classes, double open) {
        this.open = open;
        this.told = new double[classes];
        java.util.Arrays.fill(told, open);
    }

    /** Takes in the levels in force; answers the line to log now, or null. */
    String line(long now, double[] levels, boolean[] atFloor, Ground ground) {
        room = Math.min(AT_ONCE, room + (now - roomAt) / APART);
        roomAt = now;
        boolean moved = false;
        for (int c = 0; c < told.length; c++) {
            moved |= Math.abs(levels[c] / told[c] - 1) > MOVED;
        }
        if (moved) {
            System.arraycopy(levels, 0, told, 0, told.length);
            leftOut += held == null ? 0 : 1;
            held = text(atFloor, ground);
        }
        if (held == null || room < 1) {
            return null;
        }
        room--;
        String line = leftOut == 0 ? held : held + "; " + leftOut + " changes before it left out";
        held = null;
        leftOut = 0;
        return line;
    }

    private String text(boolean[] atFloor, Ground ground) {
        StringBuilder classes = new StringBuilder();
        boolean limited = false;
        boolean floor = true;
        for (int c = 0; c < told.length; c++) {
            boolean its = told[c] < open;
            limited |= its;
            floor &= !its || atFloor[c];
            classes.append(c == 0 ? "" : ", ").append("class ").append(c).append(' ')
                    .append(its ? figure(told[c]) : "open").append(its && atFloor[c] ? " (floor)" : "");
        }
        Reason reason = !limited ? Reason.LIFTED : floor ? Reason.FLOOR : ground.reason();
        return "levels " + reason.name().toLowerCase(Locale.ROOT) + ": " + classes + "; total "
                + figure(ground.total()) + ", part " + figure(ground.part()) + "; " + ground.counted()
                + " proxies counted, " + ground.departed() + " of them departed";
    }

    private static String figure(double value) {
        return Double.isInfinite(value) ? "none" : String.format(Locale.ROOT, "%.4g", value);
    }
}
