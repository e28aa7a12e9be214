package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README, compiled and run; the page's text must be this file's. */
class EmbeddingExampleTest {

    // example begins
    static LoadBalancer host(LoadBalancer.Actions actions, LoadBalancer.Settings settings, double now) {
        LoadBalancer balancer = new LatencyWeightedBalancer(actions);
        balancer.start(now, settings, 42);
        balancer.upstreamsChanged(
                now,
                LoadBalancer.Change.CACHED,
                List.of(new LoadBalancer.Upstream(1, 0, 0, 0, LoadBalancer.State.READY, 1, 0)));
        // A client's request: the balancer answers with actions.send(7, 1, time-out) during this call.
        balancer.request(now, new LoadBalancer.Request(7, 0, 0, 0, now + 2_000, 0, false, false, 0));
        // The attempt was served after 12 ms; 'true' says that the client has its answer.
        balancer.attemptFinished(now + 12, new LoadBalancer.Outcome(7, 0, 1, LoadBalancer.Result.OK, true, 12, null));
        return balancer;
    }
    // example ends

    @Test
    void theExampleSendsItsRequest() {
        BalancerHarness bench = new BalancerHarness(TestSettings.plain().build(), 1);
        host(bench, TestSettings.plain().build(), 100_000);
        assertEquals(7, bench.lastSend().request());
        assertEquals(1, bench.lastSend().upstream());
    }

    @Test
    void theReadmeShowsThisExample() throws IOException {
        String own = Files.readString(Path.of("src/test/java/sablehinge/policy/EmbeddingExampleTest.java"));
        String begin = "// example begins\n";
        String code = own.substring(own.indexOf(begin) + begin.length(), own.indexOf("    // example ends"));
        assertTrue(Files.readString(Path.of("README.md")).contains("```java\n" + code.indent(-4) + "```"));
    }
}
