package sablehinge.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses and rejects those whose status lines or field names RFC 9112 and RFC 9110 do not allow. Netty would
 * correct or skip some of it, and what it makes of such a response need not be what the sender meant.
 *
 * <p>A malformed response ends in an exception or in a failed {@linkplain HttpResponse#decoderResult() result}; either
 * way the connection must be closed, as nothing is known about the bytes that follow.
 *
 * <p>The decoder also decides where a response ends (RFC 9112, section 6.3): after its Content-Length, with its last
 * chunk, or, if it has neither, with the orderly end of its connection. A reset completes no response, nor does a close
 * from this side. A successful {@link LastHttpContent} is thus emitted for complete responses only. Only the event of a
 * half-closed channel tells an orderly end from the others, so a channel whose server may delimit responses that way
 * needs {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}; the decoder closes it when its input has ended.
 */
public class ResponseDecoder extends HttpResponseDecoder {

    /** The part of a response that the next bytes belong to. */
    private enum Part {
        STATUS_LINE,
        FIELDS,
        BODY,
        TRAILERS
    }

    private Part part = Part.STATUS_LINE;
    /** The input of the present call, and where its first line is that was not checked before it was decoded. */
    private ByteBuf input;

    private int uncheckedFrom;
    /** Whether reading has failed, and whether the server has ended its output in order. */
    private boolean broken;

    private boolean inputEnded;

    /** Creates a decoder with Netty's default limits. */
    public ResponseDecoder() {
        this(new HttpDecoderConfig());
    }

    /** Creates a decoder with the given limits; names are always validated, and lines end with CR LF. */
    public ResponseDecoder(HttpDecoderConfig limits) {
        super(limits.clone().setValidateHeaders(true).setStrictLineParsing(true));
    }

    /** Outside of bodies, each call begins at the start of a line: Netty consumes complete lines only. */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (part == Part.STATUS_LINE || part == Part.FIELDS) {
            checkHead(in);
        }
        input = in;
        uncheckedFrom = in.readerIndex();
        super.decode(ctx, in, out);
        if (part == Part.TRAILERS && hasFoldedLine(in, uncheckedFrom, in.readerIndex())) {
            out.clear();
            throw new CorruptedFrameException("a folded line in trailers");
        }
        for (Object decoded : out) {
            if (decoded instanceof LastHttpContent) {
                part = Part.STATUS_LINE;
            } else if (decoded instanceof HttpResponse head) {
                part = Part.BODY;
                if (!isFramingKnown(head)) {
                    out.clear();
                    throw new CorruptedFrameException("an unknown transfer coding");
                }
            }
        }
    }

    /**
     * Whether it is known how a response is framed. If the end of its connection delimits it, its head says from now on
     * that the connection ends.
     */
    private boolean isFramingKnown(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            if (!HttpUtil.isContentLengthSet(head) && !isContentAlwaysEmpty(head)) {
                HttpUtil.setKeepAlive(head, false);
            }
            return true;
        }
        return codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        codings.get(0).strip());
    }

    /** Whether the server has ended its output in order; no more responses follow. */
    public final boolean hasInputEnded() {
        return inputEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            super.userEventTriggered(ctx, event);
            return;
        }
        inputEnded = !broken;
        super.userEventTriggered(ctx, event);
        ctx.close();
    }

    /** A reset, like any failure to read, is followed by the same event as an orderly end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        broken = true;
        super.exceptionCaught(ctx, cause);
    }

    /** Netty completes a response that has no length by any end of its connection. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(ctx, in, out);
        if (!inputEnded) {
            out.replaceAll(decoded -> decoded == LastHttpContent.EMPTY_LAST_CONTENT ? truncation() : decoded);
        }
    }

    private static LastHttpContent truncation() {
        LastHttpContent truncated = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        truncated.setDecoderResult(
                DecoderResult.failure(new PrematureChannelClosureException("the connection broke within a response")));
        return truncated;
    }

    private void checkHead(ByteBuf in) {
        int fields = in.readerIndex();
        if (part == Part.STATUS_LINE) {
            int end = StatusLine.end(in);
            if (end == StatusLine.INCOMPLETE) {
                return;
            }
            part = Part.FIELDS;
            fields = end;
        }
        if (hasFoldedLine(in, fields, in.writerIndex())) {
            throw new CorruptedFrameException("a folded line");
        }
    }

    /**
     * Whether a line before the empty one that ends a section of fields begins with white space. Netty would append it
     * to the value of the line before, and a field that frames the body could get lost.
     */
    private static boolean hasFoldedLine(ByteBuf in, int from, int to) {
        int line = from;
        while (line < to && in.getByte(line) != HttpConstants.CR) {
            if (in.getByte(line) == HttpConstants.SP || in.getByte(line) == HttpConstants.HT) {
                return true;
            }
            int lineFeed = in.indexOf(line, to, HttpConstants.LF);
            line = lineFeed < 0 ? to : lineFeed + 1;
        }
        return false;
    }

    /** Rejects a line without a colon and white space before the colon, which Netty would skip. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != HttpConstants.COLON) {
            throw new CorruptedFrameException("a header without a colon");
        }
        if (part == Part.BODY) {
            part = Part.TRAILERS;
            uncheckedFrom = input.readerIndex();
        }
        return super.splitHeaderName(line, start, length);
    }
}
