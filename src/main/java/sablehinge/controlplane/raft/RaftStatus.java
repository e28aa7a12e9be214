package sablehinge.controlplane.raft;

import java.util.List;

/**
 * The role of a member, and its view of the core.
 *
 * @param role role of the member itself
 * @param term the latest term that it has seen
 * @param leader leader of that term; null if unknown
 * @param members the latest member list in its log, committed or not
 */
public record RaftStatus(Role role, long term, Member leader, List<Member> members) {

    /** The role of a member. */
    public enum Role {
        /** Not in the latest member list that it knows; it requests to join. */
        OUTSIDER,
        /** Receives entries from a leader, or waits for a leader. */
        FOLLOWER,
        /** Requests votes. */
        CANDIDATE,
        /** Appends the entries of its term. */
        LEADER
    }

    /** Copies the list, so that it is unmodifiable. */
    public RaftStatus {
        members = List.copyOf(members);
    }
}
