package sablehinge.controlplane.raft;

import java.util.List;

/**
 * The state after all entries up to an index, which replaces these entries.
 *
 * @param index index of the last entry that the snapshot covers
 * @param term term of that entry
 * @param members members of the core at that entry
 * @param state state of the state machine; must not be modified
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {

    /** Copies the list, so that it is unmodifiable. */
    public Snapshot {
        members = List.copyOf(members);
    }
}
