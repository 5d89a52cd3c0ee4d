package rowanmoor.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BackendModelTest {

    private static final long SECOND = 1_000_000_000L;

    private static BackendModel.Spec spec(int cores, int slots, int queue) {
        return new BackendModel.Spec(cores, 1, slots, queue, 0.1, 10 * SECOND, 3, SECOND);
    }

    private static List<String> play(BackendModel model, long from, long to) {
        List<String> ends = new ArrayList<>();
        for (long now = Math.min(to, model.nextAt()); now < to; now = model.nextAt()) {
            long at = now;
            model.ended(now).forEach(id -> ends.add(id + "@" + Math.round((at - from) / 1e8) / 10.0));
        }
        return ends;
    }

    @Test
    void coresAreSharedEvenlyAndTheRestWaitsItsTurn() {
        BackendModel model = new BackendModel(spec(1, 2, 1), 0);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 1, 1));
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 2, 2));
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 3, 1));
        assertEquals(BackendModel.Offer.FULL, model.offer(0, 4, 1));
        assertEquals(List.of("1@2.0", "2@4.0", "3@4.0"), play(model, 0, 60 * SECOND));
    }

    @Test
    void aStallStandsStillAndSlownessStretches() {
        BackendModel model = new BackendModel(spec(1, 2, 1), 0);
        model.offer(0, 1, 1);
        model.setStalled(SECOND / 2, true);
        assertEquals(Long.MAX_VALUE, model.nextAt());
        model.setStalled(5 * SECOND, false);
        model.setSlowdown(5 * SECOND, 4);
        assertEquals(List.of("1@7.0"), play(model, 0, 60 * SECOND));
    }

    @Test
    void aColdOneThatIsSentTooMuchFallsAndStaysDown() {
        BackendModel model = new BackendModel(spec(1, 50, 50), 0);
        model.start(0);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(0, 1, 0.2));
        assertEquals(BackendModel.Offer.DOWN, model.offer(SECOND / 10, 2, 0.2));
        assertTrue(model.isFallen());
        assertEquals(BackendModel.Offer.DOWN, model.offer(50 * SECOND, 3, 0.001));
        model.start(60 * SECOND);
        assertEquals(BackendModel.Offer.TAKEN, model.offer(75 * SECOND, 4, 10));
    }

    /** M/M/1 with processor sharing: mean time 1 / (mu - lambda) (Kleinrock, Queueing Systems II, 4.4). */
    @Test
    void meanTimeIsThatOfTheoryForOneSharedCore() {
        BackendModel model = new BackendModel(new BackendModel.Spec(1, 1, 100_000, 0, 1, 0, 3, SECOND), 0);
        SplittableRandom random = new SplittableRandom(8);
        double sum = 0;
        int count = 60_000;
        long[] arrived = new long[count];
        long now = 0;
        long next = 0;
        for (int i = 0; i < count;) {
            if (model.nextAt() <= next) {
                now = model.nextAt();
                for (long id : model.ended(now)) {
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
        assertEquals(0.25, mean, 0.0125, "a twentieth at most off 1 / (10 - 6)");
    }
}
