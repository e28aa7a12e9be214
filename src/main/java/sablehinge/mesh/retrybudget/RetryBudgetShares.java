package sablehinge.mesh.retrybudget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The retries that one balancer may send, by service: its share of the pool, which follows its demand and expires, and
 * its reserved tokens, which need no leader.
 */
public final class RetryBudgetShares {

    /** Lifetime of a share in milliseconds from its claim. It is shorter than the lifetime at the leader. */
    static final double GRANT_LIFETIME_MS = 900;
    /** Minimum time in milliseconds between claims if tokens are needed urgently. */
    private static final double MIN_CLAIM_INTERVAL_MS = 15;
    /** Minimum time in milliseconds between other claims. */
    private static final double CLAIM_INTERVAL_MS = 400;
    /** Time constant in milliseconds of the decaying demand, which counts recent uses and refusals. */
    private static final double DEMAND_DECAY_MS = 1_000;

    /** A claim asks for the demand expected over this many seconds. */
    private static final double DEMAND_HORIZON_S = 0.6;

    private static final double ROUNDING = 0.5;
    private static final int MAX_WANTED = 1_000;
    /** Time in milliseconds for which a retry waits for the answer to a claim. */
    private static final double CLAIM_TIMEOUT_MS = 60;

    /** Maximum number of waiting retries of a service. */
    private static final int MAX_WAITING = 256;
    /** Tokens that must remain for other retries when a speculative attempt is sent. */
    private static final int SPECULATIVE_RESERVE = 1;

    private final RetryBudgetRule rule;
    private final long incarnation;
    private final String localService;
    private final Map<String, ServiceShare> shares = new HashMap<>();
    private int balancerIndex;
    private int balancerCount = 1;
    private int lastClaimNumber;
    private int answeredClaimNumber;
    private double claimedAt = Double.NEGATIVE_INFINITY;
    private long term;
    private double expiresAt = Double.NEGATIVE_INFINITY;
    /** Time of the last grant by a leader. */
    private double lastGrantAt = Double.NEGATIVE_INFINITY;

    private static final class ServiceShare {
        int requests;
        int calls;
        int spent;
        int share;
        /** Incremented whenever the share and its spending are reset to 0. */
        int epoch;
        /** The sum of requests and calls in the last report. */
        int reportedRequests;

        int reportedSpent;
        /** Recent uses and refusals, with exponential decay. */
        double demand;

        double demandAt = Double.NEGATIVE_INFINITY;
        boolean urgent;
        /** Available tokens that the last claim asked for. */
        int target;

        /** Whether the last grant left fewer tokens than the target; speculative attempts then get none. */
        boolean scarce;
        /** Times at which used reserved tokens are available again. */
        final ArrayDeque<Double> reservedRecoveries = new ArrayDeque<>();

        final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

        Runnable spend() {
            int spentEpoch = epoch;
            spent++;
            return () -> spent -= epoch == spentEpoch ? 1 : 0;
        }

        void recordDemand(double now) {
            demand = demand(now) + 1;
            demandAt = now;
        }

        void resetEpoch() {
            spent = 0;
            share = 0;
            reportedSpent = 0;
            epoch++;
        }

        double demand(double now) {
            return demand == 0 ? 0 : demand * Math.exp((demandAt - now) / DEMAND_DECAY_MS);
        }
    }

    /** A retry that waits for a token until a deadline. */
    private record Waiting(double deadline, Consumer<Runnable> callback) {}

    /**
     * Creates an instance without shares. The reserved tokens are available immediately: those that an earlier process
     * may have used are covered by the unused part of the rule's slack.
     *
     * @param incarnation identifies this process among all others
     * @param localService the service of the upstream on this machine
     */
    public RetryBudgetShares(RetryBudgetRule rule, long incarnation, String localService) {
        this.rule = rule;
        this.incarnation = incarnation;
        this.localService = localService;
    }

    /** Sets the services and drops the state of all others. */
    public void adopt(Collection<String> services) {
        shares.keySet().retainAll(services);
        services.stream()
                .limit(Claim.MAX_LINES)
                .forEach(service -> shares.computeIfAbsent(service, name -> new ServiceShare()));
    }

    /**
     * Sets the index of this balancer, from 0, in an order that all balancers agree on, and the number of balancers.
     */
    public void setPosition(int index, int count) {
        balancerIndex = index;
        balancerCount = count;
    }

    /** Records a client request for a service. */
    public void onRequest(String service) {
        ServiceShare entry = shares.get(service);
        if (entry != null) {
            entry.requests++;
        }
    }

    /** Records a call from the local upstream to a service. */
    public void onUpstreamCall(String service) {
        ServiceShare entry = shares.get(service);
        if (entry != null) {
            entry.calls++;
        }
    }

