package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The last entries that a snapshot has taken the place of, kept in memory so that a member that was away for a short
 * while gets them and no snapshot. Bounded by their number and by their bytes, which are no more than the snapshot's:
 * who needs more gets it sooner by the snapshot.
 */
final class RecentEntries {

    static final int MAX_ENTRIES = 512;
    /** Where the snapshot is smaller, so many bytes are kept all the same. */
    static final int ALWAYS_BYTES = 64 << 10;

    static final int MAX_BYTES = 4 << 20;

    private final List<Entry> entries = new ArrayList<>();
    private long bytes;

    /** Takes entries that follow on those that are kept, as a snapshot of some bytes takes their place. */
    void add(List<Entry> more, int snapshotBytes) {
        int most = Math.max(ALWAYS_BYTES, Math.min(MAX_BYTES, snapshotBytes));
        for (Entry entry : more) {
            entries.add(entry);
            bytes += entry.data().length;
        }
        int dropped = 0;
        while (dropped < entries.size() && (bytes > most || entries.size() - dropped > MAX_ENTRIES)) {
            bytes -= entries.get(dropped++).data().length;
        }
        entries.subList(0, dropped).clear();
    }

    void clear() {
        entries.clear();
        bytes = 0;
    }

    boolean holds(long index) {
        return !entries.isEmpty()
                && index >= entries.get(0).index()
                && index <= entries.get(entries.size() - 1).index();
    }

    /** One that {@link #holds} says is here. */
    Entry entry(long index) {
        return entries.get((int) (index - entries.get(0).index()));
    }
}
