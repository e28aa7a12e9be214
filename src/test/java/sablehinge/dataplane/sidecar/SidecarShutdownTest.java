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

/** A balancer that is stopped while its clients go on coming. */
@Timeout(60)
class SidecarShutdownTest {

    private static final int CLIENTS = 6;
    private static final long WORK_NANOS = 60_000_000;
    /** The grace is 6 s; a balancer whose clients never stop must not need all of it. */
    private static final double MAX_MS = 4_500;

    private static final double MIN_READY_MS = 1_000;

    /**
     * The bench found it (mix of cos-niamey, seed 171970698965): where too few balancers are in, clients stay with one
     * that says it is not ready, and one that was taken 5.2 s after SIGTERM was cut off at its end.
     */
    @Test
    void whatIsTakenIsAnsweredThoughClientsNeverStopToCome() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served()) {
            mesh.answers(request -> {
                LockSupport.parkNanos(WORK_NANOS);
                return SidecarFixture.ok(request.id(), "x");
            });
            Set<String> answered = ConcurrentHashMap.newKeySet();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> come(mesh, number, answered));
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
            assertTrue(took < MAX_MS, "it took " + took + " ms");
            // The bench found it (scale-1 of cos-niamey-grown, where balancers are stopped in turn): an
            // upstream that is well was drawn no more from SIGTERM on.
            double ready = (mesh.core.readyAt() - from) / 1e6;
            assertTrue(ready > MIN_READY_MS, "its upstream was to be drawn for " + ready + " ms");
            Set<String> lost = new TreeSet<>();
            mesh.arrived.forEach(request -> lost.add(request.id()));
            lost.removeAll(answered);
            assertEquals(Set.of(), lost);
        }
    }

    /**
     * Sends one request after the other, each on a connection of its own that is made before the answer to the one
     * before has come, until nobody takes one: so the balancer is never without a client.
     */
    private static void come(SidecarFixture mesh, int number, Set<String> answered) {
        try {
            PlainConnection next = PlainConnection.to(mesh.at.outbound());
            for (int i = 0; ; i++) {
                try (PlainConnection wire = next) {
                    String id = "t-" + number + "-" + i;
                    send(wire, id);
                    next = PlainConnection.to(mesh.at.outbound());
                    take(wire, id, answered);
                }
            }
        } catch (IOException e) {
            // Nobody listens any more.
        }
    }

    private static void send(PlainConnection wire, String id) {
        try {
            wire.write(SidecarFixture.get("/s/x", id));
        } catch (IOException e) {
            // Closed before it was read.
        }
    }

    private static void take(PlainConnection wire, String id, Set<String> answered) {
        try {
            if (wire.read() != null) {
                answered.add(id);
            }
        } catch (IOException e) {
            // Closed before it was read, or lost: the upstream knows which.
        }
    }
}
