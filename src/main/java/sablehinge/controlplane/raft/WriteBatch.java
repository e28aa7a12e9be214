package sablehinge.controlplane.raft;

import java.util.List;

/**
 * Changes that the disk must write atomically. Batches are written in the order of their numbers.
 *
 * @param number number of the batch, from 1 on in each process
 * @param term the latest term that the member has seen
 * @param votedFor the id of the candidate that the member voted for in that term; 0 for none
 * @param truncateFrom index from which on all stored entries are removed first; 0 for none
 * @param append entries to append to the remaining ones
 * @param snapshot replaces all entries up to its index and the previous snapshot; null for none. Later entries remain
 *     unless {@code truncateFrom} removes them
 */
public record WriteBatch(
        long number, long term, long votedFor, long truncateFrom, List<Entry> append, Snapshot snapshot) {

    /** Copies the list, so that it is unmodifiable. */
    public WriteBatch {
        append = List.copyOf(append);
    }
}
