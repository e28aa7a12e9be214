package sablehinge.common.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.testing.ResponseGrammar;

/** What is decoded does not depend on the segments in which the octets arrive. */
class ResponseDecoderTest {

    private static final String OK = "HTTP/1.1 200 OK";
    private static final String REST = "\r\nContent-Length: 4\r\n\r\nbody";
    private static final String MALFORMED = "malformed";

    /** The statuses and bodies of the responses, up to a malformed one. */
    private static List<String> decode(String octets, int firstBytes, int otherBytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder(), new HttpObjectAggregator(1 << 16));
        List<String> decoded = new ArrayList<>();
        byte[] bytes = octets.getBytes(StandardCharsets.ISO_8859_1);
        try {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, firstBytes));
            for (int at = firstBytes; at < bytes.length; at += otherBytes) {
                channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(otherBytes, bytes.length - at)));
            }
        } catch (DecoderException e) {
            decoded.add(MALFORMED);
        }
        int received = 0;
        for (FullHttpResponse one = channel.readInbound(); one != null; one = channel.readInbound()) {
            boolean isSuccess = one.decoderResult().isSuccess();
            decoded.add(
                    received++,
                    isSuccess
                            ? one.status().code() + " " + one.content().toString(StandardCharsets.ISO_8859_1)
                            : MALFORMED);
            one.release();
        }
        try {
            channel.finishAndReleaseAll();
        } catch (CodecException e) {
            // Part of a malformed response, or octets that came after it.
        }
        return decoded;
    }

    /** Decodes in one segment, octet by octet, and in two segments. */
    private static void assertDecoded(List<String> expected, String octets) {
        assertDecoded(expected, octets, octets.length(), 1);
        assertDecoded(expected, octets, 1, 1);
        assertDecoded(expected, octets, octets.length() / 2, octets.length());
    }

    /** Likewise, but in any two segments. */
    private static void assertDecodedInSegments(List<String> expected, String octets) {
        assertDecoded(expected, octets, 1, 1);
        for (int firstBytes = 1; firstBytes <= octets.length(); firstBytes++) {
            assertDecoded(expected, octets, firstBytes, octets.length());
        }
    }

    private static void assertDecoded(List<String> expected, String octets, int firstBytes, int otherBytes) {
        List<String> decoded = decode(octets, firstBytes, otherBytes);
        assertEquals(
                expected,
                decoded.subList(0, Math.min(expected.size(), decoded.size())),
                () -> ResponseGrammar.escape(octets) + " in segments of " + firstBytes + " and " + otherBytes);
    }

    @Test
    void rejectsMalformedStatusLines() {
        for (String line : ResponseGrammar.malformedStatusLines()) {
            assertDecoded(List.of(MALFORMED), line + REST);
            assertDecoded(List.of("103 ", MALFORMED), "HTTP/1.1 103 Hints\r\n\r\n" + line + REST);
            assertDecoded(List.of("200 body", MALFORMED), OK + REST + line + REST);
        }
    }

    @Test
    void rejectsMalformedFieldNames() {
        for (String name : ResponseGrammar.malformedNames()) {
            assertDecodedInSegments(List.of(MALFORMED), OK + "\r\n" + name + ": v" + REST);
            assertDecodedInSegments(List.of(MALFORMED), OK + "\r\nA: b\r\n" + name + ": v" + REST);
            assertDecodedInSegments(List.of(MALFORMED), "HTTP/1.1 100 \r\n" + name + ": v\r\n\r\n" + OK + REST);
            assertDecodedInSegments(List.of(MALFORMED), chunked(name + ": v\r\n"));
            assertDecodedInSegments(List.of(MALFORMED), chunked("A: b\r\n" + name + ": v\r\n"));
            assertDecodedInSegments(List.of(MALFORMED), chunked("Content-Length: 1\r\n" + name + ": v\r\n"));
        }
    }

    @Test
    void decodesAllowedResponses() {
        for (String line : ResponseGrammar.successes()) {
            String expected = line.substring(9, 12) + " body";
            assertDecodedInSegments(List.of(expected, expected), line + REST + line + REST);
        }
        for (String name : ResponseGrammar.names()) {
            assertDecodedInSegments(List.of("200 body"), OK + "\r\n" + name + ": v" + REST);
            assertDecodedInSegments(List.of("200 body", "200 body"), chunked(name + ": v\r\n") + OK + REST);
        }
        // Lines of a body that begin with white space are no folded lines.
        assertDecodedInSegments(
                List.of("200 \r\n\tx", "200 body"), OK + "\r\nContent-Length: 4\r\n\r\n\r\n\tx" + OK + REST);
        assertDecodedInSegments(
                List.of("200 \n x ", "200 body"),
                OK + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\n x \r\n0\r\nA: b\r\n\r\n" + OK + REST);
    }

    private static String chunked(String trailers) {
        return OK + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailers + "\r\n";
    }

    /** How the input of a channel ends. */
    private enum End {
        ORDERLY,
        RESET,
        CLOSED_HERE
    }

    /** MIXED: Netty tells an orderly end, a reset and a close from this side alike. */
    @ParameterizedTest
    @EnumSource(End.class)
    void onlyOrderlyEndCompletesResponseWithoutLength(End end) {
        for (String headers : List.of("", "Connection: close\r\n", "Connection: keep-alive\r\n")) {
            EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
            channel.writeInbound(
                    Unpooled.copiedBuffer(OK + "\r\n" + headers + "\r\nbody", StandardCharsets.ISO_8859_1));
            HttpResponse head = channel.readInbound();
            assertFalse(HttpUtil.isKeepAlive(head), headers);
            HttpContent body = channel.readInbound();
            assertEquals("body", body.content().toString(StandardCharsets.ISO_8859_1));
            body.release();
            if (end == End.RESET) {
                channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            if (end != End.CLOSED_HERE) {
                channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            }
            channel.close();
            LastHttpContent last = channel.readInbound();
            assertEquals(end == End.ORDERLY, last.decoderResult().isSuccess(), headers);
            assertNull(channel.readInbound());
            assertFalse(channel.isOpen());
        }
    }

    /** Responses that end by themselves leave their connection open. */
    @Test
    void responseThatEndsByItselfKeepsConnection() {
        for (String response : List.of(
                OK + "\r\nContent-Length: 0\r\n\r\n",
                OK + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\n\r\n")) {
            EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
            channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
            HttpResponse head = channel.readInbound();
            assertTrue(HttpUtil.isKeepAlive(head), response);
            LastHttpContent last = channel.readInbound();
            assertTrue(last.decoderResult().isSuccess(), response);
            channel.finishAndReleaseAll();
        }
    }
}
