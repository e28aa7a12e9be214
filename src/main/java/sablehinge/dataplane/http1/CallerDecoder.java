package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** A request decoder that also tracks whether a request was received in part. */
final class CallerDecoder extends RequestCheck.Decoder {

    private final CallerConnection connection;
    /** Whether bytes were received since the last complete request. */
    boolean receiving;
    /** Whether the next decoded part belongs to another request than the last one. */
    private boolean betweenRequests;

    CallerDecoder(CallerConnection connection, int headerBytes) {
        super(headerBytes);
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (!receiving) {
            receiving = true;
            connection.onMessageStart();
        }
        connection.onBytes(((ByteBuf) bytes).readableBytes());
        super.channelRead(ctx, bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (betweenRequests) {
            // The request begins in the same segment as the end of the one before, which has been handled by now.
            betweenRequests = false;
            connection.onMessageStart();
        }
        super.decode(ctx, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            receiving = in.isReadable();
            betweenRequests = receiving;
        }
    }
}
