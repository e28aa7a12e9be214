package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpMessage;
import sablehinge.dataplane.proxy.Payload;

/**
 * A request or response whose head was received and whose body is relayed.
 *
 * @param length of the body in bytes; -1 if it is not known in advance
 */
record RelayedPayload(HttpMessage head, long length, Relay body) implements Payload {

    @Override
    public boolean canBeSent() {
        return !body.isTaken();
    }

    @Override
    public void release() {
        body.abandon();
    }
}