    /**
     * Acquires a token for a retry. If the share has none left, the retry waits for the answer to a claim and takes a
     * reserved token if the wait times out. A speculative attempt neither waits nor takes a reserved token.
     *
     * @param speculative whether the attempt is speculative because an earlier one is still in flight; some tokens must
     *     then remain
     * @param callback called once, possibly before this method returns, with a function that returns the token, or with
     *     null if there is none
     */
    public void acquire(double now, String service, boolean speculative, Consumer<Runnable> callback) {
        ServiceShare entry = shares.get(service);
        if (entry == null) {
            callback.accept(null);
            return;
        }
        if (!speculative || !entry.scarce) {
            entry.recordDemand(now);
        }
        int available = now < expiresAt ? entry.share - entry.spent : 0;
        entry.urgent |= available <= SPECULATIVE_RESERVE;
        if (available > (speculative ? SPECULATIVE_RESERVE : 0) && !(speculative && entry.scarce)) {
            callback.accept(entry.spend());
        } else if (speculative || entry.waiting.size() >= MAX_WAITING) {
            callback.accept(null);
        } else if (now < lastGrantAt + GRANT_LIFETIME_MS) {
            entry.waiting.addLast(new Waiting(now + CLAIM_TIMEOUT_MS, callback));
        } else {
            callback.accept(takeReserved(now, entry));
        }
    }

    /** Gives reserved tokens to the retries whose wait has timed out. Must be called several times a second. */
    public void expireWaiting(double now) {
        for (ServiceShare entry : shares.values()) {
            while (!entry.waiting.isEmpty() && entry.waiting.peekFirst().deadline <= now) {
                entry.waiting.pollFirst().callback.accept(takeReserved(now, entry));
            }
        }
    }

    private Runnable takeReserved(double now, ServiceShare entry) {
        while (!entry.reservedRecoveries.isEmpty() && entry.reservedRecoveries.peekFirst() <= now) {
            entry.reservedRecoveries.pollFirst();
        }
        if (entry.reservedRecoveries.size() >= rule.reserved(balancerIndex, balancerCount)) {
            return null;
        }
        double recoveredAt = now + rule.reservedRecoveryMs();
        entry.reservedRecoveries.addLast(recoveredAt);
        return () -> entry.reservedRecoveries.removeFirstOccurrence(recoveredAt);
    }

    /** Records an extra arrival for which no token was acquired. */
    public void onExtraArrival(String service) {
        ServiceShare entry = shares.get(service);
        if (entry != null) {
            entry.spent++;
        }
    }

    /** The claim to send now, or null if none is due. It returns tokens that are not needed. */
    public Claim nextClaim(double now) {
        if (now >= expiresAt && term != 0) {
            term = 0;
            shares.values().forEach(ServiceShare::resetEpoch);
        }
        double elapsed = now - claimedAt;
        boolean urgent = shares.values().stream().anyMatch(entry -> entry.urgent);
        if (elapsed < MIN_CLAIM_INTERVAL_MS || elapsed < CLAIM_INTERVAL_MS && !urgent) {
            return null;
        }
        List<Claim.Line> lines = new ArrayList<>();
        shares.forEach((service, entry) -> {
            boolean changed = entry.requests + entry.calls != entry.reportedRequests;
            int wanted = Math.min(MAX_WANTED, Math.max(entry.waiting.size(), (int)
                    Math.ceil(DEMAND_HORIZON_S * entry.demand(now) - ROUNDING)));
            int available = Math.max(0, entry.share - entry.spent);
            entry.share -= Math.max(0, available - wanted);
            if (changed || entry.spent != entry.reportedSpent || entry.share > entry.spent || wanted > 0) {
                lines.add(new Claim.Line(
                        service,
                        entry.requests,
                        entry.calls,
                        entry.spent,
                        entry.share,
                        Math.max(0, wanted - available)));
                entry.reportedRequests = entry.requests + entry.calls;
                entry.reportedSpent = entry.spent;
            }
            entry.target = wanted;
            entry.urgent = false;
        });
        if (lines.isEmpty()) {
            return null;
        }
        claimedAt = now;
        return new Claim(incarnation, ++lastClaimNumber, term, localService, lines);
    }

    /** Records a leader's grant. An answer to any claim but the last is ignored. */
    public void onGrant(double now, Grant grant) {
        if (grant.number() != lastClaimNumber
                || lastClaimNumber == answeredClaimNumber
                || now >= claimedAt + GRANT_LIFETIME_MS) {
            return;
        }
        answeredClaimNumber = lastClaimNumber;
        lastGrantAt = now;
        expiresAt = claimedAt + GRANT_LIFETIME_MS;
        if (grant.term() != term) {
            term = grant.term();
            shares.values().forEach(ServiceShare::resetEpoch);
        }
        for (Grant.Line line : grant.lines()) {
            ServiceShare entry = shares.get(line.service());
            if (entry != null) {
                entry.share = line.share();
                entry.scarce = entry.share - entry.spent < entry.target;
            }
        }
        // A callback may acquire more tokens immediately, so the whole answer must be applied before any callback runs.
        for (Grant.Line line : grant.lines()) {
            ServiceShare entry = shares.get(line.service());
            if (entry != null) {
                while (entry.share > entry.spent && !entry.waiting.isEmpty()) {
                    entry.waiting.pollFirst().callback.accept(entry.spend());
                }
            }
        }
    }
}
