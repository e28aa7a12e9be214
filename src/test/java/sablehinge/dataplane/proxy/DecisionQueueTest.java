package sablehinge.dataplane.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which the decision module is called. */
class DecisionQueueTest {

    private final List<String> done = new ArrayList<>();
    private final DecisionQueue queue =
            new DecisionQueue(about -> done.add("after"), (about, cause) -> done.add("failed " + cause.getMessage()));

    @Test
    void whenACallCausesAnotherThenThatWaitsForItsEnd() {
        queue.call(null, () -> {
            queue.call(null, () -> done.add("second"));
            done.add("first");
        });

        assertEquals(List.of("first", "after", "second", "after"), done);
    }

    @Test
    void whenACallFailsThenTheNextIsMadeForAllThat() {
        queue.call(null, () -> {
            queue.call(null, () -> done.add("second"));
            throw new IllegalStateException("first");
        });

        assertEquals(List.of("failed first", "after", "second", "after"), done);
    }

    @Test
    void whenACallHasEndedThenItIsAboutNoRequestAnyMore() {
        Exchange about = new Exchange(
                1, null, new Arrival(0, 0, 0, 1_000, 0, false, false), Payload.NONE, 0, answer -> done.add("answered"));
        List<Exchange> subjects = new ArrayList<>();

        queue.call(about, () -> subjects.add(queue.subject()));

        assertEquals(List.of(about), subjects);
        assertNull(queue.subject());
    }
}
