package sablehinge.mesh.retrybudget;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Allocates the retry budget on the leader from one pool for each service. A pool earns tokens from the requests that
 * balancers report, and grants shares according to what they request.
 *
 * <p>A pool starts empty in each leader's term, and a request is counted once, by the leader to which it is reported.
 * So tokens granted by an earlier leader do no harm: other requests paid for them. The sum of available and granted
 * tokens is bounded. A share stays granted until its balancer reports it as spent, returns it or lets it expire; an
 * expired share counts as spent. A repeated run makes its calls again, and these count as repeats at the called
 * services. So a token of a service is granted only together with tokens from the pools of the services that its runs
 * call, in proportion to the mean number of calls per run.
 */
public final class RetryBudgetAllocator {

    /** Lifetime of a share in milliseconds from its grant. Its owner counts a shorter time from an earlier start. */
    static final double GRANT_LIFETIME_MS = 1_000;
    /** The counts of a balancer are dropped after this many milliseconds without a claim. */
    private static final double OWNER_EXPIRY_MS = 5_000;

    private static final int MAX_OWNERS = 4_096;
    /** One claim is granted at most the available tokens divided by this, to leave some for other balancers. */
    private static final int GRANT_DIVISOR = 2;
    /** Factor by which the estimated calls per run exceed the counted ones. */
    private static final double CALL_ESTIMATE_FACTOR = 1.1;
    /** Number of runs, each with one call, assumed by the estimate before any are counted. */
    private static final double PRIOR_RUNS = 4;
    /** Counts of runs and calls are halved above this number of runs. */
    private static final double MAX_COUNTED_RUNS = 4_000;

    private static final double MIN_CALLS_PER_RUN = 0.005;
    /** Maximum depth to which nested calls are followed. */
    private static final int MAX_CALL_DEPTH = 3;

    private final RetryBudgetRule rule;
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<Long, Owner> owners = new HashMap<>();
    private long term;

    private static final class Pool {
        double available;
        double granted;
        double refilledAt;
        double runs;
        /** Calls to this service, by calling service. */
        final Map<String, Double> callers = new HashMap<>();
    }

    private static final class Owner {
        int number;
        double lastClaimAt;
        double expiresAt;
        /** Grants of the current term and incarnation; spending is counted from their start. */
        final Map<String, ServiceGrant> grants = new HashMap<>();
    }

    /** A balancer's share of one service's pool. */
    private static final class ServiceGrant {
        final String service;
        int requests;
        int calls;
        boolean counted;
        int spent;
        int share;
        /** Tokens granted from the pools of called services for the unspent part of the share. */
        final Map<String, Double> calleeTokens = new HashMap<>();

        ServiceGrant(String service) {
            this.service = service;
        }

        int outstanding() {
            return Math.max(0, share - spent);
        }

        void resetEpoch() {
            spent = 0;
            share = 0;
        }
    }

    /** Creates an allocator on a node that is not the leader yet. */
    public RetryBudgetAllocator(RetryBudgetRule rule) {
        this.rule = rule;
    }

    /** Starts a term as leader. */
    public void begin(long newTerm) {
        term = newTerm;
        pools.clear();
        owners.clear();
    }

    /** Sets the services that have pools and drops the pools of all others. */
    public void adopt(double now, Collection<String> services) {
        pools.keySet().retainAll(services);
        pools.values().forEach(pool -> pool.callers.keySet().retainAll(services));
        for (Owner owner : owners.values()) {
            owner.grants.keySet().retainAll(services);
            owner.grants.values().forEach(grant -> grant.calleeTokens.keySet().retainAll(services));
        }
        for (String service : services) {
            pools.computeIfAbsent(service, name -> {
                Pool pool = new Pool();
                pool.refilledAt = now;
                return pool;
            });
        }
    }

