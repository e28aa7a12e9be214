package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * A change of the list of voters by one member.
 *
 * @param kind whether the member is added or removed
 * @param member the member that is added or removed
 */
record VoterChange(Kind kind, Member member) {

    /** The kind of change. */
    enum Kind {
        /** A learner becomes a voter. */
        ADD,
        /** A voter is removed from the list. */
        REMOVE
    }

    /** The list of voters after this change. */
    List<Member> applied(List<Member> voters) {
        List<Member> next = new ArrayList<>(voters);
        if (kind == Kind.ADD) {
            next.add(member);
        } else {
            next.remove(member);
        }
        return next;
    }
}
