package sablehinge.dataplane.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of calls to the decision module. */
class DecisionQueueTest {

    private final List<String> events = new ArrayList<>();
    private final DecisionQueue queue = new DecisionQueue(
            exchange -> events.add("after"), (exchange, cause) -> events.add("failed " + cause.getMessage()));

    @Test
    void runsNestedCallAfterCurrentCall() {
        queue.call(null, () -> {
            queue.call(null, () -> events.add("second"));
            events.add("first");
        });

        assertEquals(List.of("first", "after", "second", "after"), events);
    }

    @Test
    void runsNextCallAfterFailure() {
        queue.call(null, () -> {
            queue.call(null, () -> events.add("second"));
            throw new IllegalStateException("first");
        });

        assertEquals(List.of("failed first", "after", "second", "after"), events);
    }

    @Test
    void hasNoSubjectAfterCall() {
        Exchange exchange = new Exchange(
                1,
                null,
                new Arrival(0, 0, 0, 1_000, 0, false, false),
                Payload.NONE,
                0,
                answer -> events.add("answered"));
        List<Exchange> subjects = new ArrayList<>();

        queue.call(exchange, () -> subjects.add(queue.subject()));

        assertEquals(List.of(exchange), subjects);
        assertNull(queue.subject());
    }
}
