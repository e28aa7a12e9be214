package sablehinge.dataplane.sidecar;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.eventloop.LoopTimers;
import sablehinge.common.logging.Log;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.admission.AdmissionController;
import sablehinge.dataplane.http1.BodyMemory;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.api.ApiServer;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.failuredetection.Monitor;
import sablehinge.mesh.retrybudget.Grant;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.RoutingTable;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Tokens;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * The proxy of a machine with an upstream. Outbound, it accepts requests from local clients, selects an upstream for
 * each and sends the request to the sidecar of that upstream. Inbound, it applies admission control to requests from
 * other sidecars to the local upstream. It has no durable state: everything can be fetched again from the control
 * plane. A single thread owns all of it.
 */
public final class Sidecar {

    private static final Logger LOG = LoggerFactory.getLogger(Sidecar.class);
    private static final int PAGE_BYTES = 8_192;
    private static final int CHUNK_ORDER = 7;
    private static final int CACHED_BUFFERS = 32;
    private static final long PING_INTERVAL_MS = 300;
    private static final long CONNECTION_TIMEOUT_MS = 1_200;
    static final long TICK_MS = 100;
    private static final double MS_PER_S = 1_000;
    private static final int MAX_HEARTBEAT_BYTES = 64 * 1024;
    /** The number of sidecars assumed for the retry budget until the registry is complete. */
    private static final int ASSUMED_BALANCERS = 16;

    private static final Registry NO_REGISTRY = new Registry() {
        @Override
        public void fetch() {
            // Updates of the control plane contain the registry.
        }

        @Override
        public void watch(boolean on) {
            // Updates of the control plane contain the registry.
        }
    };

    private final LocalSettings settings;
    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final Sockets sockets;
    private final RequestProxy outbound;
    private final RequestProxy inbound;
    private final MeshUpstream peerDialect;
    /** The transport to other sidecars, and the transport to the local upstream. */
    private final UpstreamClient peers;

    private final UpstreamClient app;
    private AdmissionController admission;
    private final Frontend outboundFrontend;
    private final Frontend inboundFrontend;
    private final OutboundFront outboundFront;
    private final Quotas quotas;
    private final RetryBudget retryBudget;
    private final WatchClient watchClient;
    private final PeerMonitor peerMonitor;
    private final List<String> zones;
    private final Map<String, Integer> kinds = BalancerSettings.kinds();
    private final RegistryView registry = new RegistryView();
    private final RosterBuilder rosters;

    private final Map<Integer, Version> versions = new HashMap<>();
    private Version version;
    private long edition;
    private boolean wantsConfirmation = true;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private boolean shuttingDown;

    private final LocalUpstream localUpstream;
    private final PauseHistory pauses = new PauseHistory(TICK_MS);

