package sablehinge.mesh.failuredetection;

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

/** Tests the assignment of watchers. */
class HashRingTest {

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
    void positionDependsOnTheNameAlone() {
        HashRing hashRing = new HashRing(zones(Set.of(1, 2, 3)));
        assertEquals("sidecar-2", hashRing.nodeAt(HashRing.positionOf("sidecar-2")));
        assertNull(hashRing.nodeAt(HashRing.positionOf("sidecar-9")));
        assertEquals(List.of(), hashRing.watchers("sidecar-9"));
        assertEquals(List.of(), new HashRing(zones(Set.of(1))).watchers("sidecar-1"));
        // The position is written on the wire between processes, so the hash must never change.
        assertEquals(-574169720292795091L, HashRing.positionOf("sidecar-plateau-1"));
    }

    @Property(tries = 500)
    void assignsWatchersOfDifferentZonesAndBoundsWatchedPeers(
            @ForAll @Size(min = 1, max = 90) Set<@IntRange(max = 5_000) Integer> numbers) {
        Map<String, String> zones = zones(numbers);
        HashRing hashRing = new HashRing(zones);
        for (String node : zones.keySet()) {
            List<String> watchers = hashRing.watchers(node);
            assertEquals(Math.min(HashRing.WATCHERS, zones.size() - 1), new HashSet<>(watchers).size());
            assertFalse(watchers.contains(node));
            assertTrue(hashRing.watchedBy(node).size() <= HashRing.CANDIDATES);
            watchers.forEach(watcher -> assertTrue(hashRing.watchedBy(watcher).contains(node)));
            hashRing.watchedBy(node)
                    .forEach(peer -> assertTrue(hashRing.watchers(peer).contains(node)));
            if (zones.size() <= HashRing.CANDIDATES + 1) {
                Set<String> otherZones = new HashSet<>(zones.values());
                otherZones.remove(zones.get(node));
                Set<String> chosen = new HashSet<>();
                watchers.forEach(watcher -> chosen.add(zones.get(watcher)));
                chosen.remove(zones.get(node));
                assertEquals(Math.min(watchers.size(), otherZones.size()), chosen.size());
            }
        }
    }

    @Property(tries = 500)
    void membershipChangeAffectsTheWatchersOfFewBalancers(
            @ForAll @Size(min = 2, max = 90) Set<@IntRange(max = 5_000) Integer> numbers) {
        Map<String, String> zones = zones(numbers);
        String removed = zones.keySet().iterator().next();
        HashRing with = new HashRing(zones);
        zones.remove(removed);
        HashRing without = new HashRing(zones);
        long changed = zones.keySet().stream()
                .filter(node -> !with.watchers(node).equals(without.watchers(node)))
                .count();
        assertTrue(changed <= HashRing.CANDIDATES, changed + " of " + zones.size());
    }
}
