package sablehinge.controlplane.raft;

import java.util.List;

/**
 * The state after all entries up to an index, in place of them.
 *
 * @param index of the last entry that is in it
 * @param term of that entry
 * @param members of the core at that entry
 * @param state of the state machine; not to be changed
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {

    /** A snapshot whose list can't be changed. */
    public Snapshot {
        members = List.copyOf(members);
    }
}
