package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What becomes of errors inside a control node. */
class FailStopExecutorTest {

    private final List<String> came = new ArrayList<>();
    private final FailStopExecutor guard = new FailStopExecutor(() -> came.add("halt"));

    @Test
    void workThatIsDoneAgainSoonMayFailAndNothingElseIsTouched() {
        guard.runTolerant("a tick", () -> {
            throw new IllegalStateException("broken");
        });
        guard.runTolerant("a tick", () -> {
            throw new OutOfMemoryError("direct");
        });
        guard.runTolerant("a tick", () -> came.add("done"));
        assertEquals(List.of("done"), came);
    }

    @Test
    void workOfWhichNothingMayBeLeftOutEndsTheProcessWhenItFails() {
        guard.runFailStop("an entry", () -> came.add("done"));
        guard.runFailStop("an entry", () -> {
            throw new OutOfMemoryError("heap");
        });
        guard.runFailStop("an entry", () -> {
            throw new IllegalArgumentException("format");
        });
        assertEquals(List.of("done", "halt", "halt"), came);
    }
}
