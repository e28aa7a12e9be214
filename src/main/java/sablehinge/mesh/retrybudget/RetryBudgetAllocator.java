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
 * Allocates the retry budget on the leader, from one pool for each service: a pool earns by the requests that balancers
 * tell of, and gives out shares that follow what they want.
 *
 * <p>A pool begins empty with each leader, and a request is counted once, by the leader that it is reported to. So it
 * does not matter what a leader before gave out: that was paid by other requests. What is in hand and out together is
 * bounded; a share is out until its balancer tells that it was spent or gives it back, or until its end, when it counts
 * as spent. A run that is repeated makes its calls again, which count as repeats there: a token of a service is only
 * given with as much of the pools that its runs call as they do on the mean.
 */
public final class RetryBudgetAllocator {

    /** How long a share lasts here from when it was given, in ms; its owner counts less from earlier on. */
    static final double GRANT_LIFETIME_MS = 1_000;
    /** How long the counts of a balancer that sends nothing are kept, ms. */
    private static final double OWNER_EXPIRY_MS = 5_000;

    private static final int MAX_OWNERS = 4_096;
    /** The part of what is in hand that one balancer is given at once: others may want some too. */
    private static final int PARTS = 2;
    /** What calls are reckoned for a run, over those that were counted. */
    private static final double CALLS_MARGIN = 1.1;
    /** Runs that are reckoned as calling once each before any were seen. */
    private static final double UNSEEN = 4;
    /** Counts of runs and calls are halved once there are so many runs. */
    private static final double MANY = 4_000;

    private static final double MIN_CALLS = 0.005;
    /** How far calls of calls are followed. */
    private static final int DEPTH = 3;

    private final RetryBudgetRule rule;
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<Long, Owner> owners = new HashMap<>();
    private long term;

    private static final class Pool {
        double level;
        double out;
        double filledAt;
        double runs;
        /** Calls by the services whose runs make them. */
        final Map<String, Double> callers = new HashMap<>();
    }

    private static final class Owner {
        int number;
        double heardAt;
        double end;
        /** Of the present term and incarnation: its spending counts from there. */
        final Map<String, ServiceGrant> parts = new HashMap<>();
    }

    /** What a balancer has of one service's pool. */
    private static final class ServiceGrant {
        final String service;
        int requests;
        int calls;
        boolean known;
        int spent;
        int share;
        /** What of the pools of called services is out for the share that is not spent. */
        final Map<String, Double> calling = new HashMap<>();

        ServiceGrant(String service) {
            this.service = service;
        }

        int open() {
            return Math.max(0, share - spent);
        }

        void resetEpoch() {
            spent = 0;
            share = 0;
        }
    }

    /** An allocator whose node does not lead yet. */
    public RetryBudgetAllocator(RetryBudgetRule rule) {
        this.rule = rule;
    }

    /** Begins as the leader of a term. */
    public void begin(long asLeaderOf) {
        term = asLeaderOf;
        pools.clear();
        owners.clear();
    }

    /** The services whose pools there are; those of others are gone. */
    public void adopt(double now, Collection<String> services) {
        pools.keySet().retainAll(services);
        pools.values().forEach(pool -> pool.callers.keySet().retainAll(services));
        for (Owner owner : owners.values()) {
            owner.parts.keySet().retainAll(services);
            owner.parts.values().forEach(part -> part.calling.keySet().retainAll(services));
        }
        for (String service : services) {
            pools.computeIfAbsent(service, name -> {
                Pool pool = new Pool();
                pool.filledAt = now;
                return pool;
            });
        }
    }

