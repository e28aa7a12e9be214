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
        super.decode(ctx, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            receiving = in.isReadable();
        }
    }
}
