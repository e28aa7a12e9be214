package sablehinge.mesh.retrybudget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What one balancer may send beyond the first try of each request, by services: its share of the pool, which follows
 * what it needs and has an end, and the tokens that are reserved for it, which need no leader.
 */
public final class RetryBudgetShares {

    /** How long a share lasts, in ms from when it was requested: less than at the leader. */
    static final double GRANT_LIFETIME_MS = 900;
    /** Least time between two claims, where something is wanted and where there is only something to tell. */
    private static final double URGENT_MS = 15;

    private static final double USUAL_MS = 400;
    /** What is wanted: what was used or refused of late, for so long ahead. */
    private static final double FADE_MS = 1_000;

    private static final double AHEAD = 0.6;
    private static final double ROUNDED = 0.5;
    private static final int MAX_WANTED = 1_000;
    /** How long a further try waits for an answer, in ms, and how many of a service do. */
    private static final double CLAIM_TIMEOUT_MS = 60;

    private static final int MAX_WAITING = 256;
    /** What must be left for others before a second copy beside one that is out is sent. */
    private static final int KEPT = 1;

    private final RetryBudgetRule rule;
    private final long incarnation;
    private final String localService;
    private final Map<String, ServiceShare> parts = new HashMap<>();
    private int place;
    private int among = 1;
    private int number;
    private int answered;
    private double requestedAt = Double.NEGATIVE_INFINITY;
    private long term;
    private double end = Double.NEGATIVE_INFINITY;
    /** When a leader last answered. */
    private double touchedAt = Double.NEGATIVE_INFINITY;

    private static final class ServiceShare {
        int requests;
        int calls;
        int spent;
        int share;
        /** Of both there may be many, one after the other: spending counts from 0 in each. */
        int epoch;
        /** What was last reported of requests and calls, and of spending. */
        int reportedRequests;

        int reportedSpent;
        /** Uses and refusals of late, faded. */
        double need;

        double needAt = Double.NEGATIVE_INFINITY;
        boolean urgent;
        /** What it was to have in hand by the last claim, and whether it got less: then none is spare. */
        int target;

        boolean scarce;
        /** When the reserved tokens that were used are back. */
        final ArrayDeque<Double> resting = new ArrayDeque<>();

        final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

        Runnable spend() {
            int of = epoch;
            spent++;
            return () -> spent -= epoch == of ? 1 : 0;
        }

        void needs(double now) {
            need = need(now) + 1;
            needAt = now;
        }

        void resetEpoch() {
            spent = 0;
            share = 0;
            reportedSpent = 0;
            epoch++;
        }

        double need(double now) {
            return need == 0 ? 0 : need * Math.exp((needAt - now) / FADE_MS);
        }
    }

    /** Who waits for a token, and until when. */
    private record Waiting(double until, Consumer<Runnable> then) {}

    /**
     * No shares yet. The reserved tokens are there at once: what a process before may have used of them is covered by
     * what of the rule's slack is not given out.
     *
     * @param incarnation names this process among all others
     * @param localService the service of the upstream on this machine
     */
    public RetryBudgetShares(RetryBudgetRule rule, long incarnation, String localService) {
        this.rule = rule;
        this.incarnation = incarnation;
        this.localService = localService;
    }

    /** The services that there are; what is kept of others is dropped. */
    public void adopt(Collection<String> services) {
        parts.keySet().retainAll(services);
        services.stream()
                .limit(Claim.MAX_LINES)
                .forEach(service -> parts.computeIfAbsent(service, name -> new ServiceShare()));
    }

    /** Which of so many balancers this is, from 0, by an order that all of them have. */
    public void setPosition(int own, int all) {
        place = own;
        among = all;
    }

    /** A client has sent a request for a service here. */
    public void onRequest(String service) {
        ServiceShare part = parts.get(service);
        if (part != null) {
            part.requests++;
        }
    }

    /** The upstream beside has called a service. */
    public void onUpstreamCall(String service) {
        ServiceShare part = parts.get(service);
        if (part != null) {
            part.calls++;
        }
    }

