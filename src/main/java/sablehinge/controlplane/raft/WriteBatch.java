package sablehinge.controlplane.raft;

import java.util.List;

/**
 * What the disk is to hold next: all of it or nothing. Changes are written in the order of their numbers.
 *
 * @param number counts up from 1 in each process
 * @param term the latest that was seen
 * @param votedFor the id of who has this member's vote in it; 0 for nobody
 * @param truncateFrom all entries from this index on go first; 0 for none
 * @param append entries that follow those that are left
 * @param snapshot takes the place of all entries up to its index, and of the snapshot before; null for none. Entries
 *     after it stay only if {@code truncateFrom} does not take them
 */
public record WriteBatch(
        long number, long term, long votedFor, long truncateFrom, List<Entry> append, Snapshot snapshot) {

    /** A change whose list can't be changed. */
    public WriteBatch {
        append = List.copyOf(append);
    }
}
