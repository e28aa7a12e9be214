package sablehinge.controlplane.node;

import sablehinge.mesh.api.Reply;

/** What became of an operator's call. */
record Settled(Reply reply) {

    /** Where else to call; where no leader is known, nowhere. */
    static Settled elsewhere(QuorumGate.Refusal refusal, String path) {
        if (refusal.leader() != null) {
            return new Settled(Reply.elsewhere("http://" + refusal.leader().control() + path));
        }
        return refusal.leads()
                ? error(503, "NO_MAJORITY", "no majority has answered")
                : error(503, "NO_LEADER", "the core has no leader at the moment");
    }

    /** An error without a place. */
    static Settled error(int status, String code, String words) {
        return new Settled(Reply.error(status, code, words));
    }
}
