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
 * Looks at the bytes ahead of the decoder. That keeps part of a line unseen, so bytes that no request waits for could
 * lie there and be taken for the start of the next answer.
 */
final class UpstreamDecoder extends HttpResponseDecoder {

    /** How every answer begins. */
    private static final byte[] STATUS_LINE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final UpstreamConnection connection;
    /** How much of the beginning of an answer has come. */
    private int matchedPrefix;

    UpstreamDecoder(UpstreamConnection connection) {
        super(new HttpDecoderConfig().setMaxChunkSize(UpstreamClient.PART));
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

    /** Whether this may be part of an answer: noise without a line's end would else wait for more. */
    private boolean matchesStatusLine(ByteBuf bytes) {
        int at = bytes.readerIndex();
        while (matchedPrefix < STATUS_LINE_PREFIX.length && at < bytes.writerIndex()) {
            if (bytes.getByte(at++) != STATUS_LINE_PREFIX[matchedPrefix++]) {
                return false;
            }
        }
        return true;
    }

    /** The next bytes begin a message. */
    void expectMessage() {
        matchedPrefix = 0;
    }

    /** Bytes that are here already belong to the next message: its beginning was looked at with them. */
    void skipPrefixCheck() {
        matchedPrefix = STATUS_LINE_PREFIX.length;
    }

    /** Whether bytes have come that belong to no message so far. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    /** Netty would take a line of words without a colon for a header with no value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Netty would drop the length of a message that has both framings, and go on. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both framings");
    }
}
