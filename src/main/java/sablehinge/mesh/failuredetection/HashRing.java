package sablehinge.mesh.failuredetection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A hash ring of balancers that assigns watchers to each balancer. Processes that know the same balancers compute the
 * same watchers. When a balancer joins or leaves, only the balancers shortly before it on the ring change their
 * watchers. Watchers are chosen from the next {@link #CANDIDATES} balancers, so no balancer watches more than that many
 * peers. They are spread over as many zones as possible, so that every balancer keeps a watcher when one zone is
 * partitioned.
 */
public final class HashRing {

    /** Watchers of each balancer, if there are enough balancers. */
    public static final int WATCHERS = 3;
    /** Number of next balancers on the ring from which watchers are chosen. */
    public static final int CANDIDATES = 2 * WATCHERS;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<RingPosition> positions;
    private final Map<String, Integer> indexByNode = new HashMap<>();
    private final Map<Long, String> nodeByPosition = new HashMap<>();

    private record RingPosition(long hash, String node, String zone) {}

    /** Creates a ring of the given balancers, which are mapped to their zones. */
    public HashRing(Map<String, String> zones) {
        positions = new ArrayList<>(zones.size());
        zones.forEach((node, zone) -> positions.add(new RingPosition(positionOf(node), node, zone)));
        positions.sort(Comparator.comparingLong(RingPosition::hash).thenComparing(RingPosition::node));
        for (int i = 0; i < positions.size(); i++) {
            indexByNode.put(positions.get(i).node(), i);
            nodeByPosition.put(positions.get(i).hash(), positions.get(i).node());
        }
    }

    /** The position of a balancer on every ring, by its name alone. */
    public static long positionOf(String node) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * FNV_PRIME;
        }
        // Without this final mix, names that differ only in their last character would be neighbours on the ring.
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** The balancer at a position, or null. */
    public String nodeAt(long position) {
        return nodeByPosition.get(position);
    }

    /** The watchers of a balancer, in the order of choice; empty for an unknown balancer. */
    public List<String> watchers(String node) {
        Integer index = indexByNode.get(node);
        List<String> chosen = new ArrayList<>(WATCHERS);
        if (index == null) {
            return chosen;
        }
        List<RingPosition> next = new ArrayList<>(CANDIDATES);
        for (int i = 1; i <= Math.min(CANDIDATES, positions.size() - 1); i++) {
            next.add(positions.get((index + i) % positions.size()));
        }
        Map<String, Integer> used = new HashMap<>(Map.of(positions.get(index).zone(), 1));
        while (chosen.size() < WATCHERS && !next.isEmpty()) {
            RingPosition best = next.get(0);
            for (RingPosition position : next) {
                if (used.getOrDefault(position.zone(), 0) < used.getOrDefault(best.zone(), 0)) {
                    best = position;
                }
            }
            next.remove(best);
            used.merge(best.zone(), 1, Integer::sum);
            chosen.add(best.node());
        }
        return chosen;
    }

    /** The balancers that a balancer watches. */
    public List<String> watchedBy(String node) {
        Integer index = indexByNode.get(node);
        List<String> watched = new ArrayList<>();
        for (int i = 1; index != null && i <= Math.min(CANDIDATES, positions.size() - 1); i++) {
            String before =
                    positions.get(Math.floorMod(index - i, positions.size())).node();
            if (watchers(before).contains(node)) {
                watched.add(before);
            }
        }
        return watched;
    }
}
