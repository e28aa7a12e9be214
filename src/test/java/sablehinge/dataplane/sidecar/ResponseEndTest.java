package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import sablehinge.dataplane.sidecar.HopFixture.Hop;

/** LOST, MIXED: where a response ends, over one hop and two, whether it is passed on whole or relayed. */
@Timeout(120)
class ResponseEndTest {

    private static final int BAD_GATEWAY = 502;
    /** More than is buffered, so that the body is relayed. */
    private static final int RELAYED_BYTES = 200_000;

    /** How the server ends its connection. */
    private enum End {
        ORDERLY,
        RESET
    }

    private static void end(PlainConnection connection, End end) throws IOException {
        if (end == End.RESET) {
            connection.reset();
        } else {
            connection.socket.shutdownOutput();
        }
    }

    static Stream<Arguments> endsOfConnections() {
        List<Arguments> all = new ArrayList<>();
        for (Hop hop : Hop.values()) {
            for (End end : End.values()) {
                for (int length : new int[] {0, 10, RELAYED_BYTES}) {
                    all.add(Arguments.of(hop, end, "HTTP/1.1", "", length));
                    all.add(Arguments.of(hop, end, "HTTP/1.1", "Connection: close\r\n", length));
                    all.add(Arguments.of(hop, end, "HTTP/1.1", "Connection: keep-alive\r\n", length));
                    all.add(Arguments.of(hop, end, "HTTP/1.0", "", length));
                    all.add(Arguments.of(hop, end, "HTTP/1.0", "Connection: keep-alive\r\n", length));
                }
            }
        }
        return all.stream();
    }

    /** A response without a length was taken for a truncated one, unless it said {@code Connection: close}. */
    @ParameterizedTest
    @MethodSource("endsOfConnections")
    void orderlyEndOfConnectionCompletesResponseWithoutLength(
            Hop hop, End end, String version, String headers, int length) throws Exception {
        String body = "x".repeat(length);
        try (HopFixture stage = new HopFixture(hop)) {
            PlainConnection client = stage.connect();
            PlainConnection server = stage.send(client, "t-1");
            server.write(HopFixture.head(version, headers) + body);
            if (end == End.RESET && length == RELAYED_BYTES) {
                // The reset must not overtake the head and become a failure of the whole response.
                client.socket.getInputStream().readNBytes(1);
                end(server, end);
                assertTruncated(client);
                return;
            }
            end(server, end);
            PlainConnection.Message answer = client.read();
            if (end == End.RESET) {
                assertEquals(BAD_GATEWAY, answer.status());
                assertEquals("", answer.body());
            } else {
                assertEquals(200, answer.status());
                assertEquals(body, answer.body());
                assertEquals("3e1b.t-1", answer.header("Sablehinge-Postmark"));
                assertNull(answer.header("Connection"));
            }
            stage.expectServed(client, server);
        }
    }

    private static void assertTruncated(PlainConnection client) throws IOException {
        String rest;
        try {
            rest = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (SocketException e) {
            return;
        }
        assertTrue(!rest.endsWith("\r\n0\r\n\r\n"), "the response looks complete");
    }

    static Stream<Arguments> truncatedResponses() {
        List<Arguments> all = new ArrayList<>();
        for (Hop hop : Hop.values()) {
            for (End end : End.values()) {
                String longBody = "x".repeat(RELAYED_BYTES);
                String longChunk = Integer.toHexString(RELAYED_BYTES) + "\r\n" + longBody + "\r\n";
                for (String part : List.of(
                        "HTTP/1.1 200 OK\r\nSablehinge-Try",
                        HopFixture.head("HTTP/1.1", "Content-Length: 10\r\n") + "half",
                        HopFixture.head("HTTP/1.1", "Content-Length: 10\r\nConnection: close\r\n") + "half",
                        HopFixture.head("HTTP/1.1", "Content-Length: 300000\r\n") + longBody,
                        HopFixture.head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n",
                        HopFixture.head("HTTP/1.1", "Transfer-Encoding: chunked\r\nConnection: close\r\n")
                                + "4\r\nhalf\r\n",
                        HopFixture.head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + longChunk,
                        HopFixture.head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + longChunk + "0\r\n")) {
                    all.add(Arguments.of(hop, end, part));
                }
            }
        }
        return all.stream();
    }

    /** MIXED: a response that has a length or chunks is not completed by any end of its connection. */
    @ParameterizedTest
    @MethodSource("truncatedResponses")
    void endOfConnectionCompletesNoResponseWithLengthOrChunks(Hop hop, End end, String part) throws Exception {
        try (HopFixture stage = new HopFixture(hop)) {
            PlainConnection client = stage.connect();
            PlainConnection server = stage.send(client, "t-1");
            server.write(part);
            end(server, end);
            try {
                PlainConnection.Message answer = client.read();
                assertTrue(answer == null || answer.status() == BAD_GATEWAY, () -> "complete: " + answer.startLine());
            } catch (EOFException | SocketException e) {
                // The response is truncated.
            }
        }
    }

    /** MIXED: a body in an unknown transfer coding was passed on with its coding, as if it had none. */
    @ParameterizedTest
    @EnumSource(Hop.class)
    void responseWithUnknownTransferCodingIsMalformed(Hop hop) throws Exception {
        for (String codings : List.of(
                "Transfer-Encoding: gzip\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")) {
            try (HopFixture stage = new HopFixture(hop)) {
                PlainConnection client = stage.connect();
                PlainConnection server = stage.send(client, "t-1");
                server.write(HopFixture.head("HTTP/1.1", codings) + "4\r\nbody\r\n0\r\n\r\n");
                server.socket.shutdownOutput();
                assertEquals(BAD_GATEWAY, client.read().status(), codings);
                stage.expectServed(client, server);
            }
        }
    }

    /** To a client of HTTP/1.0 the end of its own connection is the end of the response, and a reset its truncation. */
    @ParameterizedTest
    @EnumSource(End.class)
    void endOfConnectionIsPassedOnToOldClient(End end) throws Exception {
        byte[] body = "x".repeat(RELAYED_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        try (HopFixture stage = new HopFixture(Hop.BOTH)) {
            PlainConnection client = stage.connect();
            client.write(SidecarFixture.post("/u/x", "t-1", "b").replace("HTTP/1.1", "HTTP/1.0"));
            PlainConnection server = stage.nextRequest();
            server.write(HopFixture.head("HTTP/1.1", ""));
            server.socket.getOutputStream().write(body);
            if (end == End.RESET) {
                client.socket.getInputStream().readNBytes(1);
            }
            end(server, end);
            boolean complete = true;
            byte[] received = new byte[0];
            try {
                received = client.socket.getInputStream().readAllBytes();
            } catch (SocketException e) {
                complete = false;
            }
            assertEquals(end == End.ORDERLY, complete);
            if (complete) {
                String text = new String(received, StandardCharsets.ISO_8859_1);
                int start = text.indexOf("\r\n\r\n") + 4;
                assertArrayEquals(body, text.substring(start).getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }
}
