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
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import sablehinge.testing.Listener;

/** LOST, MIXED: where a response ends, over one hop and two, whether it is passed on whole or relayed. */
@Timeout(120)
class ResponseEndTest {

    private static final int BAD_GATEWAY = 502;
    /** More than is buffered, so that the body is relayed. */
    private static final int RELAYED_BYTES = 200_000;

    private static final long TIMEOUT_S = 20;

    /** Who reads the response of the server: an upstream's sidecar, both sidecars, or a client's sidecar. */
    private enum Hop {
        INBOUND,
        BOTH,
        OUTBOUND
    }

    /** How the server ends its connection. */
    private enum End {
        ORDERLY,
        RESET
    }

    /** A server whose connections the test answers and ends. */
    private static final class Stage implements AutoCloseable {

        private final SidecarFixture mesh = new SidecarFixture();
        private final BlockingQueue<PlainConnection> requested = new ArrayBlockingQueue<>(8);
        private final Hop hop;

        Stage(Hop hop) throws Exception {
            this.hop = hop;
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            Listener server = hop == Hop.OUTBOUND ? mesh.addPeer("i-8") : mesh.app;
            if (hop != Hop.OUTBOUND) {
                mesh.heartbeat("i-1", "ready");
            }
            mesh.core.awaitKnown(hop == Hop.OUTBOUND ? "" : "i-1");
            SidecarFixture.daemon(() -> {
                while (true) {
                    PlainConnection connection = new PlainConnection(server.accept().socket);
                    SidecarFixture.daemon(() -> readRequests(connection));
                }
            });
        }

        private void readRequests(PlainConnection connection) throws Exception {
            while (connection.read() != null) {
                requested.put(connection);
            }
        }

        PlainConnection connect() throws IOException {
            return hop == Hop.INBOUND ? mesh.connectAsPeer() : mesh.client();
        }

        /** Sends a request that may not be repeated; returns the connection on which it has reached the server. */
        PlainConnection send(PlainConnection client, String id) throws Exception {
            String headers = hop == Hop.INBOUND ? "Sablehinge-Deliver-To: i-1\r\nSablehinge-Patience: 4000\r\n" : "";
            client.write(SidecarFixture.post("/u/x", id, "b", headers));
            return requested.poll(TIMEOUT_S, TimeUnit.SECONDS);
        }

        /** Expects that a further request is served, on another connection to the server. */
        void expectServed(PlainConnection client, PlainConnection ended) throws Exception {
            PlainConnection server = send(client, "t-next");
            assertTrue(server != ended);
            server.write(SidecarFixture.ok("t-next", "served", "Sablehinge-Verdict: ran\r\n"));
            assertEquals("served", client.read().body());
        }

        @Override
        public void close() throws IOException {
            mesh.close();
        }
    }

    private static String head(String version, String headers) {
        return version + " 200 OK\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Postmark: 3e1b.t-1\r\n"
                + "Sablehinge-Verdict: ran\r\n" + headers + "\r\n";
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
        try (Stage stage = new Stage(hop)) {
            PlainConnection client = stage.connect();
            PlainConnection server = stage.send(client, "t-1");
            server.write(head(version, headers) + body);
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
                        head("HTTP/1.1", "Content-Length: 10\r\n") + "half",
                        head("HTTP/1.1", "Content-Length: 10\r\nConnection: close\r\n") + "half",
                        head("HTTP/1.1", "Content-Length: 300000\r\n") + longBody,
                        head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "4\r\nhalf\r\n",
                        head("HTTP/1.1", "Transfer-Encoding: chunked\r\nConnection: close\r\n") + "4\r\nhalf\r\n",
                        head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + longChunk,
                        head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + longChunk + "0\r\n")) {
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
        try (Stage stage = new Stage(hop)) {
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
            try (Stage stage = new Stage(hop)) {
                PlainConnection client = stage.connect();
                PlainConnection server = stage.send(client, "t-1");
                server.write(head("HTTP/1.1", codings) + "4\r\nbody\r\n0\r\n\r\n");
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
        try (Stage stage = new Stage(Hop.BOTH)) {
            PlainConnection client = stage.connect();
            client.write(SidecarFixture.post("/u/x", "t-1", "b").replace("HTTP/1.1", "HTTP/1.0"));
            PlainConnection server = stage.requested.poll(TIMEOUT_S, TimeUnit.SECONDS);
            server.write(head("HTTP/1.1", ""));
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
