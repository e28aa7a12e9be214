package sablehinge.common.rpc;

/**
 * One record between processes of the system.
 *
 * @param kind what its body is
 * @param body as {@link java.io.DataOutputStream} wrote it; not to be changed
 */
public record Frame(Kind kind, byte[] body) {

    /** The kinds of record; their order is their number on the wire. */
    public enum Kind {
        /** Who speaks, first on each connection between members of the core. */
        HELLO,
        /** Is the other end there; answered with {@link #PONG}. */
        PING,
        /** It is. */
        PONG,
        /** What members of the core say to each other to agree. */
        RAFT,
        /** A data-plane balancer watches for updates. */
        ASK,
        /** The answer to that. */
        UPDATE,
        /** Who else to ask. */
        REDIRECT,
        /** Asks for a part of a pool; the answer is of the same kind. */
        TOKENS,
        /** Claims shares of further tries; the answer is of the same kind. */
        SHARES,
        /** Asks for what a balancer can do without of a tenant's quota; the answer is of the same kind. */
        PULL
    }
}
