package sablehinge.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The subset of the ready servers that an instance prefers. */
final class ServerSubset {

    /**
     * Approximate number of servers in the subset: enough to lose a few, few enough to have recent statistics of each.
     */
    private static final double TARGET_SIZE = 8;

    private static final int ID_FACTOR = 31;

    private ServerSubset() {}

    /**
     * Chooses servers at a fixed stride in an order by zone and machine type, starting at the position of the instance.
     * A subset thus represents the whole fleet, and every server is in about as many subsets as the others. Each group
     * of {@code stride} siblings shuffles the order with a different seed, so that no two servers share all callers.
     *
     * @param position number of this instance among its siblings
     */
    static void choose(List<Server> ready, int position) {
        int stride = (int) Math.max(1, ready.size() / TARGET_SIZE);
        long round = position / stride;
        List<Server> ordered = new ArrayList<>(ready);
        ordered.forEach(
                server -> server.weight = new SplittableRandom(server.entry.id() * ID_FACTOR + round).nextDouble());
        ordered.sort(Comparator.<Server>comparingInt(server -> server.entry.zone())
                .thenComparingInt(server -> server.entry.kind())
                .thenComparingDouble(server -> server.weight));
        for (int i = 0; i < ordered.size(); i++) {
            ordered.get(i).inSubset = (i + position) % stride == 0;
        }
    }
}
