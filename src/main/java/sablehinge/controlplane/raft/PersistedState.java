package sablehinge.controlplane.raft;

import java.util.List;

/**
 * The persisted state with which a member starts.
 *
 * @param self the member itself, bound by the votes and answers that it gave under this id
 * @param term the latest term that the member has seen
 * @param votedFor the id of the candidate that the member voted for in that term; 0 for none
 * @param snapshot the latest snapshot; null for none
 * @param entries the entries after the snapshot, in order and without gaps
 */
public record PersistedState(Member self, long term, long votedFor, Snapshot snapshot, List<Entry> entries) {

    /** Copies the list, so that it is unmodifiable. */
    public PersistedState {
        entries = List.copyOf(entries);
    }
}
