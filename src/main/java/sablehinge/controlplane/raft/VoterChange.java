package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * One step from a list of voters to the next one.
 *
 * @param kind whether the member comes or goes
 * @param member who does
 */
record VoterChange(Kind kind, Member member) {

    /** What happens to the member. */
    enum Kind {
        /** A learner becomes a voter. */
        ADD,
        /** A voter becomes none. */
        REMOVE
    }

    /** The list after this step. */
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
