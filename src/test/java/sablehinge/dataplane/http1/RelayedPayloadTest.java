package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.testing.Peer;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** Request and response bodies that are too long to be buffered: they are relayed once, while they are received. */
@Timeout(60)
class RelayedPayloadTest {

    private static final int LONG = 1_000_000;

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new AssertionError("it ended after " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static byte[] chunked(InputStream in) throws IOException {
        java.io.ByteArrayOutputStream complete = new java.io.ByteArrayOutputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    throw new IOException("it ended");
                }
                size.append((char) c);
            }
            int length = Integer.parseInt(size.toString().strip(), 16);
            complete.write(in.readNBytes(length));
            in.readNBytes(2);
            if (length == 0) {
                return complete.toByteArray();
            }
        }
    }

    private static String post(String id, int length) {
        return "POST /tile-order/7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: tile-order\r\nX-Remaining: 2\r\nIdempotency-Key: k" + id
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void relaysLongResponseWhileItIsReceived(boolean inChunks) throws Exception {
        byte[] body = bytes(LONG);
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            int first = UpstreamClient.MAX_BUFFERED_BODY_BYTES + 1;
            upstream.write("HTTP/1.1 200 OK\r\n"
                    + (inChunks
                            ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(first) + "\r\n"
                            : "Content-Length: " + LONG + "\r\n\r\n"));
            upstream.socket.getOutputStream().write(body, 0, first);
            // The outcome and its latency are reported before the rest is received.
            InputStream in = caller.socket.getInputStream();
            assertTrue(head(in).startsWith("HTTP/1.1 200 OK"));
            assertEquals(Result.OK, stage.script.result());
            if (inChunks) {
                upstream.write("\r\n" + Integer.toHexString(LONG - first) + "\r\n");
            }
            upstream.socket.getOutputStream().write(body, first, LONG - first);
            if (inChunks) {
                upstream.write("\r\n0\r\n\r\n");
            }
            assertArrayEquals(body, inChunks ? chunked(in) : in.readNBytes(LONG));
            // Both connections can be used again.
            caller.write(Stage.get("2", "10"));
            assertEquals("2", upstream.read().header("X-Txn"));
            upstream.write(Stage.ok("next"));
            assertEquals("next", caller.read().body());
        }
    }

    /**
     * The time for the body is not latency, so the load balancer is notified when a response begins, but not of one
     * that is received completely at once.
     */
    @Test
    void reportsStartOfSlowResponseButNotOfCompleteOne() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("whole"));
            assertEquals("whole", caller.read().body());
            assertTrue(stage.script.begun.isEmpty());
            caller.write(Stage.get("2", "10"));
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ntri");
            while (stage.script.begun.isEmpty()) {
                Thread.onSpinWait();
            }
            upstream.write("ckles");
            assertEquals("trickles", caller.read().body());
            assertEquals(1, stage.script.begun.size());
        }
    }

    /** A response that has begun may take longer than its attempt's timeout: aborting it early can't make it faster. */
    @Test
    void responseThatHasBegunOutlastsAttemptTimeout() throws Exception {
        try (Stage stage = new Stage().start()) {
            stage.script.onRequest = request -> stage.script.sendTo(0, request, 150);
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ntri");
            while (stage.script.begun.isEmpty()) {
                Thread.onSpinWait();
            }
            // This attempt is sent later with the same timeout and never answered; it ends after the first one would
            // time out.
            Peer other = stage.caller();
            other.write(Stage.get("2", "10"));
            assertEquals(Result.TIMEOUT, stage.script.result());
            upstream.write("ckles");
            assertEquals("trickles", caller.read().body());
        }
    }

    /** A truncated response must not appear complete. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n"})
    void closesClientConnectionWhenRelayedResponseIsTruncated(String framing) throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write("HTTP/1.1 200 OK\r\n" + framing);
            upstream.socket.getOutputStream().write(bytes(200_000));
            InputStream in = caller.socket.getInputStream();
            head(in);
            upstream.close();
            byte[] got;
            try {
                got = in.readAllBytes();
            } catch (IOException e) {
                got = new byte[0];
            }
            String end = new String(got, StandardCharsets.ISO_8859_1);
            assertTrue(got.length < LONG && !end.endsWith("0\r\n\r\n"), "it looks whole");
            stage.servesStill();
        }
    }

    /** A response of 24 MB to a client that reads nothing at first: only a part of it is buffered. */
    @Test
    void readsNoFasterThanClient() throws Exception {
        byte[] body = bytes(24_000_000);
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.get("1", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            Thread writer = new Thread(() -> {
                try {
                    upstream.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                    upstream.socket.getOutputStream().write(body);
                } catch (IOException e) {
                    // The client notices that the rest is missing.
                }
            });
            writer.start();
            InputStream in = caller.socket.getInputStream();
            head(in);
            long most = 0;
            byte[] got = new byte[body.length];
            for (int at = 0; at < got.length; at += 1_000_000) {
                most = Math.max(most, stage.node.directMemory());
                assertEquals(1_000_000, in.readNBytes(got, at, 1_000_000));
            }
            assertArrayEquals(body, got);
            assertTrue(most <= 6_000_000, most + " bytes were held");
            writer.join();
        }
    }

    /** LOST: without {@code Connection: close} it was taken for a truncated response. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void relaysResponseDelimitedByConnectionEnd(String headers) throws Exception {
        for (int length : new int[] {10, 200_000}) {
            for (boolean abruptly : new boolean[] {false, true}) {
                try (Stage stage = new Stage().start()) {
                    Peer caller = stage.caller();
                    caller.write(Stage.get("1", "10"));
                    Peer upstream = stage.upstreams.get(0).accept();
                    upstream.read();
                    upstream.write("HTTP/1.1 200 OK\r\n" + headers + "\r\n");
                    upstream.socket.getOutputStream().write(bytes(length));
                    InputStream in = caller.socket.getInputStream();
                    if (length > 10) {
                        // The body is relayed, so that only its end shows whether it is complete.
                        head(in);
                    }
                    if (abruptly) {
                        upstream.reset();
                    } else {
                        upstream.close();
                    }
                    if (length > 10) {
                        byte[] got = null;
                        try {
                            got = chunked(in);
                        } catch (IOException | NumberFormatException e) {
                            assertTrue(abruptly, e::toString);
                        }
                        assertArrayEquals(abruptly ? null : bytes(length), got);
                    } else {
                        assertEquals(abruptly ? Result.RESET : Result.OK, stage.script.result());
                        Peer.Message answer = caller.read();
                        assertEquals(abruptly ? 502 : 200, answer.status());
                        assertEquals(
                                abruptly ? "" : new String(bytes(length), StandardCharsets.ISO_8859_1), answer.body());
                    }
                }
            }
        }
    }

    @Test
    void relaysLongRequestBodyWhileItIsReceived() throws Exception {
        byte[] body = bytes(LONG);
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", LONG));
            caller.socket.getOutputStream().write(body, 0, 400_000);
            Peer upstream = stage.upstreams.get(0).accept();
            InputStream in = upstream.socket.getInputStream();
            String head = head(in);
            assertTrue(head.contains("Content-Length: " + LONG), head);
            assertTrue(head.contains("Idempotency-Key: k1"), head);
            byte[] got = new byte[LONG];
            in.readNBytes(got, 0, 300_000);
            caller.socket.getOutputStream().write(body, 400_000, LONG - 400_000);
            in.readNBytes(got, 300_000, LONG - 300_000);
            assertArrayEquals(body, got);
            upstream.write(Stage.ok("taken"));
            assertEquals("taken", caller.read().body());
            caller.write(Stage.get("2", "10"));
            assertEquals("2", upstream.read().header("X-Txn"));
        }
    }

    @Test
    void abortsUpstreamRequestWhenClientLeavesDuringBody() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", LONG));
            caller.socket.getOutputStream().write(bytes(400_000));
            Peer upstream = stage.upstreams.get(0).accept();
            head(upstream.socket.getInputStream());
            caller.reset();
            assertNotNull(Script.next(stage.script.gone));
            assertEquals(Result.CANCELLED, stage.script.result());
            int got = 0;
            try {
                got = upstream.socket.getInputStream().readAllBytes().length;
            } catch (IOException e) {
                // A reset shows the same.
            }
            assertTrue(got < LONG);
            stage.servesStill();
        }
    }

    /**
     * A request is answered while its body is still being received; the rest of the body is dropped, and both
     * connections can be used again.
     */
    @Test
    void forwardsResponseReceivedDuringBody() throws Exception {
        byte[] body = bytes(LONG);
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", LONG));
            caller.socket.getOutputStream().write(body, 0, 400_000);
            Peer upstream = stage.upstreams.get(0).accept();
            InputStream in = upstream.socket.getInputStream();
            head(in);
            in.readNBytes(300_000);
            upstream.write("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Result.FULL, stage.script.result());
            assertEquals(502, caller.read().status());
            caller.socket.getOutputStream().write(body, 400_000, LONG - 400_000);
            caller.write(Stage.get("2", "10"));
            Peer second = stage.upstreams.get(0).accept();
            assertEquals("2", second.read().header("X-Txn"));
            second.write(Stage.ok("next"));
            assertEquals("next", caller.read().body());
            assertNull(stage.script.gone.poll());
        }
    }

    /** A body of up to 256 KiB is buffered, one of a byte more is not. */
    @Test
    void retriesBufferedBodyButNotRelayedOne() throws Exception {
        int kept = 256 * 1024;
        for (int extra = 0; extra < 2; extra++) {
            byte[] body = bytes(kept + extra);
            try (Stage stage = new Stage(2).start()) {
                stage.script.onOpen = (actions, outcome) -> {
                    if (outcome.attempt() == 0) {
                        actions.send(
                                outcome.requestId(),
                                stage.script.upstreams.get(1).id(),
                                0);
                    } else {
                        actions.fail(outcome.requestId());
                    }
                };
                Peer caller = stage.caller();
                caller.write(post("1", body.length));
                caller.socket.getOutputStream().write(body);
                Peer first = stage.upstreams.get(0).accept();
                head(first.socket.getInputStream());
                first.socket.getInputStream().readNBytes(body.length);
                first.reset();
                assertEquals(Result.RESET, stage.script.result());
                if (extra == 0) {
                    Peer second = stage.upstreams.get(1).accept();
                    head(second.socket.getInputStream());
                    assertArrayEquals(body, second.socket.getInputStream().readNBytes(body.length));
                    second.write(Stage.ok("again"));
                    assertEquals("again", caller.read().body());
                } else {
                    assertEquals(Result.NOT_SENT, stage.script.result());
                    assertEquals(502, caller.read().status());
                    assertEquals(0, stage.upstreams.get(1).waiting());
                }
            }
        }
    }

    /** A body that stalls, with simulated time: the client gets an error, and the upstream no complete request. */
    @Test
    void answersStalledBodyWithTimeout() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", LONG));
            caller.socket.getOutputStream().write(bytes(400_000));
            Peer upstream = stage.upstreams.get(0).accept();
            InputStream in = upstream.socket.getInputStream();
            head(in);
            in.readNBytes(400_000);
            stage.node.onLoop((frontend, upstreams) -> {
                // 400 kB extend the timeout by ten seconds.
                frontend.sweep(stage.node.now() + 9_000);
                return null;
            });
            assertNull(stage.script.gone.poll());
            stage.node.onLoop((frontend, upstreams) -> {
                frontend.sweep(stage.node.now() + 14_000);
                return null;
            });
            assertEquals(408, caller.read().status());
            assertNotNull(Script.next(stage.script.gone));
            assertEquals(-1, in.read());
        }
    }

    /**
     * The same after a response has begun: status 408 would promise that the request did not run, which is not known
     * then.
     */
    @Test
    void stalledBodyWithBegunResponseIsNotReportedAsNotRun() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", LONG));
            caller.socket.getOutputStream().write(bytes(400_000));
            Peer upstream = stage.upstreams.get(0).accept();
            InputStream in = upstream.socket.getInputStream();
            head(in);
            in.readNBytes(400_000);
            upstream.write("HTTP/1.1 200 OK\r\n");
            // Earlier input is read before this is answered.
            Peer other = stage.caller();
            other.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            assertEquals(200, other.read().status());
            stage.node.onLoop((frontend, upstreams) -> {
                frontend.sweep(stage.node.now() + 70_000);
                return null;
            });
            assertEquals(502, caller.read().status());
            assertEquals(-1, in.read());
        }
    }

    /** An error in the framing of a body aborts its request, which would otherwise wait for the rest. */
    @Test
    void rejectsMalformedChunkOfRelayedBody() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(post("1", 0).replace("Content-Length: 0", "Transfer-Encoding: chunked"));
            caller.write(Integer.toHexString(400_000) + "\r\n");
            caller.socket.getOutputStream().write(bytes(400_000));
            Peer upstream = stage.upstreams.get(0).accept();
            InputStream in = upstream.socket.getInputStream();
            head(in);
            caller.write("\r\nno length\r\n");
            assertEquals(400, caller.read().status());
            assertNotNull(Script.next(stage.script.gone));
        }
    }
}
