package sablehinge.tools.replay.statistics;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts of names, exact while there are few; beyond a bound, the commonest ones with a known error (Misra and Gries,
 * Finding repeated elements, 1982; taken away by the median as in Anderson et al., A high-performance algorithm for
 * identifying frequent items in data streams, 2017).
 */
public final class TopValues {

    private final int most;
    private final HashMap<String, long[]> counts = new HashMap<>();
    private long taken;

    /** Counts that hold so many names at most. */
    public TopValues(int most) {
        this.most = most;
    }

    /** Counts a name once more. */
    public void add(String name) {
        add(name, 1);
    }

    /** Counts a name so many times more. */
    public void add(String name, long times) {
        long[] count = counts.get(name);
        if (count != null) {
            count[0] += times;
            return;
        }
        counts.put(name, new long[] {times});
        if (counts.size() > most) {
            long median = counts.values().stream()
                    .mapToLong(c -> c[0])
                    .sorted()
                    .skip(counts.size() / 2)
                    .findFirst()
                    .orElse(1);
            taken += median;
            counts.values().removeIf(c -> (c[0] -= median) <= 0);
        }
    }

    /** By how much a count may be too small; 0 while all are exact. */
    public long error() {
        return taken;
    }

    /** The commonest names and their counts, the commonest first, ties by name. */
    public Map<String, Long> top(int number) {
        Map<String, Long> top = new LinkedHashMap<>();
        counts.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, long[]>>comparingLong(e -> -e.getValue()[0])
                        .thenComparing(Map.Entry::getKey))
                .limit(number)
                .forEach(e -> top.put(e.getKey(), e.getValue()[0]));
        return top;
    }

    /** Names that are held. */
    public int size() {
        return counts.size();
    }
}
