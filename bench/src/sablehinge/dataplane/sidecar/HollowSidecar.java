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
 * The control side of a sidecar without its data plane: it polls the control nodes for updates, joins the ring of
 * watchers, and claims quota tokens and retry shares with the sidecar's own classes. It forwards nothing, and its
 * upstream exists only in its registration. Owned by its event loop.
 */
public final class HollowSidecar {

    private static final long PING_INTERVAL_MS = 300;
    private static final long CONNECTION_TIMEOUT_MS = 1_200;
    private static final int BERTHS = 12;
    /** The number of sidecars assumed until the registry is complete, as in a real sidecar. */
    private static final int ASSUMED_BALANCERS = 16;
    /** The interval at which tokens for due requests are claimed. */
    private static final long CLAIM_INTERVAL_MS = 25;

    private static final double MS_PER_S = 1_000;
    /** The number of services that a sidecar calls. */
    private static final int CALLED_SERVICES = 4;

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
    private final List<String> calledServices = new ArrayList<>();
    private Configuration configuration;
    private String upstream;
    private long edition;
    private boolean wantsConfirmation = true;
    private boolean closed;
    private double perSecond;
    private double dueRequests;
    private long granted;
    private long refused;
    private long requested;
    private Predicate<View> awaitedCondition;
    private volatile double awaitedAt = Double.NaN;

    /**
     * A sidecar's state at one time; the registry is a live view.
     *
     * @param edition edition of the current configuration; 0 for none
     * @param term term of the leader that sent the registry
     * @param complete whether that leader's registry contains all live sidecars
     * @param roster registrations by node
     */
    public record View(long edition, long term, boolean complete, Map<String, Registration> roster) {}

    /**
     * Starts a hollow sidecar on a loop.
     *
     * @param reader parses the configuration of an update; the sidecars of a process may share a parsed configuration
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

    /** Creates a hollow sidecar that only receives heartbeats until {@link #begin}. */
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
        quotas = new Quotas(settings.bounds(), (tenant, count) -> watchClient.requestTokens(new Tokens(tenant, count)));
        retryBudget = new RetryBudget(clock, settings, watchClient::claimShares);
    }

    /** Starts to poll, to send heartbeats and to claim. */
    public void begin() {
        loop.execute(() -> {
            watchClient.start();
            every(Sidecar.TICK_MS, () -> {
                retryBudget.tick();
                watchers.tick();
            });
            every(CLAIM_INTERVAL_MS, this::claim);
        });
    }

    private void every(long ms, Runnable work) {
        // Starts at a random time in the period, like sidecars on separate machines.
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

    /** The channel on which heartbeats are sent and received. */
    public Channel datagrams() {
        return watchers.channel();
    }

    /** The settings of this sidecar. */
    public LocalSettings settings() {
        return settings;
    }

    /** Watches for a condition on the sidecar's state; {@link #awaitedAt} is the time at which it was first met. */
    public void await(Predicate<View> condition) {
        awaitedAt = Double.NaN;
        loop.execute(() -> {
            awaitedCondition = condition;
            checkCondition();
        });
    }

    /** When the awaited condition was met, by {@link TrafficLog#now}; NaN until then. */
    public double awaitedAt() {
        return awaitedAt;
    }

    /** Sets the rate of simulated requests, which claim tokens and are not forwarded. */
    public void demand(double requestsPerSecond) {
        loop.execute(() -> {
            perSecond = requestsPerSecond;
            dueRequests = 0;
        });
    }

    /** Replaces the upstream and publishes the new registration. */
    public void replaceUpstream(String id) {
        loop.execute(() -> {
            upstream = id;
            watchClient.requestNow();
        });
    }

    /** The number of requests that got a token; exact once the demand is 0. */
    public long granted() {
        return granted;
    }

    /** The number of requests that got no token. */
    public long refused() {
        return refused;
    }

    /** The number of requests that would have waited for the pool's response. */
    public long requested() {
        return requested;
    }

    /** Stops like a killed process: connections close and heartbeats stop. */
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
        for (dueRequests += perSecond * CLAIM_INTERVAL_MS / MS_PER_S; dueRequests >= 1; dueRequests--) {
            List<Configuration.Tenant> tenants = configuration.tenants();
            Quotas.Claim claim = quotas.claim(now, tenants.get(random.nextInt(tenants.size())));
            if (claim == Quotas.Claim.GRANTED) {
                granted++;
            } else if (claim == Quotas.Claim.REFUSED) {
                refused++;
            } else {
                requested++;
            }
            retryBudget.onRequest(calledServices.get(random.nextInt(calledServices.size())), false);
        }
    }

    private void adopt(double now, Update update) {
        configuration = reader.apply(update);
        edition = update.edition();
        quotas.adopt(now, configuration.tenants());
        retryBudget.adopt(configuration);
        calledServices.clear();
        List<Configuration.Service> services = configuration.services();
        int first = Math.floorMod(settings.depot().hashCode(), services.size());
        for (int i = 0; i < Math.min(CALLED_SERVICES, services.size()); i++) {
            calledServices.add(services.get((first + i) % services.size()).name());
        }
    }

    private void applyRegistry(Update update) {
        RegistryView.Outcome outcome = registry.apply(update);
        if (outcome == RegistryView.Outcome.STALE) {
            return;
        }
        watchers.onUpdate(update);
        retryBudget.divide(registry.registrations(), registry.isComplete() ? 1 : ASSUMED_BALANCERS);
        if (outcome == RegistryView.Outcome.CHANGED) {
            watchers.setRegistry(registry.registrations());
        }
    }

    private void checkCondition() {
        if (awaitedCondition != null
                && awaitedCondition.test(
                        new View(edition, registry.term(), registry.isComplete(), registry.byNode()))) {
            awaitedCondition = null;
            awaitedAt = TrafficLog.now();
        }
    }

    private final class WatchListener implements WatchClient.Listener {

        @Override
        public WatchRequest createRequest(int number) {
            Registration ownRegistration = new Registration(
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
                    ownRegistration,
                    edition,
                    registry.term(),
                    registry.stamp(),
                    wantsConfirmation,
                    watchers.suspicions(),
                    watchers.vouched());
        }

        @Override
        public void onUpdate(double requestedAt, Update update) {
            double now = clock.now();
            quotas.divide(now, update.size(), update.complete());
            if (update.edition() > edition && update.body().length > 0) {
                adopt(now, update);
            }
            wantsConfirmation &= !update.confirmed();
            applyRegistry(update);
            checkCondition();
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
}
