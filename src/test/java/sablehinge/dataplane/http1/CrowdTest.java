package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.Script;
import sablehinge.testing.Stage;

/** The load balancer's weights over sockets: where calls are sent while a server accumulates unanswered ones. */
@Timeout(120)
class CrowdTest {

    private static final int CALLS = 100;
    /** A latency target so long that nothing is late or overdue while a test runs, on however slow a machine. */
    private static final String LONG_AIM = "\"aim\":60000.0";

    /** Reads all requests to an upstream, reports each of them, and never answers. */
    private static void hold(Listener upstream, int number, LinkedBlockingQueue<Integer> taken) {
        daemon(() -> {
            while (true) {
                Peer peer = upstream.await();
                daemon(() -> {
                    while (peer.read() != null) {
                        taken.add(number);
                    }
                });
            }
        });
    }

    private interface Job {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Job job) {
        Thread thread = new Thread(() -> {
            try {
                job.run();
            } catch (IOException | InterruptedException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void sendsCallsToOtherZoneBeforeLocalServerIsOverloaded() throws Exception {
        LinkedBlockingQueue<Integer> taken = new LinkedBlockingQueue<>();
        try (Stage stage = new Stage(4)) {
            stage.atHome = 1;
            stage.aim = LONG_AIM;
            stage.start(LatencyWeightedBalancer::new);
            for (int i = 0; i < stage.upstreams.size(); i++) {
                hold(stage.upstreams.get(i), i, taken);
            }
            int[] held = new int[stage.upstreams.size()];
            for (int i = 0; i < CALLS; i++) {
                stage.caller().write(Stage.spend("c" + i, "x"));
                held[Script.next(taken)]++;
            }
            // A fifth of the target latency is expected at first, and five calls are no overload; 25 would use up the
            // target.
            assertTrue(held[0] <= 55, held[0] + " calls were sent to the local zone");
            assertTrue(
                    held[0] >= CALLS / 4, held[0] + " calls stayed in the local zone, although crossing zones costs");
        }
    }

    @Test
    void doesNotPreferLocalServerThatFailsImmediately() throws Exception {
        LinkedBlockingQueue<Integer> taken = new LinkedBlockingQueue<>();
        try (Stage stage = new Stage(6)) {
            stage.atHome = 1;
            stage.aim = LONG_AIM;
            stage.start(LatencyWeightedBalancer::new);
            for (int i = 1; i < stage.upstreams.size(); i++) {
                hold(stage.upstreams.get(i), i, taken);
            }
            daemon(() -> {
                while (true) {
                    Peer peer = stage.upstreams.get(0).await();
                    daemon(() -> {
                        while (peer.read() != null) {
                            peer.write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
                            taken.add(0);
                        }
                    });
                }
            });
            int lost = 0;
            for (int i = 0; i < CALLS; i++) {
                Peer caller = stage.caller();
                caller.write(Stage.spend("f" + i, "x"));
                if (Script.next(taken) == 0) {
                    lost++;
                    // The load balancer was notified of the failure before the client got its response.
                    caller.read();
                }
            }
            assertTrue(lost <= CALLS / 10, lost + " calls were lost at the failing server");
        }
    }
}
