package sablehinge.tools.replay.statistics;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts occurrences of values: exactly while there are few distinct ones; beyond a limit, the most frequent ones with
 * a known error (Misra and Gries, Finding repeated elements, 1982; subtracting the median as in Anderson et al., A
 * high-performance algorithm for identifying frequent items in data streams, 2017).
 */
public final class TopValues {

    private final int maxValues;
    private final HashMap<String, long[]> counts = new HashMap<>();
    private long subtracted;

    /** Creates counts for at most {@code maxValues} distinct values. */
    public TopValues(int maxValues) {
        this.maxValues = maxValues;
    }

    /** Counts one occurrence of a value. */
    public void add(String value) {
        add(value, 1);
    }

    /** Counts a number of occurrences of a value. */
    public void add(String value, long occurrences) {
        long[] count = counts.get(value);
        if (count != null) {
            count[0] += occurrences;
            return;
        }
        counts.put(value, new long[] {occurrences});
        if (counts.size() > maxValues) {
            long median = counts.values().stream()
                    .mapToLong(c -> c[0])
                    .sorted()
                    .skip(counts.size() / 2)
                    .findFirst()
                    .orElse(1);
            subtracted += median;
            counts.values().removeIf(c -> (c[0] -= median) <= 0);
        }
    }

    /** The maximum amount by which a count may be too low; 0 while all counts are exact. */
    public long error() {
        return subtracted;
    }

    /** The most frequent values with their counts, most frequent first, ties ordered by value. */
    public Map<String, Long> top(int limit) {
        Map<String, Long> top = new LinkedHashMap<>();
        counts.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, long[]>>comparingLong(e -> -e.getValue()[0])
                        .thenComparing(Map.Entry::getKey))
                .limit(limit)
                .forEach(e -> top.put(e.getKey(), e.getValue()[0]));
        return top;
    }

    /** Number of values that are counted at present. */
    public int size() {
        return counts.size();
    }
}
