package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.http1.BodyMemory;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.RoutingTable;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * The real front end, proxy, decision module and transport of an outbound sidecar, assembled on a given event loop and
 * clock. Further attempts are always granted, so that all their orders occur.
 */
public final class OutboundParts {

    /** The service whose requests start here. */
    public static final String CALLER = "wuno96b";
    /** The number of upstreams that a request may reach, and the timeout of every route in ms. */
    public static final int ATTEMPTS = 2;

    public static final int TIMEOUT_MS = 1_500;
    private static final String SERVICE = "huvo11a";
    private static final Registry NO_REGISTRY = new Registry() {
        @Override
        public void fetch() {
            // All sidecars are known.
        }

        @Override
        public void watch(boolean on) {
            // All sidecars are known.
        }
    };

    private final Clock clock;
    private final List<InetSocketAddress> balancers;
    private final Quotas quotas;
    private final OutboundFront outboundFront;
    private final RequestProxy proxy;

    private static String route(String name, String kind, String prefix) {
        return """
                {"name":"%s","kind":"%s","targetMs":800,"priority":1,"open":true,
                 "sorting":{"lanePrefix":"%s"},"dispatch":{"depot":"%s","timeoutMs":%d,"attempts":%d}}"""
                .formatted(name, kind, prefix, SERVICE, TIMEOUT_MS, ATTEMPTS);
    }

    private static Configuration configuration() {
        return ConfigurationReader.read(
                """
                {"edition":4,"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerMs":3000,
                 "idleMs":30000},"senders":[],"gates":[{"station":"h","regulations":[%s,%s]}],
                 "fleets":[{"name":"%s","healthPath":"/health","connCap":110}]}"""
                        .formatted(route("r-safe", "safe", "/s/"), route("r-unsafe", "unsafe", "/u/"), SERVICE)
                        .getBytes(StandardCharsets.UTF_8));
    }

    private static LocalSettings settings(InetSocketAddress at) {
        String ip = at.getAddress().getHostAddress();
        return new LocalSettings(
                "s-1",
                LocalSettings.Role.SIDECAR,
                "small",
                List.of("sidecar"),
                ip,
                "monza-a",
                "monza",
                7_100,
                7_110,
                List.of(ip + ":7090"),
                true,
                true,
                null,
                20_000,
                List.of(),
                ip + ":9",
                CALLER,
                Map.of("monza-a", "monza"),
                new LocalSettings.ListenOn(ip + ":7002", ip + ":7001", ip + ":7003", ip + ":7004"),
                new LocalSettings.Limits(1, 1, 256, 1_264, 1_000, 0),
                1,
                new LocalSettings.Bounds(
                        3, 2, 3_000, 5_000, 4, 2_400, 6, 200, 2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0, 0,
                        15));
    }

    /** The incarnation of the upstream of the sidecar with the given number. */
    public static String incarnation(int balancer) {
        return "i-" + balancer;
    }

    /**
     * Assembles the parts without a configuration.
     *
     * @param balancers the addresses of the inbound sidecars
     * @param done receives the reason if the parts can't listen, or null
     */
    public OutboundParts(
            EventLoop loop,
            Clock clock,
            Timers timers,
            Sockets sockets,
            ByteBufAllocator memory,
            List<InetSocketAddress> balancers,
            InetSocketAddress at,
            Consumer<String> done) {
        this.clock = clock;
        this.balancers = balancers;
        LocalSettings settings = settings(at);
        quotas = new Quotas(settings.bounds(), (tenant, count) -> {});
        outboundFront = new OutboundFront(
                CALLER,
                quotas,
                new RetryBudget(clock, settings, claim -> {}),
                new OutboundFront.Confirmation() {
                    @Override
                    public void request() {
                        // The known configuration is always the latest.
                    }

                    @Override
                    public double confirmedAt() {
                        return Double.POSITIVE_INFINITY;
                    }
                },
                1);
        proxy = new RequestProxy(
                clock, timers, actions -> new LatencyWeightedBalancer(actions, BalancerSettings.EXTRAS));
        Frontend front = new Frontend(loop, sockets, memory, BodyMemory.ofProcess(), proxy, outboundFront);
        UpstreamClient transport = new UpstreamClient(loop, clock, sockets, memory, new MeshUpstream(clock));
        proxy.setRetryLimiter((version, serviceClass, concurrent, callback) -> callback.accept(() -> {}));
        proxy.start(BalancerSettings.inboundVersion(), 1, new Roster(0, true, List.of()), transport, NO_REGISTRY);
        front.open(at, done);
    }

    /** Applies the first configuration and the list of all inbound sidecars. */
    public void configure() {
        Configuration configuration = configuration();
        Map<String, Integer> classIndexes = new HashMap<>();
        Version version = BalancerSettings.version(
                proxy.version().number() + 1,
                configuration,
                BalancerSettings.kinds(),
                classIndexes,
                BalancerSettings.Placement.of("s-1", 0, 1));
        outboundFront.adopt(new RoutingTable(configuration), version, classIndexes);
        quotas.adopt(clock.now(), configuration.tenants());
        List<Roster.Member> members = new ArrayList<>();
        for (int i = 0; i < balancers.size(); i++) {
            members.add(new Roster.Member(
                    new Upstream(MeshHeaders.incarnation(incarnation(i)), 0, 0, 0, State.READY, 1, 0),
                    balancers.get(i),
                    incarnation(i)));
        }
        proxy.adopt(version, new Roster(1, true, members));
    }
}
