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

/** The module's weights over sockets: where calls go while a server lets them gather. */
@Timeout(120)
class CrowdTest {

    private static final int CALLS = 100;
    /** An aim so long that nothing is late or overdue while a test runs, on however slow a machine. */
    private static final String LONG_AIM = "\"aim\":60000.0";

    /** Takes whatever comes to an upstream, says so and keeps it. */
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
    void aCrowdAtHomeSendsCallsToAnotherZoneBeforeTheyAreLate() throws Exception {
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
            // A fifth of the aim is expected at first, and five calls are no crowd: 25 would fill the aim.
            assertTrue(held[0] <= 55, held[0] + " calls gather at home");
            assertTrue(held[0] >= CALLS / 4, held[0] + " calls stay at home, where crossing costs");
        }
    }

    @Test
    void aServerAtHomeThatFailsAtOnceIsNotTakenForAFreeOne() throws Exception {
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
                    // Reported to the module by now, as the caller has its answer.
                    caller.read();
                }
            }
            assertTrue(lost <= CALLS / 10, lost + " calls were lost at the sick server");
        }
    }
}
