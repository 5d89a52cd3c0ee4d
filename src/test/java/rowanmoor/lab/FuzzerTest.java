package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs the same mutants in every build; for long runs there is the command {@code rowanmoor fuzz}. */
class FuzzerTest {

    @ParameterizedTest
    @EnumSource(Fuzzer.Target.class)
    void parserHandlesAllMutants(Fuzzer.Target target) {
        Fuzzer.Result found = new Fuzzer(target, 42).run(10_000, () -> true);
        assertNull(found.failure());
        assertTrue(found.rejected() > 1000 && found.rejected() < 10_000, found.rejected() + " refused");
        assertTrue(found.rejections().size() >= 8, found.rejections().toString());
    }
}
