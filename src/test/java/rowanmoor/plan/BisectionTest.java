package rowanmoor.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class BisectionTest {

    private static Bisection play(Bisection bisection, double breaks) {
        for (double rate = bisection.nextRate(); rate > 0; rate = bisection.nextRate()) {
            bisection.recordResult(rate, rate < breaks);
        }
        return bisection;
    }

    @Property(tries = 200)
    void whatIsFoundIsWithinTheAskedPart(@ForAll @DoubleRange(min = 11, max = 999) double breaks) {
        assertEquals(breaks, play(new Bisection(10, 1000, 0.02), breaks).result(), 0.02 * breaks);
    }

    @Test
    void endsAreTriedAndTold() {
        assertEquals(0, play(new Bisection(10, 1000, 0.02), 5).result());
        assertTrue(Double.isInfinite(play(new Bisection(10, 1000, 0.02), 2000).result()));
        assertThrows(IllegalArgumentException.class, () -> new Bisection(10, 10, 0.1));
    }
}
