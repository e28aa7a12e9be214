package sablehinge.controlplane.node;

import sablehinge.mesh.api.ApiResponse;

/** What became of an operator's call. */
record CallOutcome(ApiResponse reply) {

    /** Where else to call; where no leader is known, nowhere. */
    static CallOutcome redirect(QuorumGate.Refusal refusal, String path) {
        if (refusal.leader() != null) {
            return new CallOutcome(
                    ApiResponse.elsewhere("http://" + refusal.leader().control() + path));
        }
        return refusal.leads()
                ? error(503, "NO_MAJORITY", "no majority has answered")
                : error(503, "NO_LEADER", "the core has no leader at the moment");
    }

    /** An error without a place. */
    static CallOutcome error(int status, String code, String words) {
        return new CallOutcome(ApiResponse.error(status, code, words));
    }
}
