package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The same mutants at every build; long runs: rowanmoor fuzz. */
class FuzzTest {

    @ParameterizedTest
    @EnumSource(Fuzzer.Target.class)
    void noMutantBreaksAParser(Fuzzer.Target target) {
        Fuzzer.Result found = new Fuzzer(target, 42).run(10_000, () -> true);
        assertNull(found.failure());
        assertTrue(found.rejected() > 1000 && found.rejected() < 10_000, found.rejected() + " refused");
        assertTrue(found.rejections().size() >= 8, found.rejections().toString());
    }
}
