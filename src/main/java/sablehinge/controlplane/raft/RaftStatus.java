package sablehinge.controlplane.raft;

import java.util.List;

/**
 * What a member knows of its place.
 *
 * @param role its own
 * @param term the latest that it has seen
 * @param leader of that term; null where none is known
 * @param members the latest list in its log, which need not be committed yet
 */
public record RaftStatus(Role role, long term, Member leader, List<Member> members) {

    /** What a member may be. */
    public enum Role {
        /** Not in the latest list that it knows; it asks to be let in. */
        OUTSIDER,
        /** Takes entries from a leader, or waits for one. */
        FOLLOWER,
        /** Asks for votes. */
        CANDIDATE,
        /** Makes the entries of its term. */
        LEADER
    }

    /** A record whose list can't be changed. */
    public RaftStatus {
        members = List.copyOf(members);
    }
}
