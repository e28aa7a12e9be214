package sablehinge.mesh.failuredetection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Balancers in the order of hashes of their names, each of which is watched over by some of those that come next.
 * Whoever knows the same balancers comes to the same watchers; when one comes or goes, only those that stand shortly
 * before it change theirs. Watchers are drawn from the next {@link #CANDIDATES}, so nobody watches over more than that,
 * and are of as many zones as can be, so that the cut of one zone blinds none.
 */
public final class HashRing {

    /** Watchers of each, where there are enough balancers. */
    public static final int WATCHERS = 3;
    /** Balancers next on the ring among which they are chosen. */
    public static final int CANDIDATES = 2 * WATCHERS;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<RingPosition> places;
    private final Map<String, Integer> index = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();

    private record RingPosition(long at, String node, String zone) {}

    /** A ring of balancers, given with their zones. */
    public HashRing(Map<String, String> zones) {
        places = new ArrayList<>(zones.size());
        zones.forEach((node, zone) -> places.add(new RingPosition(positionOf(node), node, zone)));
        places.sort(Comparator.comparingLong(RingPosition::at).thenComparing(RingPosition::node));
        for (int i = 0; i < places.size(); i++) {
            index.put(places.get(i).node(), i);
            names.put(places.get(i).at(), places.get(i).node());
        }
    }

    /** Where a name stands on every ring. */
    public static long positionOf(String node) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * FNV_PRIME;
        }
        // Names that differ in their last character only would be neighbours.
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** Who stands at a place, or null. */
    public String nodeAt(long place) {
        return names.get(place);
    }

    /** Who watches over a balancer, in the order in which they were chosen; nobody where it isn't known. */
    public List<String> watchers(String node) {
        Integer at = index.get(node);
        List<String> chosen = new ArrayList<>(WATCHERS);
        if (at == null) {
            return chosen;
        }
        List<RingPosition> next = new ArrayList<>(CANDIDATES);
        for (int i = 1; i <= Math.min(CANDIDATES, places.size() - 1); i++) {
            next.add(places.get((at + i) % places.size()));
        }
        Map<String, Integer> used = new HashMap<>(Map.of(places.get(at).zone(), 1));
        while (chosen.size() < WATCHERS && !next.isEmpty()) {
            RingPosition best = next.get(0);
            for (RingPosition place : next) {
                if (used.getOrDefault(place.zone(), 0) < used.getOrDefault(best.zone(), 0)) {
                    best = place;
                }
            }
            next.remove(best);
            used.merge(best.zone(), 1, Integer::sum);
            chosen.add(best.node());
        }
        return chosen;
    }

    /** Whom a balancer watches over. */
    public List<String> watchedBy(String node) {
        Integer at = index.get(node);
        List<String> watched = new ArrayList<>();
        for (int i = 1; at != null && i <= Math.min(CANDIDATES, places.size() - 1); i++) {
            String before = places.get(Math.floorMod(at - i, places.size())).node();
            if (watchers(before).contains(node)) {
                watched.add(before);
            }
        }
        return watched;
    }
}
