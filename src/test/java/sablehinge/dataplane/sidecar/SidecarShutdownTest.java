package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A sidecar that is stopped while clients keep connecting. */
@Timeout(60)
class SidecarShutdownTest {

    private static final int CLIENTS = 6;
    private static final long WORK_NANOS = 60_000_000;
    /** The grace period is 6 s; a sidecar whose clients keep connecting must not need all of it. */
    private static final double MAX_MS = 4_500;

    private static final double MIN_READY_MS = 1_000;

    /**
     * Found by the bench (mix of cos-niamey, seed 171970698965): if too few sidecars are up, clients stay with one that
     * reports that it is not ready; a request admitted 5.2 s after SIGTERM was cut off at the end of the process.
     */
    @Test
    void answersAllAdmittedRequestsWhileClientsKeepConnecting() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            mesh.respond(request -> {
                LockSupport.parkNanos(WORK_NANOS);
                return SidecarFixture.ok(request.id(), "x");
            });
            Set<String> answered = ConcurrentHashMap.newKeySet();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> sendRequests(mesh, number, answered));
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
            SidecarFixture.await("clients are served", () -> answered.size() > CLIENTS);
            long from = System.nanoTime();
            mesh.sidecar.drain();
            double took = (System.nanoTime() - from) / 1e6;
            for (Thread client : clients) {
                client.join();
            }
            assertTrue(took < MAX_MS, "the drain took " + took + " ms");
            // Found by the bench (scale-1 of cos-niamey-grown, a rolling restart of sidecars): from SIGTERM on, a
            // healthy upstream was not selected any more.
            double ready = (mesh.core.readyAt() - from) / 1e6;
            assertTrue(ready > MIN_READY_MS, "the upstream could be selected for only " + ready + " ms");
            Set<String> lost = new TreeSet<>();
            mesh.arrived.forEach(request -> lost.add(request.id()));
            lost.removeAll(answered);
            assertEquals(Set.of(), lost);
        }
    }

    /**
     * Sends requests in sequence until connections are refused. Each request uses a new connection, opened before the
     * previous answer arrives, so the sidecar always has a client.
     */
    private static void sendRequests(SidecarFixture mesh, int number, Set<String> answered) {
        try {
            PlainConnection next = PlainConnection.to(mesh.at.outbound());
            for (int i = 0; ; i++) {
                try (PlainConnection wire = next) {
                    String id = "t-" + number + "-" + i;
                    send(wire, id);
                    next = PlainConnection.to(mesh.at.outbound());
                    readAnswer(wire, id, answered);
                }
            }
        } catch (IOException e) {
            // The listener is closed.
        }
    }

    private static void send(PlainConnection wire, String id) {
        try {
            wire.write(SidecarFixture.get("/s/x", id));
        } catch (IOException e) {
            // The connection was closed before the request was read.
        }
    }

    private static void readAnswer(PlainConnection wire, String id, Set<String> answered) {
        try {
            if (wire.read() != null) {
                answered.add(id);
            }
        } catch (IOException e) {
            // The connection was closed before the request was read, or the answer is lost; the upstream's record shows
            // which.
        }
    }
}
