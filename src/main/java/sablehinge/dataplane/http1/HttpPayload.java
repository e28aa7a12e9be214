package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.FullHttpMessage;
import sablehinge.dataplane.proxy.Payload;

/** A complete HTTP/1.1 request or response. */
public record HttpPayload(FullHttpMessage message) implements Payload {

    @Override
    public Payload retain() {
        message.retain();
        return this;
    }

    @Override
    public void release() {
        message.release();
    }
}
