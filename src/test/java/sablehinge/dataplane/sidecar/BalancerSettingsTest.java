package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** The decision module with the settings of the mesh. */
class BalancerSettingsTest {

    private record Sent(long request, int number, long upstream) {}

    /** Records the attempts that the module sends and ignores its other actions. */
    private static final class Host implements LoadBalancer.Actions {
        private final ArrayDeque<Sent> sent = new ArrayDeque<>();
        private final HashMap<Long, Integer> numbers = new HashMap<>();

        @Override
        public void send(long requestId, long upstream, double timeout) {
            sent.add(new Sent(requestId, numbers.merge(requestId, 1, Integer::sum) - 1, upstream));
        }

        @Override
        public void refuse(long requestId, double retryAfter) {}

        @Override
        public void fail(long requestId) {}

        @Override
        public void cancel(long requestId, int attempt) {}

        @Override
        public void healthCheck(long upstream) {}

        @Override
        public void closeIdle(long upstream) {}

        @Override
        public void fetch() {}

        @Override
        public void watch(boolean on) {}

        @Override
        public void setTimer(long token, double at) {}

        @Override
        public void tell(int peer, byte[] payload) {}

        @Override
        public void log(String text) {}
    }

    private static Version version(BalancerSettings.Placement place) {
        return BalancerSettings.version(
                1,
                ConfigurationReader.read(SidecarFixture.configuration(4, "", "").getBytes(StandardCharsets.UTF_8)),
                BalancerSettings.kinds(),
                new HashMap<>(),
                place);
    }

    /**
     * Sidecars without measurements prefer a few of many upstreams. All preferred the same few, which got three times
     * their share (found by the bench, quiet-1 of cos-niamey-grown).
     */
    @Test
    void balancesLoadOverUpstreamsWithoutMeasurements() {
        int upstreams = 40;
        int sidecars = 60;
        int requestsPerSidecar = 10;
        int zones = 5;
        int[] loads = new int[upstreams + 1];
        for (int i = 0; i < sidecars; i++) {
            Version version = version(BalancerSettings.Placement.of("sidecar-" + i, i % zones, zones));
            int kind = version.settings().classes().get(0).kinds().get(0);
            Host host = new Host();
            LatencyWeightedBalancer module = new LatencyWeightedBalancer(host, BalancerSettings.EXTRAS);
            module.start(0, version.settings(), i);
            List<Upstream> list = new ArrayList<>();
            for (int j = 1; j <= upstreams; j++) {
                list.add(new Upstream(j, j % zones, kind, 0, State.READY, 1, 0));
            }
            module.upstreamsChanged(0, Change.CACHED, list);
            for (int j = 1; j <= requestsPerSidecar; j++) {
                module.request(j, new LoadBalancer.Request(j, 0, 0, 0, 2_000, 0, false, false, 0));
            }
            host.sent.forEach(sent -> loads[(int) sent.upstream()]++);
        }
        int busiest = Arrays.stream(loads).max().orElseThrow();
        double mean = (double) sidecars * requestsPerSidecar / upstreams;
        assertTrue(busiest < 2 * mean, "the busiest of " + upstreams + " has " + busiest + ", the mean is " + mean);
    }
}
