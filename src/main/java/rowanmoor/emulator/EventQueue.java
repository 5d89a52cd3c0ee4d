package rowanmoor.emulator;

import java.util.Arrays;

/** What is to happen, by time and then in the order in which it was added: a binary heap in plain arrays. */
final class EventQueue {

    private long[] times = new long[1024];
    private long[] numbers = new long[1024];
    private int[] kinds = new int[1024];
    private int[] first = new int[1024];
    private int[] second = new int[1024];
    private int size;
    private long added;

    // The event that was taken last.
    long time;
    int kind;
    int a;
    int b;

    void add(long at, int itsKind, int itsA, int itsB) {
        if (size == times.length) {
            grow();
        }
        long number = added++;
        int place = size++;
        while (place > 0) {
            int parent = (place - 1) >>> 1;
            if (times[parent] <= at) {
                break; // an equal time was added before
            }
            move(parent, place);
            place = parent;
        }
        set(place, at, number, itsKind, itsA, itsB);
    }

    /** Takes the next event into {@link #time} and the others; false if there is none. */
    boolean next() {
        if (size == 0) {
            return false;
        }
        time = times[0];
        kind = kinds[0];
        a = first[0];
        b = second[0];
        size--;
        long at = times[size];
        long number = numbers[size];
        int place = 0;
        while (true) {
            int child = 2 * place + 1;
            if (child >= size) {
                break;
            }
            child += child + 1 < size && before(times[child + 1], numbers[child + 1], child) ? 1 : 0;
            if (!before(times[child], numbers[child], at, number)) {
                break;
            }
            move(child, place);
            place = child;
        }
        set(place, at, number, kinds[size], first[size], second[size]);
        return true;
    }

    private boolean before(long at, long number, int other) {
        return before(at, number, times[other], numbers[other]);
    }

    private static boolean before(long at, long number, long otherAt, long otherNumber) {
        return at < otherAt || at == otherAt && number < otherNumber;
    }

    private void move(int from, int to) {
        set(to, times[from], numbers[from], kinds[from], first[from], second[from]);
    }

    private void set(int place, long at, long number, int itsKind, int itsA, int itsB) {
        times[place] = at;
        numbers[place] = number;
        kinds[place] = itsKind;
        first[place] = itsA;
        second[place] = itsB;
    }

    private void grow() {
        int room = 2 * size;
        times = Arrays.copyOf(times, room);
        numbers = Arrays.copyOf(numbers, room);
        kinds = Arrays.copyOf(kinds, room);
        first = Arrays.copyOf(first, room);
        second = Arrays.copyOf(second, room);
    }

    int size() {
        return size;
    }
}
