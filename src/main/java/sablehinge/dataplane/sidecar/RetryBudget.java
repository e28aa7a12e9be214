package sablehinge.dataplane.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.dataplane.proxy.RetryLimiter;
import sablehinge.dataplane.proxy.Version;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.retrybudget.Grant;
import sablehinge.mesh.retrybudget.RetryBudgetRule;
import sablehinge.mesh.retrybudget.RetryBudgetShares;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.RetryBudgetCodec;

/** Bounds the further tries of this balancer's requests by its shares, which it asks the core for. */
final class RetryBudget implements RetryLimiter {

    private final Clock clock;
    private final RetryBudgetShares shares;
    private final String node;
    private final String depot;
    private final Consumer<Frame> claims;

    /** Shares under the rule's figures; {@code claims} takes them to the core, where that can be reached. */
    RetryBudget(Clock clock, LocalSettings settings, Consumer<Frame> claims) {
        this.clock = clock;
        this.claims = claims;
        node = settings.node();
        depot = settings.depot();
        long incarnation = MeshHeaders.incarnation(node + " " + System.currentTimeMillis() + " " + System.nanoTime());
        LocalSettings.Bounds bounds = settings.bounds();
        shares = new RetryBudgetShares(
                new RetryBudgetRule(bounds.retryRatio(), bounds.retryWindowS() * 1_000, bounds.retrySlack()),
                incarnation,
                depot);
    }

    /** Takes the services of a configuration over. */
    void adopt(Configuration configuration) {
        List<String> services = new ArrayList<>();
        configuration.services().forEach(service -> services.add(service.name()));
        shares.adopt(services);
    }

    /** Which balancers there are, at least so many: the places are by their names. */
    void divide(Collection<Registration> registry, int assumedBalancers) {
        int place = 0;
        int among = 0;
        for (Registration registration : registry) {
            if (!registration.upstream().isEmpty()) {
                among++;
                place += registration.node().compareTo(node) < 0 ? 1 : 0;
            }
        }
        shares.setPosition(place, Math.max(place + 1, Math.max(among, assumedBalancers)));
    }

    /** A request has come; where requests need a key, one without any is a call of the upstream beside. */
    void came(String service, boolean call) {
        if (call) {
            shares.onUpstreamCall(service);
        } else {
            shares.onRequest(service);
        }
    }

    /** The local upstream has rejected what had arrived there. */
    void rejected() {
        shares.onExtraArrival(depot);
    }

    @Override
    public void acquire(Version version, int serviceClass, boolean beside, Consumer<Runnable> then) {
        String name = version.classes().get(serviceClass);
        shares.acquire(clock.now(), name.substring(name.lastIndexOf('\n') + 1), beside, then);
        tick();
    }

    /** Claims what is wanted, if that is due; to be called some times a second. */
    void tick() {
        shares.expireWaiting(clock.now());
        Claim claim = shares.nextClaim(clock.now());
        if (claim != null) {
            claims.accept(new Frame(Frame.Kind.SHARES, RetryBudgetCodec.encode(claim)));
        }
    }

    void granted(Grant grant) {
        shares.onGrant(clock.now(), grant);
    }
}
