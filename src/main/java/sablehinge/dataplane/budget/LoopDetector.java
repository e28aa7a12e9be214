package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Distinguishes loops, so that each is reported once rather than for each call. Bounded; the least recently used loop
 * is evicted.
 */
public final class LoopDetector {

    private final int maxLoops;
    private final Map<List<Long>, Long> callsByLoop;

    /** Creates a detector that remembers the given number of loops. */
    public LoopDetector(int maxLoops) {
        this.maxLoops = maxLoops;
        callsByLoop = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<List<Long>, Long> eldest) {
                return size() > LoopDetector.this.maxLoops;
            }
        };
    }

    /**
     * Records a call that closed a loop with this path, whose last service is the one it returned to; true if the loop
     * is new.
     */
    public boolean isNew(List<Long> path) {
        return callsByLoop.merge(loop(path), 1L, Long::sum) == 1;
    }

    /** Number of calls that have closed the loop at the end of this path. */
    public long calls(List<Long> path) {
        return callsByLoop.getOrDefault(loop(path), 0L);
    }

    /**
     * The services of the loop, starting with the lowest id, so that the result does not depend on where the loop was
     * detected.
     */
    static List<Long> loop(List<Long> path) {
        int last = path.size() - 1;
        int previous = path.subList(0, last).lastIndexOf(path.get(last));
        List<Long> loop = new ArrayList<>(previous < 0 ? path : path.subList(previous, last));
        int start = 0;
        for (int i = 1; i < loop.size(); i++) {
            start = loop.get(i) < loop.get(start) ? i : start;
        }
        java.util.Collections.rotate(loop, -start);
        return List.copyOf(loop);
    }
}
