package sablehinge.common.rpc;

/**
 * A record between processes of the mesh.
 *
 * @param kind the kind of its body
 * @param body as written by {@link java.io.DataOutputStream}; must not be changed
 */
public record Frame(Kind kind, byte[] body) {

    /** The kinds of record; their ordinals are written to the wire. */
    public enum Kind {
        /** Identifies the sender; the first record of each connection between members of the control plane. */
        HELLO,
        /** Checks that the peer is reachable; answered with {@link #PONG}. */
        PING,
        /** The reply to {@link #PING}. */
        PONG,
        /** A message of the Raft protocol between members of the control plane. */
        RAFT,
        /** Subscribes a data-plane proxy to updates. */
        ASK,
        /** An update, in reply to {@link #ASK}. */
        UPDATE,
        /** Names another member to subscribe to. */
        REDIRECT,
        /** Requests a share of a token pool; the reply is of the same kind. */
        TOKENS,
        /** Claims shares of a retry budget; the reply is of the same kind. */
        SHARES,
        /** Requests the part of a tenant's quota that a proxy can spare; the reply is of the same kind. */
        PULL
    }
}
