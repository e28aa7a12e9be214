package sablehinge.dataplane.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;

/**
 * Checks received bytes before they are decoded. The decoder buffers a partial line, so bytes that belong to no request
 * could stay there and be taken for the start of the next response.
 */
final class UpstreamDecoder extends HttpResponseDecoder {

    /** The prefix of every response. */
    private static final byte[] STATUS_LINE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final UpstreamConnection connection;
    /** How many bytes of the prefix were received. */
    private int matchedPrefix;

    UpstreamDecoder(UpstreamConnection connection) {
        super(new HttpDecoderConfig().setMaxChunkSize(UpstreamClient.MAX_PART_BYTES));
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (connection.attempt == null && connection.relay == null || !matchesStatusLine((ByteBuf) message)) {
            ReferenceCountUtil.release(message);
            connection.failMalformed();
            return;
        }
        connection.onBytes();
        super.channelRead(ctx, message);
    }

    /**
     * Whether the bytes may be part of a response: without this check, garbage without a line end would wait for more
     * input.
     */
    private boolean matchesStatusLine(ByteBuf bytes) {
        int at = bytes.readerIndex();
        while (matchedPrefix < STATUS_LINE_PREFIX.length && at < bytes.writerIndex()) {
            if (bytes.getByte(at++) != STATUS_LINE_PREFIX[matchedPrefix++]) {
                return false;
            }
        }
        return true;
    }

    /** The next bytes begin a message, whose prefix is checked. */
    void expectMessage() {
        matchedPrefix = 0;
    }

    /** Skips the check for the next message, whose beginning was checked with the bytes before it. */
    void skipPrefixCheck() {
        matchedPrefix = STATUS_LINE_PREFIX.length;
    }

    /** Whether bytes are buffered that belong to no message so far. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Rejects a header line without a colon, which Netty would accept as a header with no value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects a message with both framings; Netty would drop its length and continue. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both framings");
    }
}
