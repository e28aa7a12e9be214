package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The latest entries that a snapshot has replaced. They remain in memory so that a member that was away for a short
 * time receives entries in place of a snapshot. Their number is limited, and their size is limited to the size of the
 * snapshot: for a member that needs more, the snapshot is faster.
 */
final class RecentEntries {

    static final int MAX_ENTRIES = 512;
    /** Limit of the retained bytes if the snapshot is smaller than this. */
    static final int MIN_CAPACITY_BYTES = 64 << 10;

    static final int MAX_CAPACITY_BYTES = 4 << 20;

    private final List<Entry> entries = new ArrayList<>();
    private long bytes;

    /** Adds entries, which follow the retained ones, when a snapshot of the given size replaces them in the log. */
    void add(List<Entry> compacted, int snapshotBytes) {
        int capacityBytes = Math.max(MIN_CAPACITY_BYTES, Math.min(MAX_CAPACITY_BYTES, snapshotBytes));
        for (Entry entry : compacted) {
            entries.add(entry);
            bytes += entry.data().length;
        }
        int dropped = 0;
        while (dropped < entries.size() && (bytes > capacityBytes || entries.size() - dropped > MAX_ENTRIES)) {
            bytes -= entries.get(dropped++).data().length;
        }
        entries.subList(0, dropped).clear();
    }

    void clear() {
        entries.clear();
        bytes = 0;
    }

    boolean contains(long index) {
        return !entries.isEmpty()
                && index >= entries.get(0).index()
                && index <= entries.get(entries.size() - 1).index();
    }

    /** Returns the entry at an index for which {@link #contains} is true. */
    Entry entry(long index) {
        return entries.get((int) (index - entries.get(0).index()));
    }
}
