package sablehinge.gauge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Who watches over whom. */
class RingTest {

    private static String name(int number) {
        return "sidecar-" + number;
    }

    private static String zone(int number) {
        return "zone-" + number % 4;
    }

    private static Map<String, String> zones(Set<Integer> numbers) {
        Map<String, String> zones = new HashMap<>();
        numbers.forEach(number -> zones.put(name(number), zone(number)));
        return zones;
    }

    @Test
    void aNameHasItsPlaceWhoeverElseIsThere() {
        Ring ring = new Ring(zones(Set.of(1, 2, 3)));
        assertEquals("sidecar-2", ring.at(Ring.place("sidecar-2")));
        assertNull(ring.at(Ring.place("sidecar-9")));
        assertEquals(List.of(), ring.watchers("sidecar-9"));
        assertEquals(List.of(), new Ring(zones(Set.of(1))).watchers("sidecar-1"));
        // On the wire between processes, and so never another.
        assertEquals(-574169720292795091L, Ring.place("sidecar-plateau-1"));
    }

    @Property(tries = 500)
    void eachHasItsWatchersOfAsManyZonesAsCanBeAndNobodyHasTooMany(
            @ForAll @Size(min = 1, max = 90) Set<@IntRange(max = 5_000) Integer> numbers) {
        Map<String, String> zones = zones(numbers);
        Ring ring = new Ring(zones);
        for (String node : zones.keySet()) {
            List<String> watchers = ring.watchers(node);
            assertEquals(Math.min(Ring.WATCHERS, zones.size() - 1), new HashSet<>(watchers).size());
            assertFalse(watchers.contains(node));
            assertTrue(ring.watched(node).size() <= Ring.REACH);
            watchers.forEach(watcher -> assertTrue(ring.watched(watcher).contains(node)));
            ring.watched(node).forEach(other -> assertTrue(ring.watchers(other).contains(node)));
            if (zones.size() <= Ring.REACH + 1) {
                Set<String> others = new HashSet<>(zones.values());
                others.remove(zones.get(node));
                Set<String> chosen = new HashSet<>();
                watchers.forEach(watcher -> chosen.add(zones.get(watcher)));
                chosen.remove(zones.get(node));
                assertEquals(Math.min(watchers.size(), others.size()), chosen.size());
            }
        }
    }

    @Property(tries = 500)
    void whoComesOrGoesChangesTheWatchersOfAFew(
            @ForAll @Size(min = 2, max = 90) Set<@IntRange(max = 5_000) Integer> numbers) {
        Map<String, String> zones = zones(numbers);
        String one = zones.keySet().iterator().next();
        Ring with = new Ring(zones);
        zones.remove(one);
        Ring without = new Ring(zones);
        long changed = zones.keySet().stream()
                .filter(node -> !with.watchers(node).equals(without.watchers(node))).count();
        assertTrue(changed <= Ring.REACH, changed + " of " + zones.size());
    }
}
