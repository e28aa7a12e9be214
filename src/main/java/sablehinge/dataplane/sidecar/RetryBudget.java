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

/**
 * Limits the further attempts of this sidecar's requests to its shares of the retry budget, which it claims from the
 * control plane.
 */
final class RetryBudget implements RetryLimiter {

    private final Clock clock;
    private final RetryBudgetShares shares;
    private final String node;
    private final String depot;
    private final Consumer<Frame> claims;

    /**
     * Creates a budget by the settings of the retry rule; {@code claims} sends claims to the control plane if it is
     * reachable.
     */
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

    /** Adopts the services of a configuration. */
    void adopt(Configuration configuration) {
        List<String> services = new ArrayList<>();
        configuration.services().forEach(service -> services.add(service.name()));
        shares.adopt(services);
    }

    /**
     * Divides the budget among the registered sidecars, but at least {@code assumedBalancers}. A sidecar's place is its
     * position in the order of node names.
     */
    void divide(Collection<Registration> registry, int assumedBalancers) {
        int place = 0;
        int balancers = 0;
        for (Registration registration : registry) {
            if (!registration.upstream().isEmpty()) {
                balancers++;
                place += registration.node().compareTo(node) < 0 ? 1 : 0;
            }
        }
        shares.setPosition(place, Math.max(place + 1, Math.max(balancers, assumedBalancers)));
    }

    /** Counts a request. {@code call} marks a call of the local upstream, which has no key where clients need one. */
    void onRequest(String service, boolean call) {
        if (call) {
            shares.onUpstreamCall(service);
        } else {
            shares.onRequest(service);
        }
    }

    /** Counts a request that the local upstream rejected on arrival. */
    void onRejected() {
        shares.onExtraArrival(depot);
    }

    @Override
    public void acquire(Version version, int serviceClass, boolean concurrent, Consumer<Runnable> callback) {
        String name = version.classes().get(serviceClass);
        shares.acquire(clock.now(), name.substring(name.lastIndexOf('\n') + 1), concurrent, callback);
        tick();
    }

    /** Claims the shares needed, if a claim is due; to be called several times a second. */
    void tick() {
        shares.expireWaiting(clock.now());
        Claim claim = shares.nextClaim(clock.now());
        if (claim != null) {
            claims.accept(new Frame(Frame.Kind.SHARES, RetryBudgetCodec.encode(claim)));
        }
    }

    void onGrant(Grant grant) {
        shares.onGrant(clock.now(), grant);
    }
}
