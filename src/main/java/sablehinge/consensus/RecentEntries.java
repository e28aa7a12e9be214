package sablehinge.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The last entries that a snapshot has taken the place of, kept in memory so that a member that was away
 * for a short while gets them and no snapshot. Bounded by their number and their bytes.
 */
final class RecentEntries {

    static final int MOST_ENTRIES = 512;
    static final long MOST_BYTES = 4 << 20;

    private final List<Entry> entries = new ArrayList<>();
    private long bytes;

    /** Takes entries that follow on those that are kept. */
    void add(List<Entry> more) {
        for (Entry entry : more) {
            entries.add(entry);
            bytes += entry.data().length;
        }
        int dropped = 0;
        while (dropped < entries.size()
                && (bytes > MOST_BYTES || entries.size() - dropped > MOST_ENTRIES)) {
            bytes -= entries.get(dropped++).data().length;
        }
        entries.subList(0, dropped).clear();
    }

    void clear() {
        entries.clear();
        bytes = 0;
    }

    boolean holds(long index) {
        return !entries.isEmpty() && index >= entries.get(0).index()
                && index <= entries.get(entries.size() - 1).index();
    }

    /** One that {@link #holds} says is here. */
    Entry entry(long index) {
        return entries.get((int) (index - entries.get(0).index()));
    }
}
