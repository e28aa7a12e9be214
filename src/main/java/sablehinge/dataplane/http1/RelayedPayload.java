package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpMessage;
import sablehinge.dataplane.proxy.Payload;

/**
 * A request or response of which the head is here and the body passes through.
 *
 * @param length of the body in bytes; -1 where it is not known ahead
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
