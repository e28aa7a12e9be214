package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.AttemptResult;
import sablehinge.dataplane.proxy.Payload;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Transport;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.retrybudget.RetryBudgetAllocator;
import sablehinge.mesh.retrybudget.RetryBudgetRule;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.RetryBudgetCodec;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * The decision module and the proxy with the settings of the mesh, and shares granted by a leader simulated by the
 * test.
 */
class RetryBudgetTest {

    private static final double RATIO = 0.2;
    private static final int SLACK = 62;
    private static final int BALANCERS = 11;

    /** Ends each attempt immediately with the configured result. */
    private static final class World implements Transport, Registry {
        private double now = 1;
        private final RetryBudgetAllocator allocator =
                new RetryBudgetAllocator(new RetryBudgetRule(RATIO, 10_000, SLACK));
        private boolean reachable = true;
        private final RetryBudget retryBudget = new RetryBudget(() -> now, settings(), this::onClaim);
        private final RequestProxy proxy = new RequestProxy(
                () -> now,
                (at, call) -> () -> {},
                actions -> new LatencyWeightedBalancer(actions, BalancerSettings.EXTRAS));
        private final Map<String, Integer> classIndexes = new HashMap<>();
        private final Version version;
        private final List<Configuration.Route> routes;
        private Result attemptResult = Result.OK;
        private int attempts;
        private Answer.Kind lastAnswer;

        World(int maxAttempts) {
            Configuration configuration = ConfigurationReader.read(SidecarFixture.configuration(4, "", "")
                    .replaceAll("\"attempts\":[0-9]+", "\"attempts\":" + maxAttempts)
                    .getBytes(StandardCharsets.UTF_8));
            routes = configuration.routes();
            version = BalancerSettings.version(
                    1, configuration, BalancerSettings.kinds(), classIndexes, new BalancerSettings.Placement(0, 0, 1));
            allocator.begin(1);
            allocator.adopt(now, List.of(SidecarFixture.SERVICE));
            retryBudget.adopt(configuration);
            List<Registration> registry = new ArrayList<>();
            for (int i = 0; i < BALANCERS; i++) {
                registry.add(new Registration(
                        "s-" + i, "monza-a", "127.0.0.1:1", SidecarFixture.SERVICE, "i-" + i, true, 4, 0));
            }
            retryBudget.divide(registry, 1);
            proxy.setRetryLimiter(retryBudget);
            List<Roster.Member> members = new ArrayList<>();
            for (long id = 1; id <= 5; id++) {
                members.add(new Roster.Member(
                        new Upstream(
                                id,
                                0,
                                version.settings().classes().get(0).kinds().get(0),
                                0,
                                State.READY,
                                1,
                                0),
                        new java.net.InetSocketAddress(1)));
            }
            proxy.start(version, 3, new Roster(1, true, members), this, this);
        }

        private void onClaim(Frame frame) {
            try {
                if (reachable) {
                    retryBudget.onGrant(RetryBudgetCodec.decodeGrant(
                            RetryBudgetCodec.encode(allocator.grant(now, RetryBudgetCodec.decodeClaim(frame.body())))));
                }
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        /** Sends a request of the first route, which is safe. */
        void request() {
            retryBudget.onRequest(SidecarFixture.SERVICE, false);
            Consumer<Answer> caller = answer -> lastAnswer = answer.kind();
            proxy.request(
                    version,
                    new Arrival(
                                    classIndexes.get(BalancerSettings.name(routes.get(0), SidecarFixture.SERVICE)),
                                    0,
                                    0,
                                    now + 2_000,
                                    0,
                                    false,
                                    false)
                            .withMaxAttempts(routes.get(0).attempts()),
                    Payload.NONE,
                    caller::accept);
        }

        @Override
        public Attempt send(
                Version by,
                long upstream,
                Payload request,
                double until,
                AttemptBudgets.Grant grant,
                Progress progress) {
            attempts++;
            progress.finished(AttemptResult.without(attemptResult));
            return () -> {};
        }

        @Override
        public void healthCheck(Version by, long upstream, double until, Consumer<AttemptResult> end) {}

        @Override
        public void closeIdle(long upstream) {}

        @Override
        public void update(Roster roster) {}

        @Override
        public void adopt(Version next) {}

        @Override
        public void fetch() {}

        @Override
        public void watch(boolean on) {}
    }

    private static LocalSettings settings() {
        return new LocalSettings(
                "s-5",
                LocalSettings.Role.SIDECAR,
                "small",
                List.of("sidecar"),
                "127.0.0.1",
                "monza-a",
                "monza",
                1,
                2,
                List.of(),
                true,
                true,
                null,
                20_000,
                List.of(),
                null,
                SidecarFixture.CALLER,
                Map.of("monza-a", "monza"),
                null,
                null,
                1,
                new LocalSettings.Bounds(
                        3, 2, 3_000, 5_000, 4, 2_500, 6, 200, 2_500, 250, 8_000, false, 5_000, RATIO, 10, SLACK, 5, 0,
                        0, 15));
    }

    /**
     * Found by the bench (hunt-ca01-19 of cos-niamey): each successful retry granted one more, so there was no limit
     * while upstreams failed four of ten calls.
     */
    @Test
    void limitsRetriesToBudgetEvenIfRetriesSucceed() {
        for (double failing : new double[] {0.1, 0.4, 0.9}) {
            SplittableRandom random = new SplittableRandom(7);
            World world = new World(4);
            int requests = 300;
            for (int i = 1; i <= requests; i++) {
                world.now = i * 30;
                world.attemptResult = random.nextDouble() < failing ? Result.ERROR : Result.OK;
                world.retryBudget.tick();
                world.request();
            }
            int retries = world.attempts - requests;
            double granted = RATIO * requests + SLACK;
            assertTrue(
                    retries <= granted, retries + " retries of " + requests + " requests, " + granted + " are granted");
            assertTrue(retries > 20, "failed attempts are retried");
        }
    }

    @Test
    void chargesOnlyAttemptsThatReachedServerAndLimitsThemByRoute() {
        World world = new World(2);
        world.reachable = false;
        world.attemptResult = Result.FULL;
        for (int i = 0; i < 50; i++) {
            world.request();
        }
        assertEquals(200, world.attempts, "attempts rejected by admission are limited only by the module");
        world.attemptResult = Result.ERROR;
        world.request();
        assertEquals(202, world.attempts, "a request reaches two upstreams at most, though the module would continue");
        world.request();
        assertEquals(203, world.attempts, "the token reserved for this sidecar is used");
        assertEquals(Answer.Kind.REFUSED, world.lastAnswer);
        world.now += 12_501;
        world.request();
        assertEquals(205, world.attempts, "the token is available again after its window");
    }
}
