package sablehinge.controlplane.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoublePredicate;
import java.util.function.Supplier;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.quota.Pool;
import sablehinge.mesh.quota.Quota;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Tokens;

/**
 * The leader's token pools of the tenants' quotas. A request to an empty pool is answered after a short delay, in which
 * the other balancers return their unused tokens.
 */
final class QuotaPools {

    /** The time that balancers have to return unused tokens: well below the requester's timeout. */
    private static final long RECLAIM_DELAY_MS = 15;

    private static final int MAX_WAITING_REQUESTS = 4_096;

    private final EventLoop loop;
    private final Clock clock;
    private final LocalSettings.Bounds bounds;
    private final Supplier<Collection<Connection.Link>> balancers;
    private final DoublePredicate hasLease;
    private final Pool pool = new Pool();
    private final Map<String, List<WaitingRequest>> waiting = new HashMap<>();
    private int totalWaiting;

    private record WaitingRequest(Connection.Link link, int wanted) {}

    QuotaPools(
            EventLoop loop,
            Clock clock,
            LocalSettings.Bounds bounds,
            Supplier<Collection<Connection.Link>> balancers,
            DoublePredicate hasLease) {
        this.loop = loop;
        this.clock = clock;
        this.bounds = bounds;
        this.balancers = balancers;
        this.hasLease = hasLease;
    }

    /** The pools, for reading. */
    Pool pool() {
        return pool;
    }

    void startTerm() {
        pool.begin();
        waiting.clear();
        totalWaiting = 0;
    }

    /** Sets the pools to the quotas of the current configuration. */
    void adopt(Configuration configuration) {
        Map<String, Quota> quotas = new HashMap<>();
        for (Configuration.Tenant tenant : configuration.tenants()) {
            if (tenant.perSecond() > 0) {
                quotas.put(
                        tenant.name(),
                        Quota.of(
                                tenant.perSecond(),
                                tenant.burst(),
                                bounds.quotaWindowS(),
                                bounds.quotaExcess(),
                                bounds.quotaSlack()));
            }
        }
        pool.adopt(clock.now(), quotas);
    }

    /** Handles a balancer's request for tokens; it gets no answer while this node holds no lease. */
    void handleRequest(Connection.Link link, Tokens wanted) {
        if (!hasLease.test(clock.now())) {
            return;
        }
        String tenant = wanted.tenant();
        int granted = pool.take(clock.now(), tenant, wanted.count());
        if (granted > 0
                || totalWaiting >= MAX_WAITING_REQUESTS
                || !waiting.containsKey(tenant) && !pool.startReclaim(clock.now(), tenant)) {
            answer(link, tenant, granted);
            return;
        }
        if (!waiting.containsKey(tenant)) {
            waiting.put(tenant, new ArrayList<>());
            Frame reclaim = new Frame(Frame.Kind.PULL, new Tokens(tenant, 0).bytes());
            balancers.get().forEach(balancer -> balancer.send(reclaim));
            loop.schedule(() -> answerWaiting(tenant), RECLAIM_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        waiting.get(tenant).add(new WaitingRequest(link, wanted.count()));
        totalWaiting++;
    }

    /** Handles the tokens that a balancer returns. */
    void handleReturn(Tokens tokens) {
        pool.returnTokens(clock.now(), tokens.tenant(), tokens.count());
    }

    private void answerWaiting(String tenant) {
        List<WaitingRequest> requests = waiting.remove(tenant);
        if (requests != null) {
            totalWaiting -= requests.size();
        }
        if (requests != null && hasLease.test(clock.now())) {
            requests.forEach(request -> answer(request.link, tenant, pool.take(clock.now(), tenant, request.wanted)));
        }
    }

    private static void answer(Connection.Link link, String tenant, int granted) {
        link.send(new Frame(Frame.Kind.TOKENS, new Tokens(tenant, granted).bytes()));
    }
}
