package sablehinge.controlplane.node;

import sablehinge.mesh.api.ApiResponse;

/** The result of an operator's call. */
record CallOutcome(ApiResponse reply) {

    /** A redirect to the leader, or an error if no leader is known. */
    static CallOutcome redirect(QuorumGate.Refusal refusal, String path) {
        if (refusal.leader() != null) {
            return new CallOutcome(
                    ApiResponse.elsewhere("http://" + refusal.leader().control() + path));
        }
        return refusal.leads()
                ? error(503, "NO_MAJORITY", "no majority has answered")
                : error(503, "NO_LEADER", "the core has no leader at the moment");
    }

    /** An error that names no place in the request body. */
    static CallOutcome error(int status, String code, String message) {
        return new CallOutcome(ApiResponse.error(status, code, message));
    }
}
