package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.testing.Listener;

/** LOST: a long response to a pipelined request, received before its turn, is held back and not thrown away. */
@Timeout(60)
class EarlyResponseTest {

    private static final int LONG_BYTES = 3_000_000;
    private static final int REQUESTS_AHEAD = 4;
    private static final long TIMEOUT_S = 20;

    /** How the end of the long response is known. */
    private enum Framing {
        LENGTH("Content-Length: " + LONG_BYTES + "\r\n"),
        CHUNKED("Transfer-Encoding: chunked\r\n"),
        CONNECTION("");

        private final String headers;

        Framing(String headers) {
            this.headers = headers;
        }

        /** Writes the long response, or a part of it and a reset; returns whether the connection stays open. */
        boolean write(PlainConnection server, String id, boolean breaksOff) {
            String body = "x".repeat(LONG_BYTES);
            try {
                server.write("HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + id + "\r\nSablehinge-Postmark: 3e1b." + id
                        + "\r\n" + headers + "\r\n");
                String framed =
                        this == CHUNKED ? Integer.toHexString(LONG_BYTES) + "\r\n" + body + "\r\n0\r\n\r\n" : body;
                server.write(framed.substring(0, breaksOff ? LONG_BYTES / 2 : framed.length()));
                if (breaksOff) {
                    server.socket.setSoLinger(true, 0);
                    server.close();
                } else if (this == CONNECTION) {
                    server.socket.shutdownOutput();
                }
                return this != CONNECTION && !breaksOff;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** A sidecar whose upstream answers a request {@code first} when it is told to, and all others at once and long. */
    private static final class Stage implements AutoCloseable {
        private final SidecarFixture mesh = new SidecarFixture();
        private final CountDownLatch firstMayEnd = new CountDownLatch(1);
        private final Map<String, PlainConnection> running = new ConcurrentHashMap<>();
        private final Framing framing;
        private final boolean breaksOff;

        Stage(Framing framing) throws Exception {
            this(framing, false);
        }

        Stage(Framing framing, boolean breaksOff) throws Exception {
            this.framing = framing;
            this.breaksOff = breaksOff;
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            mesh.heartbeat("i-1", "ready");
            mesh.core.awaitKnown("i-1");
            serve(mesh.app);
        }

        private void serve(Listener listener) {
            SidecarFixture.daemon(() -> {
                while (true) {
                    PlainConnection connection = new PlainConnection(listener.accept().socket);
                    SidecarFixture.daemon(() -> serve(connection));
                }
            });
        }

        private void serve(PlainConnection connection) throws Exception {
            for (PlainConnection.Message request = connection.read(); request != null; request = connection.read()) {
                running.put(request.id(), connection);
                if (request.id().equals("first")) {
                    firstMayEnd.await();
                    connection.write(SidecarFixture.ok("first", "short"));
                } else if (!framing.write(connection, request.id(), breaksOff)) {
                    return;
                }
            }
        }

        /** Sends a request and others behind it, and waits until the upstream answers them all. */
        PlainConnection pipeline(int behind) throws Exception {
            PlainConnection client = mesh.client();
            StringBuilder requests = new StringBuilder(SidecarFixture.get("/s/first", "first"));
            for (int i = 0; i < behind; i++) {
                requests.append(SidecarFixture.get("/s/long", "long-" + i));
            }
            client.write(requests.toString());
            SidecarFixture.await("the upstream runs all requests", () -> running.size() == behind + 1);
            // The responses are on their way; more of them than the sidecar buffers can't arrive.
            TimeUnit.MILLISECONDS.sleep(300);
            return client;
        }

        @Override
        public void close() throws IOException {
            mesh.close();
        }
    }

    private static void expectAll(PlainConnection client, int behind) throws IOException {
        assertEquals("short", client.read().body());
        for (int i = 0; i < behind; i++) {
            PlainConnection.Message answer = client.read();
            assertEquals(200, answer.status(), answer.startLine());
            assertEquals("long-" + i, answer.id());
            assertEquals("3e1b.long-" + i, answer.header("Sablehinge-Postmark"));
            assertEquals(LONG_BYTES, answer.body().length());
        }
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void longResponsesBeforeTheirTurnReachClient(Framing framing) throws Exception {
        try (Stage stage = new Stage(framing)) {
            PlainConnection client = stage.pipeline(REQUESTS_AHEAD);
            stage.firstMayEnd.countDown();
            expectAll(client, REQUESTS_AHEAD);
        }
    }

    /** The sidecar is told to end while the responses wait. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void longResponsesBeforeTheirTurnReachClientDuringShutdown(Framing framing) throws Exception {
        try (Stage stage = new Stage(framing)) {
            PlainConnection client = stage.pipeline(REQUESTS_AHEAD);
            SidecarFixture.daemon(() -> stage.mesh.sidecar.drain());
            TimeUnit.MILLISECONDS.sleep(500);
            stage.firstMayEnd.countDown();
            expectAll(client, REQUESTS_AHEAD);
        }
    }

    /** A client that leaves before its turn frees the upstream, which sees the end of its connection. */
    @Test
    void clientThatLeavesEndsHeldResponse() throws Exception {
        try (Stage stage = new Stage(Framing.LENGTH)) {
            PlainConnection client = stage.pipeline(1);
            client.close();
            PlainConnection server = stage.running.get("long-0");
            assertTrue(awaitEnd(server), "the upstream still holds the connection");
        }
    }

    private static boolean awaitEnd(PlainConnection connection) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        try {
            while (System.nanoTime() < end) {
                // Its writer waits for the reader of the response; this fails once the connection is gone.
                connection.socket.sendUrgentData(0);
                TimeUnit.MILLISECONDS.sleep(20);
            }
            return false;
        } catch (IOException | InterruptedException e) {
            return true;
        }
    }

    /** A response that breaks off before its turn never appears complete, whether its head was sent or not. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void responseThatBreaksOffBeforeItsTurnIsNotComplete(Framing framing) throws Exception {
        try (Stage stage = new Stage(framing, true)) {
            PlainConnection client = stage.pipeline(1);
            stage.firstMayEnd.countDown();
            assertEquals("short", client.read().body());
            String end = end(client);
            assertTrue(end.matches("502|cut"), end);
        }
    }

    /** Reads to the end of the response; its status, or how it was cut. */
    private static String end(PlainConnection client) throws IOException {
        try {
            PlainConnection.Message answer = client.read();
            return answer == null ? "closed" : String.valueOf(answer.status());
        } catch (EOFException | SocketException e) {
            return "cut";
        }
    }
}
