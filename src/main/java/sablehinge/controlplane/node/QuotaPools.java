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
 * The leader's pools of quotas. A request to a pool that is dry is answered a little later, once the other balancers
 * have given up what they can do without.
 */
final class QuotaPools {

    /** How long others have to give something up, in ms: well below the requester's timeout. */
    private static final long RECLAIM_MS = 15;

    private static final int MAX_WAITING = 4_096;

    private final EventLoop loop;
    private final Clock clock;
    private final LocalSettings.Bounds bounds;
    private final Supplier<Collection<Connection.Link>> balancers;
    private final DoublePredicate leases;
    private final Pool pool = new Pool();
    private final Map<String, List<Waiting>> waiting = new HashMap<>();
    private int totalWaiting;

    private record Waiting(Connection.Link link, int wanted) {}

    QuotaPools(
            EventLoop loop,
            Clock clock,
            LocalSettings.Bounds bounds,
            Supplier<Collection<Connection.Link>> balancers,
            DoublePredicate leases) {
        this.loop = loop;
        this.clock = clock;
        this.bounds = bounds;
        this.balancers = balancers;
        this.leases = leases;
    }

    /** The pools, to be looked at. */
    Pool pool() {
        return pool;
    }

    void startTerm() {
        pool.begin();
        waiting.clear();
        totalWaiting = 0;
    }

    /** The quotas in force are what the pools are filled by. */
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

    /** A balancer asks; without a lease it gets no answer. */
    void handleRequest(Connection.Link link, Tokens wanted) {
        if (!leases.test(clock.now())) {
            return;
        }
        String tenant = wanted.tenant();
        int given = pool.take(clock.now(), tenant, wanted.count());
        if (given > 0
                || totalWaiting >= MAX_WAITING
                || !waiting.containsKey(tenant) && !pool.startReclaim(clock.now(), tenant)) {
            answer(link, tenant, given);
            return;
        }
        if (!waiting.containsKey(tenant)) {
            waiting.put(tenant, new ArrayList<>());
            Frame pull = new Frame(Frame.Kind.PULL, new Tokens(tenant, 0).bytes());
            balancers.get().forEach(balancer -> balancer.send(pull));
            loop.schedule(() -> settle(tenant), RECLAIM_MS, TimeUnit.MILLISECONDS);
        }
        waiting.get(tenant).add(new Waiting(link, wanted.count()));
        totalWaiting++;
    }

    /** A balancer gives something up. */
    void handleReturn(Tokens tokens) {
        pool.returnTokens(clock.now(), tokens.tenant(), tokens.count());
    }

    private void settle(String tenant) {
        List<Waiting> all = waiting.remove(tenant);
        if (all != null) {
            totalWaiting -= all.size();
        }
        if (all != null && leases.test(clock.now())) {
            all.forEach(one -> answer(one.link, tenant, pool.take(clock.now(), tenant, one.wanted)));
        }
    }

    private static void answer(Connection.Link link, String tenant, int given) {
        link.send(new Frame(Frame.Kind.TOKENS, new Tokens(tenant, given).bytes()));
    }
}
