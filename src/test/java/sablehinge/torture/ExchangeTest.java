package sablehinge.torture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.torture.ExchangePlay.Event;

/** A part of {@code bench/run exchange}, which plays longer orders and all faults. */
class ExchangeTest {

    private static final int DEPTH = 2;
    private static final int MIN_PLAYED = 200;

    @Test
    void noShortOrderOfEventsBreaksWhatMustHold() throws Exception {
        List<String> found = ExchangeBench.search(DEPTH, Integer.MAX_VALUE);
        assertEquals(List.of(), found.subList(1, found.size()));
        assertTrue(Long.parseLong(found.get(0)) > MIN_PLAYED, found.get(0));
    }

    @Test
    void noShortOrderOnTheOutboundHopBreaksWhatMustHold() throws Exception {
        List<String> found = ExchangeBench.searchOutbound(DEPTH, Integer.MAX_VALUE);
        assertEquals(List.of(), found.subList(1, found.size()));
        assertTrue(Long.parseLong(found.get(0)) > MIN_PLAYED, found.get(0));
    }

    /** A request that an inbound balancer stood still with runs when all has been answered. */
    @Test
    void whoStandsStillRunsWhatLiesInItsBuffersLater() {
        assertEquals(
                List.of(),
                new OutboundPlay()
                        .play(List.of(
                                OutboundPlay.Event.CALL,
                                OutboundPlay.Event.ANSWER,
                                OutboundPlay.Event.FREEZE,
                                OutboundPlay.Event.CALL,
                                OutboundPlay.Event.WAIT,
                                OutboundPlay.Event.CALLS_AGAIN,
                                OutboundPlay.Event.THAW)));
    }

    /** TWICE: the late copy of a refusal and the refusal that is due are told apart by their connections. */
    @Test
    void requestThatIsSentAgainIsNotRefusedByLateCopy() {
        assertEquals(
                List.of(),
                new ExchangePlay()
                        .play(List.of(Event.CALL, Event.REFUSE, Event.CALL_AGAIN, Event.LATE_REFUSAL, Event.ANSWER)));
    }

    /** TWICE: a broken-off refusal and the answer behind it are not read as one. */
    @Test
    void partOfRefusalBeforeAnswerIsNoRefusal() {
        assertEquals(List.of(), new ExchangePlay().play(List.of(Event.CALL, Event.PART_OF_REFUSAL, Event.ANSWER)));
    }

    @Test
    void whatCannotHappenIsNotPlayed() {
        assertNull(new ExchangePlay().play(List.of(Event.REST_OF_ANSWER)));
        assertNotNull(new ExchangePlay().play(List.of(Event.CALL, Event.HALF_ANSWER, Event.REST_OF_ANSWER)));
    }

    @Test
    void eachFaultHasItsPlaceAndOneIsFound() throws Exception {
        for (Mutant fault : ExchangeBench.MUTANTS) {
            fault.applied(Files.readString(Path.of("src/main/java/sablehinge/" + fault.in() + ".java")));
        }
        for (Mutant fault : ExchangeBench.OUTBOUND_MUTANTS) {
            fault.applied(Files.readString(Path.of("src/main/java/sablehinge/" + fault.in() + ".java")));
        }
        List<?> found = (List<?>) MutantLoader.of(ExchangeBench.MUTANTS.get(0), Path.of("src/main/java"))
                .loadClass(ExchangeBench.class.getName())
                .getMethod("search", int.class, int.class)
                .invoke(null, DEPTH, 1);
        assertTrue(found.size() > 1, ExchangeBench.MUTANTS.get(0).name());
    }
}
