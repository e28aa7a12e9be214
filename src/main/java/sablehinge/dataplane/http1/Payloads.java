package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMessage;
import sablehinge.dataplane.proxy.Payload;

/** What dialects may see of payloads. */
public final class Payloads {

    private Payloads() {}

    /** The head of a payload; null where it has none. */
    public static HttpMessage head(Payload payload) {
        return payload instanceof RelayedPayload passing
                ? passing.head()
                : payload instanceof HttpPayload complete ? complete.message() : null;
    }

    /** The complete body of a payload, lent; nothing where it passes through. */
    public static ByteBuf content(Payload payload) {
        return payload instanceof HttpPayload complete ? complete.message().content() : Unpooled.EMPTY_BUFFER;
    }
}