    /** Answers a claim; null if the claim is late or duplicated, or if there are too many balancers. */
    public Grant grant(double now, Claim claim) {
        expire(now);
        Owner owner = owners.get(claim.incarnation());
        if (owner == null && owners.size() < MAX_OWNERS) {
            owner = new Owner();
            owners.put(claim.incarnation(), owner);
        }
        if (owner == null || claim.number() <= owner.number) {
            return null;
        }
        owner.number = claim.number();
        owner.lastClaimAt = now;
        boolean resetEpoch = claim.term() != term;
        if (resetEpoch) {
            // The balancer has dropped its shares and counts its spending from 0.
            forfeit(owner);
            owner.grants.values().forEach(ServiceGrant::resetEpoch);
        }
        // Settled first, because spent and returned tokens make room for earned ones.
        Set<String> reportedServices = new HashSet<>();
        for (Claim.Line line : claim.lines()) {
            if (pools.containsKey(line.service())) {
                reportedServices.add(line.service());
                settle(
                        owner.grants.computeIfAbsent(line.service(), ServiceGrant::new),
                        resetEpoch ? 0 : line.spent(),
                        resetEpoch ? 0 : line.share());
            }
        }
        // For services missing in the claim, nothing more was spent and the unspent tokens are returned.
        for (ServiceGrant grant : owner.grants.values()) {
            if (!reportedServices.contains(grant.service)) {
                settle(grant, grant.spent, grant.spent);
            }
        }
        for (Claim.Line line : claim.lines()) {
            if (pools.containsKey(line.service())) {
                count(owner.grants.get(line.service()), claim.service(), line);
            }
        }
        fade();
        owner.expiresAt = now + GRANT_LIFETIME_MS;
        List<Grant.Line> allocated = new ArrayList<>();
        for (Claim.Line line : claim.lines()) {
            ServiceGrant grant = owner.grants.get(line.service());
            if (grant != null) {
                grant.share += allocate(now, line, grant);
                allocated.add(new Grant.Line(line.service(), grant.share));
            }
        }
        return new Grant(claim.number(), term, allocated);
    }

    /**
     * Requests are counted from the second claim of an incarnation on. Earlier ones may have been reported to another
     * leader.
     */
    private void count(ServiceGrant grant, String caller, Claim.Line line) {
        Pool pool = pools.get(line.service());
        if (grant.counted) {
            int requests = Math.max(0, line.requests() - grant.requests);
            int calls = Math.max(0, line.calls() - grant.calls);
            earn(pool, requests * rule.tokensPerRequest());
            pool.runs += requests + calls;
            if (calls > 0) {
                pool.callers.merge(caller, (double) calls, Double::sum);
            }
        }
        grant.counted = true;
        grant.requests = Math.max(grant.requests, line.requests());
        grant.calls = Math.max(grant.calls, line.calls());
    }

    private void earn(Pool pool, double tokens) {
        pool.available += Math.max(0, Math.min(tokens, rule.bound() - pool.available - pool.granted));
    }

    private void settle(ServiceGrant grant, int spent, int share) {
        Pool pool = pools.get(grant.service);
        // Spending above the share: extra arrivals without a token, such as requests rejected by an upstream.
        pool.available =
                Math.max(-rule.bound(), pool.available - Math.max(0, spent - Math.max(grant.share, grant.spent)));
        int outstanding = grant.outstanding();
        int unspent = Math.max(0, Math.min(share, grant.share) - spent);
        int used = Math.min(outstanding, Math.max(0, spent - grant.spent));
        int returned = Math.max(0, outstanding - used - unspent);
        double divisor = Math.max(1, outstanding);
        pool.granted -= used + returned;
        pool.available += returned;
        grant.calleeTokens.replaceAll((callee, tokens) -> {
            Pool calleePool = pools.get(callee);
            if (calleePool != null) {
                calleePool.granted -= tokens * (used + returned) / divisor;
                calleePool.available += tokens * returned / divisor;
            }
            return tokens * (outstanding - used - returned) / divisor;
        });
        grant.spent = spent;
        grant.share = spent + outstanding - used - returned;
    }

