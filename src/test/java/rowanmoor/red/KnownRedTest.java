package rowanmoor.red;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.opentest4j.TestAbortedException;

/** What may be known red, and what then happens to a test. */
class KnownRedTest {

    private static final String NAME = KnownRedTest.class.getName() + "#theProjectsListHolds";
    private static final String LINE = NAME + "; a fault; issue 7";

    @Test
    void theProjectsListHolds() {
        assertEquals(List.of(), RedList.OF_PROJECT.faults());
    }

    @Test
    void linesWithoutTestCauseOrIssueAndAFourthAreFaults() {
        assertEquals(List.of(), RedList.of(List.of(LINE, LINE, LINE)).faults());
        for (String bad : List.of("", NAME, NAME + "; ; issue 7", NAME + "; a fault", NAME + "; a fault; soon",
                NAME + "x; a fault; issue 7", "rowanmoor.Nobody#at; a fault; issue 7", "; a fault; issue 7",
                RedList.class.getName() + "#of; a fault; issue 7")) {
            assertEquals(1, RedList.of(List.of(LINE, bad)).faults().size(), bad);
        }
        assertEquals(List.of("4 lines, 3 at most"), RedList.of(List.of(LINE, LINE, LINE, LINE)).faults());
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
        ExtensionContext other = context("linesWithoutTestCauseOrIssueAndAFourthAreFaults", null);
        assertSame(failure, assertThrows(AssertionError.class, () -> red.handleTestExecutionException(other, failure)));
        red.afterTestExecution(other);
    }
}
