package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Knows, beside its work, whether a request has come in part. */
final class CallerDecoder extends RequestCheck.Decoder {

    private final CallerConnection connection;
    /** Whether bytes have come since the last complete request. */
    boolean receiving;
    /** Whether what is decoded next belongs to another request than what was decoded last. */
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
            // In one segment with the end of the one before, which has been handed on by now.
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
