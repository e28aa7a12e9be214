package sablehinge.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The subset of the ready servers that an instance prefers. */
final class ServerSubset {

    /** Servers in the subset: enough to lose a few, few enough to know. */
    private static final double SIZE = 8;

    private static final int ID_FACTOR = 31;

    private ServerSubset() {}

    /**
     * Every so many-th server in an order by zone and machine type, each sibling beginning at its own place: a subset
     * is a small picture of the fleet, and every server is in as many subsets as the others. Each round of siblings
     * shuffles anew, so that no two servers share all their callers.
     *
     * @param position of this instance among its siblings
     */
    static void choose(List<Server> ready, int position) {
        int stride = (int) Math.max(1, ready.size() / SIZE);
        long round = position / stride;
        List<Server> ordered = new ArrayList<>(ready);
        ordered.forEach(
                server -> server.weight = new SplittableRandom(server.listed.id() * ID_FACTOR + round).nextDouble());
        ordered.sort(Comparator.<Server>comparingInt(server -> server.listed.zone())
                .thenComparingInt(server -> server.listed.kind())
                .thenComparingDouble(server -> server.weight));
        for (int i = 0; i < ordered.size(); i++) {
            ordered.get(i).preferred = (i + position) % stride == 0;
        }
    }
}
