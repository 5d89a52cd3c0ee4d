package rowanmoor.red;

import java.util.function.Consumer;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests that KNOWN-RED.txt lists like all others; a failure of theirs is printed and passed over, a pass
 * fails the build. Found by the service file of the test resources.
 */
public final class KnownRed implements TestExecutionExceptionHandler, AfterTestExecutionCallback {

    private final RedList list;
    private final Consumer<String> out;

    public KnownRed() {
        this(RedList.OF_PROJECT, System.out::println);
    }

    KnownRed(RedList list, Consumer<String> out) {
        this.list = list;
        this.out = out;
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        RedList.Line line = list.lineOf(context.getRequiredTestMethod()).orElse(null);
        if (line == null || failure instanceof TestAbortedException) {
            throw failure;
        }
        out.accept("KNOWN RED " + line.test() + ": " + line.cause() + " (" + line.issue() + "): " + failure);
        throw new TestAbortedException("known red, " + line.issue() + ": " + failure.getMessage());
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        if (context.getExecutionException().isEmpty()) {
            list.lineOf(context.getRequiredTestMethod()).ifPresent(line -> {
                throw new AssertionError("passes: take the line out of KNOWN-RED.txt: " + line.test());
            });
        }
    }
}
