package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the embedding example of the README, and checks that the README contains the same code. */
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
    void exampleSendsItsRequest() {
        BalancerHarness harness = new BalancerHarness(TestSettings.builder().build(), 1);
        host(harness, TestSettings.builder().build(), 100_000);
        assertEquals(7, harness.lastSend().request());
        assertEquals(1, harness.lastSend().upstream());
    }

    @Test
    void readmeContainsExample() throws IOException {
        String source = Files.readString(Path.of("src/test/java/sablehinge/policy/EmbeddingExampleTest.java"));
        String begin = "// example begins\n";
        String code = source.substring(source.indexOf(begin) + begin.length(), source.indexOf("    // example ends"));
        assertTrue(Files.readString(Path.of("README.md")).contains("```java\n" + code.indent(-4) + "```"));
    }
}
