package rowanmoor.red;

import java.util.function.Consumer;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * JUnit extension for the tests that KNOWN-RED.txt lists. They run like all others, but their failures are printed
 * and reported as aborted, and a listed test that passes fails the build. Registered by a service file in the test
 * resources.
 */
public final class KnownRed implements TestExecutionExceptionHandler, AfterTestExecutionCallback {

    private final KnownRedList list;
    private final Consumer<String> printer;

    public KnownRed() {
        this(KnownRedList.PROJECT_LIST, System.out::println);
    }

    KnownRed(KnownRedList list, Consumer<String> out) {
        this.list = list;
        this.printer = out;
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        KnownRedList.ListedTest entry = list.entryFor(context.getRequiredTestMethod()).orElse(null);
        if (entry == null || failure instanceof TestAbortedException) {
            throw failure;
        }
        printer.accept("KNOWN RED " + entry.testName() + ": " + entry.cause() + " (" + entry.issue() + "): " + failure);
        throw new TestAbortedException("known red, " + entry.issue() + ": " + failure.getMessage());
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        if (context.getExecutionException().isEmpty()) {
            list.entryFor(context.getRequiredTestMethod()).ifPresent(entry -> {
                throw new AssertionError("passes: remove its line from KNOWN-RED.txt: " + entry.testName());
            });
        }
    }
}