    /**
     * Takes a token for a further try. Where the share has none it waits for a claim's answer, and then takes one of
     * those that are reserved; a spare one does neither.
     *
     * @param spare whether one that is out may yet do: then some must be left
     * @param then called once, perhaps before this returns, with what gives the token back, or with null
     */
    public void acquire(double now, String service, boolean spare, Consumer<Runnable> then) {
        ServiceShare part = parts.get(service);
        if (part == null) {
            then.accept(null);
            return;
        }
        if (!spare || !part.scarce) {
            part.needs(now);
        }
        int open = now < end ? part.share - part.spent : 0;
        part.urgent |= open <= KEPT;
        if (open > (spare ? KEPT : 0) && !(spare && part.scarce)) {
            then.accept(part.spend());
        } else if (spare || part.waiting.size() >= MAX_WAITING) {
            then.accept(null);
        } else if (now < touchedAt + GRANT_LIFETIME_MS) {
            part.waiting.addLast(new Waiting(now + CLAIM_TIMEOUT_MS, then));
        } else {
            then.accept(reserved(now, part));
        }
    }

    /** What has waited long enough takes what is reserved; to be called some times a second. */
    public void expireWaiting(double now) {
        for (ServiceShare part : parts.values()) {
            while (!part.waiting.isEmpty() && part.waiting.peekFirst().until <= now) {
                part.waiting.pollFirst().then.accept(reserved(now, part));
            }
        }
    }

    private Runnable reserved(double now, ServiceShare part) {
        while (!part.resting.isEmpty() && part.resting.peekFirst() <= now) {
            part.resting.pollFirst();
        }
        if (part.resting.size() >= rule.reserved(place, among)) {
            return null;
        }
        double until = now + rule.rest();
        part.resting.addLast(until);
        return () -> part.resting.removeFirstOccurrence(until);
    }

    /** Something has arrived beyond the first for which no token was taken. */
    public void onExtraArrival(String service) {
        ServiceShare part = parts.get(service);
        if (part != null) {
            part.spent++;
        }
    }

    /** The claim to send now; null where that can wait. What is not needed is given back. */
    public Claim nextClaim(double now) {
        if (now >= end && term != 0) {
            term = 0;
            parts.values().forEach(ServiceShare::resetEpoch);
        }
        double since = now - requestedAt;
        boolean urgent = parts.values().stream().anyMatch(part -> part.urgent);
        if (since < URGENT_MS || since < USUAL_MS && !urgent) {
            return null;
        }
        List<Claim.Line> lines = new ArrayList<>();
        parts.forEach((service, part) -> {
            boolean changed = part.requests + part.calls != part.reportedRequests;
            int wanted = Math.min(
                    MAX_WANTED, Math.max(part.waiting.size(), (int) Math.ceil(AHEAD * part.need(now) - ROUNDED)));
            int open = Math.max(0, part.share - part.spent);
            part.share -= Math.max(0, open - wanted);
            if (changed || part.spent != part.reportedSpent || part.share > part.spent || wanted > 0) {
                lines.add(new Claim.Line(
                        service, part.requests, part.calls, part.spent, part.share, Math.max(0, wanted - open)));
                part.reportedRequests = part.requests + part.calls;
                part.reportedSpent = part.spent;
            }
            part.target = wanted;
            part.urgent = false;
        });
        if (lines.isEmpty()) {
            return null;
        }
        requestedAt = now;
        return new Claim(incarnation, ++number, term, localService, lines);
    }

    /** A leader has answered; an answer to another claim than the last is ignored. */
    public void onGrant(double now, Grant grant) {
        if (grant.number() != number || number == answered || now >= requestedAt + GRANT_LIFETIME_MS) {
            return;
        }
        answered = number;
        touchedAt = now;
        end = requestedAt + GRANT_LIFETIME_MS;
        if (grant.term() != term) {
            term = grant.term();
            parts.values().forEach(ServiceShare::resetEpoch);
        }
        for (Grant.Line line : grant.lines()) {
            ServiceShare part = parts.get(line.service());
            if (part != null) {
                part.share = line.share();
                part.scarce = part.share - part.spent < part.target;
            }
        }
        // Who is served may come back with more at once, and must find all of the answer taken in.
        for (Grant.Line line : grant.lines()) {
            ServiceShare part = parts.get(line.service());
            if (part != null) {
                while (part.share > part.spent && !part.waiting.isEmpty()) {
                    part.waiting.pollFirst().then.accept(part.spend());
                }
            }
        }
    }
}
