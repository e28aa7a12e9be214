package sablehinge.controlplane.raft;

import java.util.List;

/**
 * What a member finds on its disk when it starts.
 *
 * @param self who it is; what it promised under this id binds it
 * @param term the latest that it has seen
 * @param votedFor the id of who has its vote in that term; 0 for nobody
 * @param snapshot null where there is none
 * @param entries after the snapshot, in order and without gaps
 */
public record PersistedState(Member self, long term, long votedFor, Snapshot snapshot, List<Entry> entries) {

    /** A record whose list can't be changed. */
    public PersistedState {
        entries = List.copyOf(entries);
    }
}