    /**
     * Grants the requested tokens as far as the service's own pool and the pools of the services that it calls allow.
     */
    private int allocate(double now, Claim.Line line, ServiceGrant grant) {
        Map<String, Double> prices = prices(line.service());
        double limit = Double.MAX_VALUE;
        for (Map.Entry<String, Double> price : prices.entrySet()) {
            limit = Math.min(limit, refill(now, price.getKey()).available / price.getValue());
        }
        int allocated = Math.min(line.wanted(), (int) Math.max(Math.min(1, limit), limit / GRANT_DIVISOR));
        if (allocated <= 0) {
            return 0;
        }
        prices.forEach((service, price) -> {
            Pool pool = pools.get(service);
            pool.available -= allocated * price;
            pool.granted += allocated * price;
            double calls = price - (service.equals(line.service()) ? 1 : 0);
            if (calls > 0) {
                grant.calleeTokens.merge(service, allocated * calls, Double::sum);
            }
        });
        return allocated;
    }

    /** Extra arrivals that a retry causes by service: itself, its calls and their nested calls. */
    private Map<String, Double> prices(String service) {
        Map<String, Double> prices = new HashMap<>(Map.of(service, 1.0));
        Map<String, Double> runs = prices;
        for (int depth = 0; depth < MAX_CALL_DEPTH && !runs.isEmpty(); depth++) {
            Map<String, Double> calls = new HashMap<>();
            for (Map.Entry<String, Double> run : runs.entrySet()) {
                for (Map.Entry<String, Pool> callee : pools.entrySet()) {
                    double callCount = callsOf(run.getKey(), callee.getValue()) * run.getValue();
                    if (callCount >= MIN_CALLS_PER_RUN) {
                        calls.merge(callee.getKey(), callCount, Double::sum);
                    }
                }
            }
            Map<String, Double> sum = new HashMap<>(prices);
            calls.forEach((callee, callCount) -> sum.merge(callee, callCount, Double::sum));
            prices = sum;
            runs = calls;
        }
        return prices;
    }

    private double callsOf(String caller, Pool callee) {
        double calls = callee.callers.getOrDefault(caller, 0.0);
        Pool runs = pools.get(caller);
        return calls == 0 || runs == null ? 0 : CALL_ESTIMATE_FACTOR * (calls + PRIOR_RUNS) / (runs.runs + PRIOR_RUNS);
    }

    /** Halves old counts of runs and their calls so that recent ones weigh more. */
    private void fade() {
        pools.forEach((service, pool) -> {
            if (pool.runs > MAX_COUNTED_RUNS) {
                pool.runs /= 2;
                pools.values()
                        .forEach(callee -> callee.callers.computeIfPresent(service, (caller, calls) -> calls / 2));
            }
        });
    }

    private Pool refill(double now, String service) {
        Pool pool = pools.get(service);
        earn(pool, (now - pool.refilledAt) * rule.dripPerMs());
        pool.refilledAt = now;
        return pool;
    }

    private void forfeit(Owner owner) {
        owner.grants.forEach((service, grant) -> {
            Pool pool = pools.get(service);
            if (pool != null) {
                pool.granted -= grant.outstanding();
            }
            grant.calleeTokens.forEach((callee, tokens) -> {
                Pool calleePool = pools.get(callee);
                if (calleePool != null) {
                    calleePool.granted -= tokens;
                }
            });
            grant.calleeTokens.clear();
            grant.spent = grant.share;
        });
    }

    private void expire(double now) {
        for (Iterator<Owner> iterator = owners.values().iterator(); iterator.hasNext(); ) {
            Owner owner = iterator.next();
            if (now >= owner.expiresAt) {
                forfeit(owner);
            }
            if (now - owner.lastClaimAt > OWNER_EXPIRY_MS) {
                iterator.remove();
            }
        }
    }
}
