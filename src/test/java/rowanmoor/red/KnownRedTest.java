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

/** Checks the rules for entries of KNOWN-RED.txt and how they affect a test run. */
class KnownRedTest {

    private static final String NAME = KnownRedTest.class.getName() + "#projectListIsValid";
    private static final String LINE = NAME + "; a fault; issue 7";
    private static final String CASE = "deploy/short-days.sh L deploy/sites/mill-orders.toml; seed 3; it broke; issue 7";

    /** Cases are run by hand; the test run prints them, as it prints the listed tests that fail. */
    @Test
    void projectListIsValid() {
        assertEquals(List.of(), KnownRedList.PROJECT_LIST.errors());
        KnownRedList.PROJECT_LIST.cases().forEach(c -> System.out.println("KNOWN RED, not played here: " + c.command()
                + " (" + c.seed() + "): " + c.symptom() + " (" + c.issue() + ")"));
    }

    @Test
    void caseNeedsCommandSeedSymptomAndIssue() {
        KnownRedList valid = KnownRedList.parse(List.of(CASE, CASE.replace("seed 3", "seeds 1, 4"),
                CASE.replace("seed 3", "seeds 1 to 9"),
                "./rowanmoor day days/bad-day.kdl; seed 1; it broke; issue 7", "../given/kit/bin/lbsim score S; seed 1; x; issue 7"));
        assertEquals(List.of(), valid.errors());
        assertEquals(5, valid.cases().size());
        assertEquals("it broke", valid.cases().get(0).symptom());
        for (String bad : List.of(CASE.replace("seed 3", ""), CASE.replace("seed 3", "often"), CASE.replace("it broke", " "),
                CASE.replace("issue 7", "soon"), CASE + "; more", "; seed 3; it broke; issue 7", "ls days; seed 3; it broke; issue 7",
                "./rowanmoor; seed 3; it broke; issue 7", CASE.replace("mill-orders", "nobody"))) {
            assertEquals(1, KnownRedList.parse(List.of(CASE, bad)).errors().size(), bad);
        }
    }

    @Test
    void entriesWithoutTestCauseOrIssueAndTooManyAreErrors() {
        assertEquals(List.of(), KnownRedList.parse(List.of(LINE, LINE, LINE)).errors());
        for (String bad : List.of("", NAME, NAME + "; ; issue 7", NAME + "; a fault", NAME + "; a fault; soon",
                NAME + "x; a fault; issue 7", "rowanmoor.Nobody#at; a fault; issue 7", "; a fault; issue 7",
                KnownRedList.class.getName() + "#parse; a fault; issue 7")) {
            assertEquals(1, KnownRedList.parse(List.of(LINE, bad)).errors().size(), bad);
        }
        assertEquals(List.of(), KnownRedList.parse(Collections.nCopies(12, LINE)).errors());
        assertEquals(List.of("13 entries, at most 12 are allowed"), KnownRedList.parse(Collections.nCopies(13, LINE)).errors());
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
    void listedTestMayFailButNotPassAndOthersAreUnaffected() throws Throwable {
        List<String> printed = new ArrayList<>();
        KnownRed extension = new KnownRed(KnownRedList.parse(List.of(LINE)), printed::add);
        AssertionError failure = new AssertionError("the fault");
        ExtensionContext listed = context("projectListIsValid", null);
        assertThrows(TestAbortedException.class, () -> extension.handleTestExecutionException(listed, failure));
        assertTrue(printed.get(0).contains(NAME + ": a fault (issue 7)"), printed::toString);
        extension.afterTestExecution(context("projectListIsValid", failure));
        String passes = assertThrows(AssertionError.class, () -> extension.afterTestExecution(listed)).getMessage();
        assertTrue(passes.contains("remove its line"), passes);
        ExtensionContext other = context(
                "entriesWithoutTestCauseOrIssueAndTooManyAreErrors", null);
        assertSame(failure, assertThrows(AssertionError.class,
                () -> extension.handleTestExecutionException(other, failure)));
        extension.afterTestExecution(other);
    }
}
