package rowanmoor.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Processor sharing, stalls, slow-downs and falls of the backend model, and its mean time against theory. */
class BackendModelTest {

    private static final long SECOND = 1_000_000_000L;

    private static BackendModel.Spec spec(int cores, int slots, int queue) {
        return new BackendModel.Spec(cores, 1, slots, queue, 0.1, 10 * SECOND, 3, SECOND);
    }

    private static List<String> run(BackendModel model, long from, long to) {
        List<String> ends = new ArrayList<>();
        for (long now = Math.min(to, model.nextEventAt()); now < to; now = model.nextEventAt()) {
            long at = now;
            model.pollFinished(now).forEach(id -> ends.add(id + "@" + Math.round((at - from) / 1e8) / 10.0));
        }
        return ends;
    }

    @Test
    void coresAreSharedEvenlyAndOtherRequestsQueue() {
        BackendModel model = new BackendModel(spec(1, 2, 1), 0);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 1, 1));
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 2, 2));
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 3, 1));
        assertEquals(BackendModel.Offer.FULL, model.offer(0, 4, 1));
        assertEquals(List.of("1@2.0", "2@4.0", "3@4.0"), run(model, 0, 60 * SECOND));
    }

    @Test
    void stallStopsWorkAndSlowdownStretchesIt() {
        BackendModel model = new BackendModel(spec(1, 2, 1), 0);
        model.offer(0, 1, 1);
        model.setStalled(SECOND / 2, true);
        assertEquals(Long.MAX_VALUE, model.nextEventAt());
        model.setStalled(5 * SECOND, false);
        model.setSlowdown(5 * SECOND, 4);
        assertEquals(List.of("1@7.0"), run(model, 0, 60 * SECOND));
    }

    @Test
    void coldBackendSentTooMuchFallsAndStaysDown() {
        BackendModel model = new BackendModel(spec(1, 50, 50), 0);
        model.start(0);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 1, 0.2));
        assertEquals(BackendModel.Offer.DOWN, model.offer(SECOND / 10, 2, 0.2));
        assertTrue(model.isFallen());
        assertEquals(BackendModel.Offer.DOWN, model.offer(50 * SECOND, 3, 0.001));
        model.start(60 * SECOND);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(75 * SECOND, 4, 10));
    }

    /** M/M/1 with processor sharing: mean stay 1 / (mu - lambda) (Kleinrock, Queueing Systems II, 4.4). */
    @Test
    void meanStayOnOneSharedCoreMatchesTheory() {
        BackendModel model = new BackendModel(new BackendModel.Spec(1, 1, 100_000, 0, 1, 0, 3, SECOND), 0);
        SplittableRandom random = new SplittableRandom(8);
        double sum = 0;
        int count = 60_000;
        long[] arrived = new long[count];
        long now = 0;
        long next = 0;
        for (int i = 0; i < count;) {
            if (model.nextEventAt() <= next) {
                now = model.nextEventAt();
                for (long id : model.pollFinished(now)) {
                    sum += (now - arrived[(int) id]) / 1e9;
                }
            } else {
                now = next;
                arrived[i] = now;
                model.offer(now, i++, -Math.log(1 - random.nextDouble()) * 0.1);
                next = now + (long) (-Math.log(1 - random.nextDouble()) / 6 * 1e9);
            }
        }
        double mean = sum / count;
        assertEquals(0.25, mean, 0.0125, "within 5% of 1 / (10 - 6)");
    }
}
