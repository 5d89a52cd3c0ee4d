package rowanmoor.red;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.opentest4j.TestAbortedException;

/** What may be known red, and what then happens to a test. */
class KnownRedTest {

    private static final String NAME = KnownRedTest.class.getName() + "#theProjectsListHolds";
    private static final String LINE = NAME + "; a fault; issue 7";

    private static final String CASE = "deploy/short-days.sh L deploy/sites/mill-orders.toml; seed 3; it broke; issue 7";

    /** Cases are played by hand: the test command prints them, as it does the listed tests that fail. */
    @Test
    void theProjectsListHolds() {
        assertEquals(List.of(), RedList.OF_PROJECT.faults());
        RedList.OF_PROJECT.cases().forEach(c -> System.out.println("KNOWN RED, not played here: " + c.command()
                + " (" + c.seed() + "): " + c.seen() + " (" + c.issue() + ")"));
    }

    @Test
    void aCaseNeedsCommandSeedSeenAndIssue() {
        RedList sound = RedList.of(List.of(CASE, CASE.replace("seed 3", "seeds 1, 4"), CASE.replace("seed 3", "seeds 1 to 9"),
                "./rowanmoor day days/bad-day.kdl; seed 1; it broke; issue 7", "../given/kit/bin/lbsim score S; seed 1; x; issue 7"));
        assertEquals(List.of(), sound.faults());
        assertEquals(5, sound.cases().size());
        assertEquals("it broke", sound.cases().get(0).seen());
        for (String bad : List.of(CASE.replace("seed 3", ""), CASE.replace("seed 3", "often"), CASE.replace("it broke", " "),
                CASE.replace("issue 7", "soon"), CASE + "; more", "; seed 3; it broke; issue 7", "ls days; seed 3; it broke; issue 7",
                "./rowanmoor; seed 3; it broke; issue 7", CASE.replace("mill-orders", "nobody"))) {
            assertEquals(1, RedList.of(List.of(CASE, bad)).faults().size(), bad);
        }
    }

    @Test
    void linesWithoutTestCauseOrIssueAndTooManyAreFaults() {
        assertEquals(List.of(), RedList.of(List.of(LINE, LINE, LINE)).faults());
        for (String bad : List.of("", NAME, NAME + "; ; issue 7", NAME + "; a fault", NAME + "; a fault; soon",
                NAME + "x; a fault; issue 7", "rowanmoor.Nobody#at; a fault; issue 7", "; a fault; issue 7",
                RedList.class.getName() + "#of; a fault; issue 7")) {
            assertEquals(1, RedList.of(List.of(LINE, bad)).faults().size(), bad);
        }
        assertEquals(List.of(), RedList.of(Collections.nCopies(12, LINE)).faults());
        assertEquals(List.of("13 entries, 12 at most"), RedList.of(Collections.nCopies(13, LINE)).faults());
    }

    private static ExtensionContext context(String method, Throwable thrown) throws NoSuchMethodException {
        Method test = KnownRedTest.class.getDeclaredMethod(method);
        return (ExtensionContext) Proxy.newProxyInstance(KnownRedTest.class.getClassLoader(),
                new Class<?>[] {ExtensionContext.class}, (proxy, called, arguments) -> switch (called.getName()) {
                    case "getRequiredTestMethod" -> test;
                    case "getExecutionException" -> Optional.ofNullable(thrown);
                    default -> throw new AssertionError(called);
                });
    }

    @Test
    void aListedTestMayFailAndMayNotPassAndOthersAreLeftAlone() throws Throwable {
        List<String> printed = new ArrayList<>();
        KnownRed red = new KnownRed(RedList.of(List.of(LINE)), printed::add);
        AssertionError failure = new AssertionError("the fault");
        ExtensionContext listed = context("theProjectsListHolds", null);
        assertThrows(TestAbortedException.class, () -> red.handleTestExecutionException(listed, failure));
        assertTrue(printed.get(0).contains(NAME + ": a fault (issue 7)"), printed::toString);
        red.afterTestExecution(context("theProjectsListHolds", failure));
        String passes = assertThrows(AssertionError.class, () -> red.afterTestExecution(listed)).getMessage();
        assertTrue(passes.contains("take the line out"), passes);
        ExtensionContext other = context("linesWithoutTestCauseOrIssueAndTooManyAreFaults", null);
        assertSame(failure, assertThrows(AssertionError.class, () -> red.handleTestExecutionException(other, failure)));
        red.afterTestExecution(other);
    }
}
