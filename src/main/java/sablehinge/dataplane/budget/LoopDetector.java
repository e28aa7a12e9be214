package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tells one loop from the next, so that each is reported once and not once a call. Bounded; the oldest goes. */
public final class LoopDetector {

    private final int most;
    private final Map<List<Long>, Long> seen;

    /** Remembers so many loops. */
    public LoopDetector(int most) {
        this.most = most;
        seen = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<List<Long>, Long> eldest) {
                return size() > LoopDetector.this.most;
            }
        };
    }

    /** A call has closed a loop by this path, which ends where it came back; whether that loop is a new one. */
    public boolean isNew(List<Long> path) {
        return seen.merge(loop(path), 1L, Long::sum) == 1;
    }

    /** How many calls have closed the loop that ends this path. */
    public long calls(List<Long> path) {
        return seen.getOrDefault(loop(path), 0L);
    }

    /** The services of the loop, beginning with the one of the least id: the same wherever it is found. */
    static List<Long> loop(List<Long> path) {
        int last = path.size() - 1;
        int before = path.subList(0, last).lastIndexOf(path.get(last));
        List<Long> round = new ArrayList<>(before < 0 ? path : path.subList(before, last));
        int least = 0;
        for (int i = 1; i < round.size(); i++) {
            least = round.get(i) < round.get(least) ? i : least;
        }
        java.util.Collections.rotate(round, -least);
        return List.copyOf(round);
    }
}
