package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMessage;
import sablehinge.dataplane.proxy.Payload;

/** Gives dialects access to the heads and bodies of payloads. */
public final class Payloads {

    private Payloads() {}

    /** The head of a payload; null if it has none. */
    public static HttpMessage head(Payload payload) {
        return payload instanceof RelayedPayload relayedPayload
                ? relayedPayload.head()
                : payload instanceof HttpPayload complete ? complete.message() : null;
    }

    /** The complete body of a payload, not retained; empty if the body is relayed. */
    public static ByteBuf content(Payload payload) {
        return payload instanceof HttpPayload complete ? complete.message().content() : Unpooled.EMPTY_BUFFER;
    }
}
