package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Errors inside a control node. */
class FailStopExecutorTest {

    private final List<String> events = new ArrayList<>();
    private final FailStopExecutor executor = new FailStopExecutor(() -> events.add("halt"));

    @Test
    void tolerantTaskMayFailWithoutHalt() {
        executor.runTolerant("a tick", () -> {
            throw new IllegalStateException("broken");
        });
        executor.runTolerant("a tick", () -> {
            throw new OutOfMemoryError("direct");
        });
        executor.runTolerant("a tick", () -> events.add("done"));
        assertEquals(List.of("done"), events);
    }

    @Test
    void failStopTaskHaltsOnFailure() {
        executor.runFailStop("an entry", () -> events.add("done"));
        executor.runFailStop("an entry", () -> {
            throw new OutOfMemoryError("heap");
        });
        executor.runFailStop("an entry", () -> {
            throw new IllegalArgumentException("format");
        });
        assertEquals(List.of("done", "halt", "halt"), events);
    }
}
