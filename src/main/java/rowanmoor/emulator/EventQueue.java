package rowanmoor.emulator;

import java.util.Arrays;

/** Pending events, ordered by time and then by insertion: a binary heap in parallel arrays. */
final class EventQueue {

    private long[] times = new long[1024];
    private long[] sequences = new long[1024];
    private int[] kinds = new int[1024];
    private int[] firstArgs = new int[1024];
    private int[] secondArgs = new int[1024];
    private int size;
    private long nextSequence;

    // The event that poll() removed last.
    long time;
    int kind;
    int firstArg;
    int secondArg;

    /** Adds an event at a time in nanoseconds; the meaning of the two arguments depends on its kind. */
    void add(long at, int newKind, int newFirst, int newSecond) {
        if (size == times.length) {
            grow();
        }
        long number = nextSequence++;
        int index = size++;
        while (index > 0) {
            int parent = (index - 1) >>> 1;
            if (times[parent] <= at) {
                break; // of equal times, the one added first stays ahead
            }
            move(parent, index);
            index = parent;
        }
        set(index, at, number, newKind, newFirst, newSecond);
    }

    /**
     * Removes the next event and copies it into {@link #time} and the other fields; false if there is none.
     */
    boolean poll() {
        if (size == 0) {
            return false;
        }
        time = times[0];
        kind = kinds[0];
        firstArg = firstArgs[0];
        secondArg = secondArgs[0];
        size--;
        long at = times[size];
        long number = sequences[size];
        int index = 0;
        while (true) {
            int child = 2 * index + 1;
            if (child >= size) {
                break;
            }
            child += child + 1 < size && before(times[child + 1], sequences[child + 1], child) ? 1 : 0;
            if (!before(times[child], sequences[child], at, number)) {
                break;
            }
            move(child, index);
            index = child;
        }
        set(index, at, number, kinds[size], firstArgs[size], secondArgs[size]);
        return true;
    }

    private boolean before(long at, long number, int other) {
        return before(at, number, times[other], sequences[other]);
    }

    private static boolean before(long at, long number, long otherAt, long otherNumber) {
        return at < otherAt || at == otherAt && number < otherNumber;
    }

    private void move(int from, int to) {
        set(to, times[from], sequences[from], kinds[from], firstArgs[from], secondArgs[from]);
    }

    private void set(int index, long at, long number, int newKind, int newFirst, int newSecond) {
        times[index] = at;
        sequences[index] = number;
        kinds[index] = newKind;
        firstArgs[index] = newFirst;
        secondArgs[index] = newSecond;
    }

    private void grow() {
        int capacity = 2 * size;
        times = Arrays.copyOf(times, capacity);
        sequences = Arrays.copyOf(sequences, capacity);
        kinds = Arrays.copyOf(kinds, capacity);
        firstArgs = Arrays.copyOf(firstArgs, capacity);
        secondArgs = Arrays.copyOf(secondArgs, capacity);
    }

    /** Number of pending events. */
    int size() {
        return size;
    }
}
