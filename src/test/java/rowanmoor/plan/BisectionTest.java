package rowanmoor.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class BisectionTest {

    private static Bisection search(Bisection bisection, double breakingRate) {
        for (double rate = bisection.nextRate(); rate > 0; rate = bisection.nextRate()) {
            bisection.recordResult(rate, rate < breakingRate);
        }
        return bisection;
    }

    @Property(tries = 200)
    void resultIsWithinRequestedPrecision(@ForAll @DoubleRange(min = 11, max = 999) double breakingRate) {
        assertEquals(breakingRate, search(new Bisection(10, 1000, 0.02), breakingRate).result(), 0.02 * breakingRate);
    }

    @Test
    void bothEndsAreTriedAndReported() {
        assertEquals(0, search(new Bisection(10, 1000, 0.02), 5).result());
        assertTrue(Double.isInfinite(search(new Bisection(10, 1000, 0.02), 2000).result()));
        assertThrows(IllegalArgumentException.class, () -> new Bisection(10, 10, 0.1));
    }
}
