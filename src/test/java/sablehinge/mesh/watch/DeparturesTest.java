package sablehinge.mesh.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class DeparturesTest {

    private final Departures departures = new Departures();

    private static Registration leaving(String node, String upstream) {
        return new Registration(node, "monza-a", "10.0.0.9:80", "huvo11a", upstream, true, 4, 9).leaving();
    }

    private static List<String> upstreams(List<Registration> registrations) {
        return registrations.stream().map(Registration::upstream).toList();
    }

    @Test
    void recordsEachIncarnationOnce() {
        assertTrue(departures.record(0, leaving("s-1", "i-1")));
        assertFalse(departures.record(1, leaving("s-1", "i-1")));
        assertTrue(departures.contains("i-1"));
        assertFalse(departures.contains("i-2"));
        assertTrue(leaving("s-1", "i-1").isLeaving());
    }

    @Test
    void findsEntriesByMark() {
        departures.record(0, leaving("s-1", "i-1"));
        departures.record(0, leaving("s-2", "i-2"));
        departures.record(0, leaving("s-1", "i-3"));
        departures.mark("i-3", 7);
        assertEquals(List.of("i-1", "i-2"), upstreams(departures.withMark(mark -> mark < 0)));
        assertEquals(List.of("i-1", "i-2", "i-3"), upstreams(departures.withMark(mark -> true)));
        assertEquals(List.of("i-3"), upstreams(departures.withMark(mark -> mark == 7)));
        assertEquals(List.of(), departures.withMark(mark -> mark == 8));
    }

    @Test
    void forgetsEntriesAfterAMinute() {
        departures.record(0, leaving("s-1", "i-1"));
        departures.record(30_000, leaving("s-1", "i-2"));
        departures.expire(60_000);
        assertTrue(departures.contains("i-1"));
        departures.expire(60_001);
        assertEquals(List.of("i-2"), upstreams(departures.withMark(mark -> true)));
        departures.expire(100_000);
        assertEquals(List.of(), departures.withMark(mark -> true));
    }

    /** Many calls of one upstream do not use up the memory. */
    @Test
    void keepsLimitedNumberOfEntries() {
        for (int i = 0; i < 5_000; i++) {
            departures.record(0, leaving("s-" + i % 3, "i-" + i));
        }
        assertEquals(4_096, departures.withMark(mark -> true).size());
        assertFalse(departures.contains("i-903"));
        assertTrue(departures.contains("i-904"));
    }
}
