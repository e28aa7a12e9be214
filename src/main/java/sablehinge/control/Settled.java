package sablehinge.control;

import sablehinge.api.Reply;

/** What became of an operator's call. */
record Settled(Reply reply) {

    /** Where else to call; where no leader is known, nowhere. */
    static Settled elsewhere(Authority authority, String path) {
        String leader = authority.leader();
        return new Settled(leader == null
                ? Reply.error(503, "NO_LEADER", "the core has no leader at the moment")
                : Reply.elsewhere("http://" + leader + path));
    }

    /** An error without a place. */
    static Settled error(int status, String code, String words) {
        return new Settled(Reply.error(status, code, words));
    }
}
