package sablehinge.dataplane.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.util.ReferenceCountUtil;
import sablehinge.common.http.ResponseDecoder;

/** Decodes the responses of an upstream, and rejects bytes that belong to no request. */
final class UpstreamDecoder extends ResponseDecoder {

    private final UpstreamConnection connection;

    UpstreamDecoder(UpstreamConnection connection) {
        super(new HttpDecoderConfig().setMaxChunkSize(UpstreamClient.MAX_PART_BYTES));
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (connection.attempt == null && connection.relay == null) {
            ReferenceCountUtil.release(message);
            connection.failMalformed();
            return;
        }
        connection.onBytes();
        super.channelRead(ctx, message);
    }

    /** Whether bytes are buffered that belong to no message so far. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Rejects a message with both framings; Netty would drop its length and continue. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both framings");
    }
}