    /** Answers a claim; null for one that is late or doubled, or when there are too many balancers. */
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
        owner.heardAt = now;
        boolean resetEpoch = claim.term() != term;
        if (resetEpoch) {
            // It has dropped what it had, and counts its spending anew.
            forfeit(owner);
            owner.parts.values().forEach(ServiceGrant::resetEpoch);
        }
        // What is spent or given back makes room for what is earned.
        Set<String> reportedServices = new HashSet<>();
        for (Claim.Line line : claim.lines()) {
            if (pools.containsKey(line.service())) {
                reportedServices.add(line.service());
                settle(
                        owner.parts.computeIfAbsent(line.service(), ServiceGrant::new),
                        resetEpoch ? 0 : line.spent(),
                        resetEpoch ? 0 : line.share());
            }
        }
        // Of what it does not tell, nothing was spent since, and nothing is kept.
        for (ServiceGrant part : owner.parts.values()) {
            if (!reportedServices.contains(part.service)) {
                settle(part, part.spent, part.spent);
            }
        }
        for (Claim.Line line : claim.lines()) {
            if (pools.containsKey(line.service())) {
                count(owner.parts.get(line.service()), claim.service(), line);
            }
        }
        fade();
        owner.end = now + GRANT_LIFETIME_MS;
        List<Grant.Line> given = new ArrayList<>();
        for (Claim.Line line : claim.lines()) {
            ServiceGrant part = owner.parts.get(line.service());
            if (part != null) {
                part.share += give(now, line, part);
                given.add(new Grant.Line(line.service(), part.share));
            }
        }
        return new Grant(claim.number(), term, given);
    }

    /**
     * Requests are counted from the second claim of an incarnation on: those before may have been reported to another
     * leader.
     */
    private void count(ServiceGrant part, String caller, Claim.Line line) {
        Pool pool = pools.get(line.service());
        if (part.known) {
            int requests = Math.max(0, line.requests() - part.requests);
            int calls = Math.max(0, line.calls() - part.calls);
            earn(pool, requests * rule.income());
            pool.runs += requests + calls;
            if (calls > 0) {
                pool.callers.merge(caller, (double) calls, Double::sum);
            }
        }
        part.known = true;
        part.requests = Math.max(part.requests, line.requests());
        part.calls = Math.max(part.calls, line.calls());
    }

    private void earn(Pool pool, double tokens) {
        pool.level += Math.max(0, Math.min(tokens, rule.bound() - pool.level - pool.out));
    }

    private void settle(ServiceGrant part, int spent, int share) {
        Pool pool = pools.get(part.service);
        // Beyond its share: arrivals that were not claimed, such as what an upstream rejected.
        pool.level = Math.max(-rule.bound(), pool.level - Math.max(0, spent - Math.max(part.share, part.spent)));
        int open = part.open();
        int kept = Math.max(0, Math.min(share, part.share) - spent);
        int used = Math.min(open, Math.max(0, spent - part.spent));
        int back = Math.max(0, open - used - kept);
        double of = Math.max(1, open);
        pool.out -= used + back;
        pool.level += back;
        part.calling.replaceAll((callee, tokens) -> {
            Pool called = pools.get(callee);
            if (called != null) {
                called.out -= tokens * (used + back) / of;
                called.level += tokens * back / of;
            }
            return tokens * (open - used - back) / of;
        });
        part.spent = spent;
        part.share = spent + open - used - back;
    }

    /** As many as are wanted, as far as its own pool and those that its runs call have them. */
    private int give(double now, Claim.Line line, ServiceGrant part) {
        Map<String, Double> prices = prices(line.service());
        double most = Double.MAX_VALUE;
        for (Map.Entry<String, Double> price : prices.entrySet()) {
            most = Math.min(most, fill(now, price.getKey()).level / price.getValue());
        }
        int given = Math.min(line.wanted(), (int) Math.max(Math.min(1, most), most / PARTS));
        if (given <= 0) {
            return 0;
        }
        prices.forEach((service, price) -> {
            Pool pool = pools.get(service);
            pool.level -= given * price;
            pool.out += given * price;
            double called = price - (service.equals(line.service()) ? 1 : 0);
            if (called > 0) {
                part.calling.merge(service, given * called, Double::sum);
            }
        });
        return given;
    }

    /** What a further try brings as arrivals beyond the first: itself, its calls, and what those call. */
    private Map<String, Double> prices(String service) {
        Map<String, Double> prices = new HashMap<>(Map.of(service, 1.0));
        Map<String, Double> runs = prices;
        for (int depth = 0; depth < DEPTH && !runs.isEmpty(); depth++) {
            Map<String, Double> calls = new HashMap<>();
            for (Map.Entry<String, Double> run : runs.entrySet()) {
                for (Map.Entry<String, Pool> callee : pools.entrySet()) {
                    double each = callsOf(run.getKey(), callee.getValue()) * run.getValue();
                    if (each >= MIN_CALLS) {
                        calls.merge(callee.getKey(), each, Double::sum);
                    }
                }
            }
            Map<String, Double> sum = new HashMap<>(prices);
            calls.forEach((callee, each) -> sum.merge(callee, each, Double::sum));
            prices = sum;
            runs = calls;
        }
        return prices;
    }

    private double callsOf(String caller, Pool callee) {
        double calls = callee.callers.getOrDefault(caller, 0.0);
        Pool runs = pools.get(caller);
        return calls == 0 || runs == null ? 0 : CALLS_MARGIN * (calls + UNSEEN) / (runs.runs + UNSEEN);
    }

    /** What was counted of runs and their calls long ago weighs less. */
    private void fade() {
        pools.forEach((service, pool) -> {
            if (pool.runs > MANY) {
                pool.runs /= 2;
                pools.values()
                        .forEach(callee -> callee.callers.computeIfPresent(service, (caller, calls) -> calls / 2));
            }
        });
    }

    private Pool fill(double now, String service) {
        Pool pool = pools.get(service);
        earn(pool, (now - pool.filledAt) * rule.drip());
        pool.filledAt = now;
        return pool;
    }

    private void forfeit(Owner owner) {
        owner.parts.forEach((service, part) -> {
            Pool pool = pools.get(service);
            if (pool != null) {
                pool.out -= part.open();
            }
            part.calling.forEach((callee, tokens) -> {
                Pool called = pools.get(callee);
                if (called != null) {
                    called.out -= tokens;
                }
            });
            part.calling.clear();
            part.spent = part.share;
        });
    }

    private void expire(double now) {
        for (Iterator<Owner> each = owners.values().iterator(); each.hasNext(); ) {
            Owner owner = each.next();
            if (now >= owner.end) {
                forfeit(owner);
            }
            if (now - owner.heardAt > OWNER_EXPIRY_MS) {
                each.remove();
            }
        }
    }
}