    private Sidecar(LocalSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
        zones = new ArrayList<>(settings.zones().keySet());
        zones.sort(null);
        rosters = new RosterBuilder(zones, kinds);
        PooledByteBufAllocator memory =
                new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, CACHED_BUFFERS, CACHED_BUFFERS, false);
        sockets = new Sockets(settings.limits().fds() - 200);
        LoopTimers timers = new LoopTimers(loop, clock);
        quotas = new Quotas(settings.bounds(), this::requestTokens);
        retryBudget = new RetryBudget(clock, settings, this::claim);
        outbound = new RequestProxy(
                clock, timers, actions -> new LatencyWeightedBalancer(actions, BalancerSettings.EXTRAS));
        inbound = new RequestProxy(clock, timers, actions -> {
            admission = new AdmissionController(actions);
            return admission;
        });
        localUpstream = new LocalUpstream(settings, loop, clock, admission, new LocalUpstream.ControlPlane() {
            @Override
            public void requestUpdate() {
                watchClient.requestNow();
            }

            @Override
            public void requestConfirmation() {
                wantsConfirmation = true;
                watchClient.requestNow();
            }
        });
        outboundFront = new OutboundFront(
                settings.depot(),
                quotas,
                retryBudget,
                new OutboundFront.Confirmation() {
                    @Override
                    public void request() {
                        if (!wantsConfirmation) {
                            wantsConfirmation = true;
                            watchClient.requestNow();
                        }
                    }

                    @Override
                    public double confirmedAt() {
                        return confirmedAt;
                    }
                },
                System.nanoTime());
        BodyMemory bodyMemory = BodyMemory.ofProcess();
        outboundFrontend = new Frontend(loop, sockets, memory, bodyMemory, outbound, outboundFront);
        inboundFrontend = new Frontend(loop, sockets, memory, bodyMemory, inbound, new InboundFront(inbound));
        peerDialect = new MeshUpstream(clock);
        peers = new UpstreamClient(loop, clock, sockets, memory, peerDialect);
        app = new UpstreamClient(loop, clock, sockets, memory, new MeshUpstream(clock, retryBudget::onRejected));
        Version first = BalancerSettings.inboundVersion();
        Upstream localUpstream = new Upstream(AdmissionController.UPSTREAM, 0, 0, 0, State.READY, 1, 0);
        inbound.start(
                first,
                1,
                new Roster(1, true, List.of(new Member(localUpstream, ListeningSockets.address(settings.app())))),
                app,
                NO_REGISTRY);
        version = new Version(0, first.settings(), first.classes(), List.of(), false);
        versions.put(0, version);
        outbound.setRetryLimiter(retryBudget);
        outbound.start(version, System.nanoTime(), new Roster(0, true, List.of()), peers, NO_REGISTRY);
        watchClient = new WatchClient(
                loop,
                clock,
                new Connection(loop, PING_INTERVAL_MS, CONNECTION_TIMEOUT_MS),
                settings.innerSeeds(),
                new WatchListener());
        peerMonitor = new PeerMonitor(loop, clock, settings, watchClient::requestNow);
    }

    /**
     * Opens the listening sockets and starts a sidecar.
     *
     * @param onMade receives the sidecar before it reads its first request; from then on it can be drained, even during
     *     its start
     */
    public static Sidecar start(LocalSettings settings, Consumer<Sidecar> onMade)
            throws ConfigException, InterruptedException {
        return start(settings, ListeningSockets.open(settings), onMade);
    }

    /** Starts a sidecar; it requests an update and reports that it is ready once the update is applied. */
    public static Sidecar start(LocalSettings settings, ListeningSockets listening)
            throws ConfigException, InterruptedException {
        return start(settings, listening, made -> {});
    }

    static Sidecar start(LocalSettings settings, ListeningSockets listening, Consumer<Sidecar> onMade)
            throws ConfigException, InterruptedException {
        EventLoop loop = ClosingEventLoops.single("sidecar");
        Sidecar[] made = new Sidecar[1];
        loop.submit(() -> {
                    made[0] = new Sidecar(settings, loop);
                })
                .sync();
        Sidecar sidecar = made[0];
        onMade.accept(sidecar);
        LocalSettings.ListenOn at = settings.listenOn();
        try {
            loop.submit(() -> {
                        sidecar.outboundFrontend.adopt(listening.outbound());
                        sidecar.watchClient.start();
                    })
                    .sync();
            sidecar.inboundFrontend.bind(ListeningSockets.address(at.inbound()), false);
            new ApiServer(
                            loop,
                            List.of(
                                    UpstreamCalls.heartbeats(settings.app(), sidecar.localUpstream::handleHeartbeat),
                                    UpstreamCalls.signOffs(sidecar.localUpstream::handleSignOff)),
                            MAX_HEARTBEAT_BYTES)
                    .adopt(listening.control());
            sidecar.peerMonitor.listen();
            sidecar.listenOrFail(
                    new ApiServer(loop, List.of(new Readiness(sidecar::isReady)), MAX_HEARTBEAT_BYTES), at.ready());
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
        loop.scheduleAtFixedRate(sidecar::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Log.info(LOG, "starts")
                .addKeyValue("node", settings.node())
                .addKeyValue("service", settings.depot())
                .log("sidecar started; requesting an update");
        return sidecar;
    }

    private void listenOrFail(ApiServer apiServer, String at) throws IOException, InterruptedException {
        io.netty.channel.ChannelFuture bound =
                apiServer.listen(ListeningSockets.address(at)).await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + at + ": " + bound.cause().getMessage());
        }
    }

    private boolean isReady() {
        return edition > 0 && confirmedAt > 0 && !shuttingDown;
    }

    private void tick() {
        pauses.tick(clock.now());
        retryBudget.tick();
        peerMonitor.tick();
        localUpstream.tick();
    }

    private void claim(Frame frame) {
        watchClient.claimShares(frame);
    }

    private void requestTokens(String tenant, int count) {
        watchClient.requestTokens(new Tokens(tenant, count));
    }

    // ---- Update ----------------------------------------------------------------------------------------

    private final class WatchListener implements WatchClient.Listener {

        @Override
        public WatchRequest createRequest(int number) {
            return new WatchRequest(
                    number,
                    localUpstream.registration(),
                    edition,
                    registry.term(),
                    registry.stamp(),
                    wantsConfirmation,
                    peerMonitor.suspicions(),
                    vouched());
        }

        private List<Registration> vouched() {
            List<Registration> vouched = new ArrayList<>(localUpstream.reportDepartures(registry.term()));
            for (Registration peer : peerMonitor.vouched()) {
                if (vouched.size() < Monitor.MAX_REPORTED) {
                    vouched.add(peer);
                }
            }
            return vouched;
        }

        @Override
        public void onUpdate(double requestedAt, Update update) throws IOException {
            double now = clock.now();
            quotas.divide(now, update.size(), update.complete());
            if (update.edition() > edition && update.body().length > 0) {
                adopt(now, update.edition(), PackedConfiguration.unpack(update.body()));
            }
            if (update.confirmed()) {
                confirmedAt = Math.max(confirmedAt, requestedAt);
                wantsConfirmation = false;
            }
            localUpstream.onUpdate(now, requestedAt, update);
            wantsConfirmation |= localUpstream.awaitsConfirmation();
            applyRegistry(now, update);
        }

        @Override
        public void onTokens(Tokens tokens) {
            quotas.addTokens(clock.now(), tokens.tenant(), tokens.count());
        }

        @Override
        public int lendTokens(String tenant) {
            return quotas.lend(clock.now(), tenant);
        }

        @Override
        public void onShares(Grant grant) {
            retryBudget.onGrant(grant);
        }
    }

    private void adopt(double now, long next, byte[] body) {
        Configuration configuration = ConfigurationReader.read(body);
        edition = next;
        Map<String, Integer> classIndexes = new HashMap<>();
        Version before = version;
        version = BalancerSettings.version(
                before.number() + 1,
                configuration,
                kinds,
                classIndexes,
                BalancerSettings.Placement.of(settings.node(), zones.indexOf(settings.zone()), zones.size()));
        outboundFront.adopt(new RoutingTable(configuration), version, classIndexes);
        quotas.adopt(now, configuration.tenants());
        retryBudget.adopt(configuration);
        outbound.adopt(version, roster(now));
        outbound.release(before.number());
        Log.info(LOG, "configuration")
                .addKeyValue("edition", next)
                .addKeyValue("routes", configuration.routes().size())
                .log("configuration adopted");
    }

    private void applyRegistry(double now, Update update) {
        RegistryView.Outcome outcome = registry.apply(update);
        if (outcome == RegistryView.Outcome.STALE) {
            return;
        }
        peerMonitor.onUpdate(update);
        retryBudget.divide(registry.registrations(), registry.isComplete() ? 1 : ASSUMED_BALANCERS);
        if (outcome == RegistryView.Outcome.CHANGED) {
            outbound.onRosterChanged(Change.FULL, roster(now));
            peerMonitor.setRegistry(registry.registrations());
        }
    }

    private Roster roster(double now) {
        return rosters.build(now, registry, version.settings().kinds());
    }

    /** Reloads the settings that may change at run time: the addresses of control nodes. */
    public void reload(LocalSettings next) {
        loop.execute(() -> {
            watchClient.setSeeds(next.innerSeeds());
            Log.info(LOG, "settings").addKeyValue("seeds", next.seeds().size()).log("settings reloaded");
        });
    }

    // ---- Shutdown -------------------------------------------------------------------------------------

    /** Shuts down gracefully: withdraws this sidecar, serves the remaining requests, and returns when none is left. */
    void drain() throws InterruptedException {
        drain(0);
    }

    /**
     * Shuts down gracefully when at least {@code elapsedMs} of the grace period are over; a paused process may have
     * seen its signal late.
     */
    public void drain(double elapsedMs) throws InterruptedException {
        GracefulShutdown.run(clock, settings.bounds().graceS() * MS_PER_S, elapsedMs, new ShutdownStages());
    }

    /** Each stage runs on the event loop. */
    private final class ShutdownStages implements GracefulShutdown.Stages {

        @Override
        public double pausedMs() throws InterruptedException {
            return loop.submit(() -> pauses.recentPauseMs(clock.now())).sync().getNow();
        }

        @Override
        public void reportNotReady(ShutdownDeadlines deadlines) throws InterruptedException {
            runOnLoop(() -> {
                shuttingDown = true;
                outbound.drain(deadlines);
                inbound.drain(deadlines);
                admission.drain(deadlines.startUntil());
                peerDialect.drain(deadlines);
                Log.info(LOG, "drain").log("graceful shutdown started");
            });
        }

        @Override
        public void withdrawUpstream() throws InterruptedException {
            runOnLoop(() -> {
                localUpstream.withdraw();
            });
        }

        @Override
        public void stopAdmitting(ShutdownDeadlines deadlines) throws InterruptedException {
            runOnLoop(() -> {
                outboundFrontend.stopAdmitting(deadlines);
                inboundFrontend.stopAdmitting(deadlines);
            });
        }

        @Override
        public boolean isDrained() throws InterruptedException {
            return loop.submit(() -> outboundFrontend.endDrain() & inboundFrontend.endDrain())
                    .sync()
                    .getNow();
        }

        @Override
        public int abortAll() throws InterruptedException {
            return loop.submit(() -> outbound.abortAll() + inbound.abortAll())
                    .sync()
                    .getNow();
        }

        @Override
        public boolean isWrittenOut() throws InterruptedException {
            return loop.submit(() -> outboundFrontend.isWrittenOut() && inboundFrontend.isWrittenOut())
                    .sync()
                    .getNow();
        }

        @Override
        public int lateRequests() throws InterruptedException {
            return loop.submit(() -> outboundFrontend.lateRequests() + inboundFrontend.lateRequests())
                    .sync()
                    .getNow();
        }

        @Override
        public double lastAttemptAt() throws InterruptedException {
            return loop.submit(() -> latest(peers.lastAttemptAt(), app.lastAttemptAt()))
                    .sync()
                    .getNow();
        }

        private double latest(double first, double second) {
            return Double.isNaN(first) || second > first ? second : first;
        }

        private void runOnLoop(Runnable stage) throws InterruptedException {
            loop.submit(stage).sync();
        }
    }

    /** Stops immediately, like a killed process; for tests. */
    void close() throws InterruptedException {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
    }
}
