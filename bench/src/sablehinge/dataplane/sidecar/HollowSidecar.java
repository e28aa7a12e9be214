package sablehinge.dataplane.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.rpc.Connection;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.retrybudget.Grant;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Tokens;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;
import sablehinge.tools.standin.mesh.TrafficLog;

/**
 * The control side of a sidecar without its data plane: it polls the control nodes for updates, takes part in the ring
 * of watchers and claims quota tokens and retry shares with the sidecar's own classes. It forwards nothing, and its
 * upstream exists in its registration only. Its event loop owns it.
 */
public final class HollowSidecar {

    private static final long PING_INTERVAL_MS = 300;
    private static final long CONNECTION_TIMEOUT_MS = 1_200;
    private static final int BERTHS = 12;
    /** Balancers that are reckoned with until the roster is complete, as in a sidecar. */
    private static final int ASSUMED_BALANCERS = 16;
    /** How often requests that are due are claimed for, in ms. */
    private static final long DEMAND_MS = 25;

    private static final double MS_PER_S = 1_000;
    /** Services that one calls. */
    private static final int CALLED = 4;

    private final LocalSettings settings;
    private final EventLoop loop;
    private final Clock clock = Clock.system();
    private final WatchClient watchClient;
    private final PeerMonitor watchers;
    private final Quotas quotas;
    private final RetryBudget retryBudget;
    private final Function<Update, Configuration> reader;
    private final RegistryView registry = new RegistryView();
    private final SplittableRandom random;
    private final List<String> called = new ArrayList<>();
    private Configuration configuration;
    private String upstream;
    private long edition;
    private boolean wantsConfirmation = true;
    private boolean closed;
    private double perSecond;
    private double due;
    private long granted;
    private long refused;
    private long requested;
    private Predicate<View> awaited;
    private volatile double awaitedAt = Double.NaN;

    /**
     * What a sidecar knows at some moment; its roster is a view.
     *
     * @param edition of the configuration in force; 0 for none
     * @param term of the leader that sent the roster
     * @param complete whether that leader has heard of all that live
     * @param roster by the names of nodes
     */
    public record View(long edition, long term, boolean complete, Map<String, Registration> roster) {}

    /**
     * Starts a hollow sidecar on a loop.
     *
     * @param reader parses the configuration of an update; sidecars of one process may share a parsed one
     * @throws ConfigException if its address can't be bound
     */
    public static HollowSidecar start(
            LocalSettings settings,
            EventLoop loop,
            String upstream,
            Connection.Observer observer,
            Function<Update, Configuration> reader)
            throws ConfigException, InterruptedException {
        HollowSidecar sidecar = prepare(settings, loop, upstream, observer, reader);
        sidecar.begin();
        return sidecar;
    }

    /** The same, but that it only receives heartbeats until {@link #begin}. */
    public static HollowSidecar prepare(
            LocalSettings settings,
            EventLoop loop,
            String upstream,
            Connection.Observer observer,
            Function<Update, Configuration> reader)
            throws ConfigException, InterruptedException {
        HollowSidecar sidecar = new HollowSidecar(settings, loop, upstream, observer, reader);
        sidecar.watchers.listen();
        return sidecar;
    }

    private HollowSidecar(
            LocalSettings settings,
            EventLoop loop,
            String upstream,
            Connection.Observer observer,
            Function<Update, Configuration> reader) {
        this.settings = settings;
        this.loop = loop;
        this.upstream = upstream;
        this.reader = reader;
        random = new SplittableRandom(settings.node().hashCode());
        watchClient = new WatchClient(
                loop,
                clock,
                new Connection(loop, PING_INTERVAL_MS, CONNECTION_TIMEOUT_MS, observer),
                settings.innerSeeds(),
                new WatchListener());
        watchers = new PeerMonitor(loop, clock, settings, watchClient::requestNow);
        quotas = new Quotas(settings.bounds(), (tenant, count) -> watchClient.tokens(new Tokens(tenant, count)));
        retryBudget = new RetryBudget(clock, settings, watchClient::shares);
    }

    /** Takes part from now on. */
    public void begin() {
        loop.execute(() -> {
            watchClient.start();
            every(Sidecar.TICK_MS, () -> {
                retryBudget.tick();
                watchers.tick();
            });
            every(DEMAND_MS, this::claim);
        });
    }

    private void every(long ms, Runnable work) {
        // Spread over the period, as sidecars on machines of their own are.
        loop.scheduleAtFixedRate(
                () -> {
                    if (!closed) {
                        work.run();
                    }
                },
                random.nextLong(ms),
                ms,
                TimeUnit.MILLISECONDS);
    }

