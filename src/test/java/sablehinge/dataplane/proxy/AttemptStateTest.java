package sablehinge.dataplane.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sablehinge.dataplane.proxy.AttemptState.Event;
import sablehinge.policy.LoadBalancer.Result;

/** The result and verdict of every attempt state for every event that can end the attempt. */
class AttemptStateTest {

    /** Rows are events; columns are the states UNSENT, PARTLY_SENT, BODY_STARTED, SENT, ANSWERED_EARLY, ANSWERING. */
    private static final String TABLE =
            """
            NO_ROOM           NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            NO_CONNECTION     NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            WRITE_FAILED      NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            CONNECTION_ENDED  NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            MALFORMED_ANSWER  NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            DEADLINE          NOT_RUN      NOT_RUN      MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            CANCELLED         MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            REFUSED_ANSWER    NOT_RUN      NOT_RUN      NOT_RUN      NOT_RUN      NOT_RUN      NOT_RUN
            FAILED_ANSWER     MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN
            SERVED_ANSWER     MAY_HAVE_RUN MAY_HAVE_RUN MAY_HAVE_RUN RAN          MAY_HAVE_RUN RAN
            """;

    @Test
    void mapsEveryStateAndEventToVerdict() {
        Set<Event> checkedEvents = new HashSet<>();
        List<String> mismatches = new ArrayList<>();
        for (String line : TABLE.split("\n")) {
            String[] words = line.trim().split(" +");
            Event event = Event.valueOf(words[0]);
            checkedEvents.add(event);
            assertEquals(1 + AttemptState.values().length, words.length, line);
            for (AttemptState state : AttemptState.values()) {
                Verdict expected = Verdict.valueOf(words[1 + state.ordinal()]);
                Verdict actual = Verdict.of(state.resultOf(event));
                if (expected != actual) {
                    mismatches.add(state + " and " + event + ": " + actual + " instead of " + expected);
                }
            }
        }
        assertEquals(List.of(), mismatches);
        assertEquals(Set.of(Event.values()), checkedEvents);
    }

    /** Besides the verdict, the module uses the kind of failure. */
    @ParameterizedTest
    @CsvSource({
        "SENT,DEADLINE,TIMEOUT",
        "BODY_STARTED,CONNECTION_ENDED,RESET",
        "PARTLY_SENT,CONNECTION_ENDED,CONNECT_FAILED",
        "SENT,CONNECTION_ENDED,RESET",
        "SENT,MALFORMED_ANSWER,ERROR",
        "UNSENT,NO_ROOM,NOT_SENT",
        "UNSENT,NO_CONNECTION,CONNECT_FAILED",
        "SENT,REFUSED_ANSWER,FULL",
        "SENT,CANCELLED,CANCELLED",
        "ANSWERING,SERVED_ANSWER,OK",
        "ANSWERED_EARLY,SERVED_ANSWER,ERROR"
    })
    void mapsStateAndEventToResult(AttemptState state, Event event, Result result) {
        assertEquals(result, state.resultOf(event));
    }

    /** No transition leads back to a state in which the request can't have run. */
    @Test
    void neverReturnsToStateThatCannotHaveRun() {
        for (AttemptState state : AttemptState.values()) {
            for (AttemptState next :
                    List.of(state.partSent(), state.bodyStarted(), state.fullySent(), state.responseStarted())) {
                assertEquals(state.mayHaveRun() || next.mayHaveRun(), next.mayHaveRun(), state + " " + next);
            }
        }
        assertEquals(AttemptState.ANSWERED_EARLY, AttemptState.PARTLY_SENT.responseStarted());
        assertEquals(AttemptState.ANSWERED_EARLY, AttemptState.BODY_STARTED.responseStarted());
        assertEquals(AttemptState.BODY_STARTED, AttemptState.PARTLY_SENT.bodyStarted());
        assertEquals(AttemptState.ANSWERING, AttemptState.ANSWERED_EARLY.fullySent());
    }
}
