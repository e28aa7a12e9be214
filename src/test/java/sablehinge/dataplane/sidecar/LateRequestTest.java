package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.testing.Listener;

/**
 * Requests on open connections to a sidecar that received SIGTERM (issue 49: a request was admitted 4 s after SIGTERM
 * and aborted 1.4 s later).
 */
@Timeout(60)
class LateRequestTest {

    private static final String SAFE = "/s/x";
    private static final double GRACE_MS = 6_000;
    private static final String UNSAFE = "/u/x";

    @Test
    void rejectsPipelinedRequestAfterAdmissionStopped() throws Exception {
        try (Drain drain = new Drain()) {
            PlainConnection client = drain.mesh.client().write(SidecarFixture.get(SAFE, "first"));
            PlainConnection upstream = drain.nextAttempt("first");
            drain.begin();
            drain.awaitListenerClosed();
            client.write(SidecarFixture.get(SAFE, "late"));
            drain.awaitLoopTurn();
            upstream.write(SidecarFixture.ok("first", "served"));
            assertEquals(200, client.read().status());
            assertIsRefusedAsTheLast("late", client);
            drain.awaitEnd();
            assertEquals(List.of("first"), drain.arrivedIds);
        }
    }

    @Test
    void startsNoPipelinedRequestAfterAbortedOne() throws Exception {
        try (Drain drain = new Drain()) {
            PlainConnection client = drain.mesh
                    .client()
                    .write(SidecarFixture.post(UNSAFE, "first", "x") + SidecarFixture.post(UNSAFE, "behind", "x"));
            drain.nextAttempt("first");
            drain.begin();
            drain.awaitEnd();
            assertEquals(504, client.read().status());
            assertIsRefusedAsTheLast("behind", client);
            assertEquals(List.of("first"), drain.arrivedIds);
        }
    }

    /**
     * A process that was told to end during a slow start accepted clients that it could not answer any more (found by a
     * soak run).
     */
    @Test
    void closesListenersWhenDrainedDuringStart() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture(true, early -> {}, made -> drain(made, GRACE_MS))) {
            // The listeners are closed by the next turn of the event loop, after the start has returned.
            awaitClosed(mesh.at.outbound());
            awaitClosed(mesh.at.inbound());
        }
    }

    private static void awaitClosed(String address) {
        SidecarFixture.await("the listener is closed", () -> {
            try {
                PlainConnection.to(address).close();
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static void drain(Sidecar sidecar, double elapsedMs) {
        try {
            sidecar.drain(elapsedMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The request has not run, its client knows when to retry, and the connection is closed. */
    private static void assertIsRefusedAsTheLast(String id, PlainConnection client) throws IOException {
        PlainConnection.Message answer = client.read();
        assertEquals(503, answer.status());
        assertEquals(id, answer.id());
        assertNotNull(answer.header("Retry-After"));
        assertEquals("close", answer.header("Connection"));
        assertNull(client.read());
    }

    /** A draining sidecar, and a peer with the only upstream, simulated by the test. */
    private static final class Drain implements AutoCloseable {

        final SidecarFixture mesh = new SidecarFixture();
        final List<String> arrivedIds = new CopyOnWriteArrayList<>();
        private final Listener other;
        private final Thread accepts;
        private final BlockingQueue<PlainConnection> attempts = new LinkedBlockingQueue<>();
        private final Thread drains = new Thread(() -> drain(mesh.sidecar, 0), "drain");

        Drain() throws Exception {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            other = mesh.addPeer("i-9");
            SidecarFixture.await("the sidecar is ready", this::isReady);
            accepts = new Thread(this::accept, "accept");
            accepts.setDaemon(true);
            accepts.start();
        }

        private boolean isReady() {
            try {
                return mesh.ready() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        private void accept() {
            try {
                while (true) {
                    PlainConnection attempt = new PlainConnection(other.accept().socket);
                    arrivedIds.add(attempt.read().id());
                    attempts.add(attempt);
                }
            } catch (Exception | AssertionError e) {
                // The test has finished.
            }
        }

        /** The connection of the next attempt. */
        PlainConnection nextAttempt(String id) throws InterruptedException {
            PlainConnection attempt = attempts.take();
            assertEquals(id, arrivedIds.get(arrivedIds.size() - 1));
            return attempt;
        }

        void begin() {
            drains.start();
        }

        void awaitEnd() throws InterruptedException {
            drains.join();
        }

        void awaitListenerClosed() {
            awaitClosed(mesh.at.outbound());
        }

        /** Waits until the event loop has answered on a new connection: it has then read everything written before. */
        void awaitLoopTurn() throws IOException {
            mesh.ready();
        }

        @Override
        public void close() throws IOException {
            mesh.close();
        }
    }
}