    /** What its heartbeats are sent and received on. */
    public Channel datagrams() {
        return watchers.channel();
    }

    /** The settings that it was started with. */
    public LocalSettings settings() {
        return settings;
    }

    /** Awaits that what it knows meets a condition; {@link #awaitedAt} tells when that was first so. */
    public void await(Predicate<View> condition) {
        awaitedAt = Double.NaN;
        loop.execute(() -> {
            awaited = condition;
            look();
        });
    }

    /** When the awaited condition was met, by {@link TrafficLog#now}; NaN until then. */
    public double awaitedAt() {
        return awaitedAt;
    }

    /** From now on so many requests a second arrive here and claim tokens, without being forwarded. */
    public void demand(double requestsPerSecond) {
        loop.execute(() -> {
            perSecond = requestsPerSecond;
            due = 0;
        });
    }

    /** Its upstream is replaced by another, of which all are notified. */
    public void replaceUpstream(String id) {
        loop.execute(() -> {
            upstream = id;
            watchClient.requestNow();
        });
    }

    /** Requests that had a token; exact once no demand is left. */
    public long granted() {
        return granted;
    }

    /** Requests that had none. */
    public long refused() {
        return refused;
    }

    /** Requests that would have waited for the pool's answer. */
    public long requested() {
        return requested;
    }

    /** Ends it as a killed process ends: connections close, heartbeats stop. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            watchClient.close();
            watchers.close();
        });
    }

    private void claim() {
        if (configuration == null || configuration.tenants().isEmpty() || perSecond == 0) {
            return;
        }
        double now = clock.now();
        for (due += perSecond * DEMAND_MS / MS_PER_S; due >= 1; due--) {
            List<Configuration.Tenant> tenants = configuration.tenants();
            Quotas.Claim claim = quotas.claim(now, tenants.get(random.nextInt(tenants.size())));
            if (claim == Quotas.Claim.GRANTED) {
                granted++;
            } else if (claim == Quotas.Claim.REFUSED) {
                refused++;
            } else {
                requested++;
            }
            retryBudget.came(called.get(random.nextInt(called.size())), false);
        }
    }

    private void adopt(double now, Update update) {
        configuration = reader.apply(update);
        edition = update.edition();
        quotas.adopt(now, configuration.tenants());
        retryBudget.adopt(configuration);
        called.clear();
        List<Configuration.Service> services = configuration.services();
        int first = Math.floorMod(settings.depot().hashCode(), services.size());
        for (int i = 0; i < Math.min(CALLED, services.size()); i++) {
            called.add(services.get((first + i) % services.size()).name());
        }
    }

    private void enter(Update update) {
        RegistryView.Outcome outcome = registry.apply(update);
        if (outcome == RegistryView.Outcome.STALE) {
            return;
        }
        watchers.onUpdate(update);
        retryBudget.divide(registry.registrations(), registry.isComplete() ? 1 : ASSUMED_BALANCERS);
        if (outcome == RegistryView.Outcome.CHANGED) {
            watchers.registry(registry.registrations());
        }
    }

    private void look() {
        if (awaited != null
                && awaited.test(new View(edition, registry.term(), registry.isComplete(), registry.byNode()))) {
            awaited = null;
            awaitedAt = TrafficLog.now();
        }
    }

    private final class WatchListener implements WatchClient.Listener {

        @Override
        public WatchRequest request(int number) {
            Registration self = new Registration(
                    settings.node(),
                    settings.zone(),
                    settings.listenOn().inbound(),
                    settings.depot(),
                    upstream,
                    true,
                    BERTHS,
                    0);
            return new WatchRequest(
                    number,
                    self,
                    edition,
                    registry.term(),
                    registry.stamp(),
                    wantsConfirmation,
                    watchers.suspicions(),
                    watchers.vouched());
        }

        @Override
        public void update(double requestedAt, Update update) {
            double now = clock.now();
            quotas.divide(now, update.size(), update.complete());
            if (update.edition() > edition && update.body().length > 0) {
                adopt(now, update);
            }
            wantsConfirmation &= !update.confirmed();
            enter(update);
            look();
        }

        @Override
        public void tokens(Tokens tokens) {
            quotas.given(clock.now(), tokens.tenant(), tokens.count());
        }

        @Override
        public int lends(String tenant) {
            return quotas.lend(clock.now(), tenant);
        }

        @Override
        public void shares(Grant grant) {
            retryBudget.granted(grant);
        }
    }
}
