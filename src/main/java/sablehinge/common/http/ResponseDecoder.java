package sablehinge.common.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses and rejects those whose status lines or field names RFC 9112 and RFC 9110 do not allow. Netty would
 * correct or skip some of it, and what it makes of such a response need not be what the sender meant.
 *
 * <p>A malformed response ends in an exception or in a failed {@linkplain HttpResponse#decoderResult() result}; either
 * way the connection must be closed, as nothing is known about the bytes that follow.
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
            } else if (decoded instanceof HttpResponse) {
                part = Part.BODY;
            }
        }
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
