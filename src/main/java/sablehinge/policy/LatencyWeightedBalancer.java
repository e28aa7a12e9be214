package sablehinge.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sablehinge.policy.Call.Attempt;

/**
 * Load balancer that draws servers at random with weights that fall with latency and failures. It handles each request
 * from arrival over the choice of a server, the send and the outcome to a retry or the final answer. Read the interface
 * {@link LoadBalancer} first.
 *
 * <p>Every server has a cost l ({@link ServerCost}). Each call goes to a ready server drawn at random in proportion to
 * 1/l, and each outcome updates the statistics from which l is computed. Other classes decide which servers a request
 * may go to ({@link AttemptRules}), how much traffic a newly started server gets ({@link SlowStart}), which requests
 * are refused under overload ({@link OverloadControl}), in which order requests with a key run ({@link KeyQueues}),
 * which servers are listed ({@link ServerList}) and when the list may be stale ({@link StaleListDetector}).
 */
public final class LatencyWeightedBalancer implements LoadBalancer {

    /** Timeout of a repeatable attempt that is not hedged, as a multiple of {@link LatencyEstimate#slowAfter}. */
    private static final double TIMEOUT_SLOW_DELAYS = 2;
    /** Minimum remaining time for a send, as a share of the expected latency. */
    private static final double MIN_REMAINING_LATENCY_SHARE = 0.25;
    /** Delay before a request for which no server is available is dispatched again; well below any aim. */
    private static final double DISPATCH_RETRY_MS = 20;
    /**
     * Maximum share of the time to the deadline for which a request waits; the rest is left for the client to retry.
     */
    private static final double MAX_HOLD_SHARE = 0.45;
    /**
     * Minimum delay before the watch is requested again after a failure, as a share of askEvery. A random delay of up
     * to the same length is added.
     */
    private static final double WATCH_RETRY_SHARE = 0.1;

    /** Upper bound of the retry-after advice, as a share of the aim, so that the retry can still meet the aim. */
    private static final double MAX_RETRY_AFTER_AIM_SHARE = 0.5;
    /** Pressure from which no hedged request is sent, as it would add to the overload. */
    private static final double MAX_HEDGING_PRESSURE = 0.05;

    private static final long WATCH_TOKEN = -1;
    private static final int HOLD_TIMER = 0xff;
    private static final int OVERLOAD_TIMER = 0x80;

    private final Actions actions;
    private final Extras extras;
    private final ServerList servers = new ServerList();
    private final SlowStart slowStart = new SlowStart();
    private final KeyQueues queues = new KeyQueues();
    private final Map<Long, Call> calls = new HashMap<>();
    private StaleListDetector staleList;
    private SplittableRandom random;
    private double extraAttemptBudget;
    /** Recent calls of this instance per ready server. */
    private double recentCallsPerServer;

    /** Creates an instance with the default bounds on extra attempts. */
    public LatencyWeightedBalancer(Actions actions) {
        this(actions, new Extras(0.1, 3, 1, Double.POSITIVE_INFINITY));
    }

    /** Creates an instance with the given bounds on extra attempts. */
    public LatencyWeightedBalancer(Actions actions, Extras extras) {
        this.actions = actions;
        this.extras = extras;
        extraAttemptBudget = extras.saved;
    }

    /**
     * Bounds on attempts beyond the first of a request, and on how long a request waits for a server.
     *
     * @param perRequest extra attempts that each arriving request adds to the budget
     * @param saved upper bound of the budget
     * @param redraw budget that an attempt costs after one that never ran, and that a successful retry returns
     * @param hold how long a request waits for a server at most, as a multiple of the aim of its class
     */
    public record Extras(double perRequest, double saved, double redraw, double hold) {}

    @Override
    public void start(double now, Settings settings, long seed) {
        random = new SplittableRandom(seed);
        staleList = new StaleListDetector(now);
        adopt(now, settings);
        if (settings.subscribe()) {
            actions.watch(true);
        }
    }

    // ---- Versions of the settings ------------------------------------------------------------------

    @Override
    public void adopt(double now, Settings settings) {
        servers.adopt(settings);
        staleList.onSettings(settings);
    }

    @Override
    public void forget(double now, Settings old) {
        servers.forget(old);
    }

    private Settings settings() {
        return servers.current().settings;
    }

    // ---- Arrival of a request ----------------------------------------------------------------------

    @Override
    public void request(double now, Request request) {
        Call call = new Call(request, servers.current(), now);
        calls.put(request.id(), call);
        extraAttemptBudget =
                Math.min(extras.saved, extraAttemptBudget + (call.maxAttempts > 1 ? extras.perRequest : 0));
        if (request.cost() > 0) {
            call.record.costHint.add(request.cost());
        }
        // If a late answer has no value, no work is spent on the request after its aim.
        double stretchedAim = call.type.aim() + call.type.aimStretch() * request.cost();
        double aim = now + Math.min(call.type.deadline(), stretchedAim);
        call.usefulUntil = call.type.lateValue() > 0 ? request.deadline() : Math.min(request.deadline(), aim);
        if (OverloadControl.shouldShed(call, random)) {
            refuseOrFail(call, now);
            return;
        }
        slowStart.addSendBudget(call, settings().rules(), now);
        queues.add(call);
        dispatch(call, now);
    }

    /**
     * Sends the next attempt. A request without attempts waits until it is first in its queue and an eligible server is
     * available; it is refused as soon as this cannot happen in time.
     */
    private void dispatch(Call call, double now) {
        double latestSend = call.usefulUntil
                - MIN_REMAINING_LATENCY_SHARE * LatencyEstimate.expected(call)
                - KeyQueues.expectedWait(call);
        double maxHold =
                Math.min(extras.hold * call.type.aim(), MAX_HOLD_SHARE * (call.request.deadline() - call.arrivedAt));
        double holdUntil = Math.min(latestSend, call.arrivedAt + maxHold);
        boolean firstInQueue = KeyQueues.isFirst(call);
        Server server = firstInQueue && now < latestSend ? draw(call, true, now) : null;
        if (server != null) {
            send(call, server, now);
        } else if (now < holdUntil && call.attempts.isEmpty()) {
            double retryAt = firstInQueue ? Math.min(holdUntil, now + DISPATCH_RETRY_MS) : holdUntil;
            actions.setTimer(call.id << 8 | HOLD_TIMER, retryAt);
        } else {
            refuseOrFail(call, now);
        }
    }

    // ---- Server selection --------------------------------------------------------------------------

    /**
     * Draws an eligible ready server at random in proportion to 1/l; returns null if there is none. A server that the
     * request has already tried is drawn only if no other is eligible and no attempt of the request is in flight.
     */
    private Server draw(Call call, boolean untriedOnly, double now) {
        double total = 0;
        double finished = 0;
        for (Server server : call.view.ready) {
            finished += server.finished;
            boolean eligible = AttemptRules.mayGoTo(call, server, now)
                    && !(untriedOnly && call.tried(server))
                    && SlowStart.maySend(server, settings().rules(), now);
            server.weight = eligible ? 1 / cost(server, call, now) : 0;
            total += server.weight;
        }
        recentCallsPerServer = finished / Math.max(1, call.view.ready.size());
        double point = random.nextDouble() * total;
        Server picked = null;
        for (Server server : call.view.ready) {
            if (server.weight > 0 && point >= 0) {
                picked = server;
                point -= server.weight;
            }
        }
        return picked == null && untriedOnly && call.running == 0 ? draw(call, false, now) : picked;
    }

    private double cost(Server server, Call call, double now) {
        return ServerCost.of(
                server,
                call,
                recentCallsPerServer,
                SlowStart.capacityShare(server, settings().rules(), now),
                now);
    }

    // ---- Sending -----------------------------------------------------------------------------------

    private void send(Call call, Server server, double now) {
        Attempt attempt = new Attempt(call, server, now);
        double timeout = call.usefulUntil - now;
        double expected = LatencyEstimate.expected(call);
        double slowAfter = LatencyEstimate.slowAfter(call);
        boolean repeatable = call.type.repeat() != Repeat.AT_MOST_ONCE && !call.type.streamed();
        if (repeatable && call.limits().parallel() && slowAfter + expected < timeout) {
            actions.setTimer(call.id << 8 | attempt.number, now + slowAfter);
        } else if (repeatable && extraAttemptBudget >= 1 && TIMEOUT_SLOW_DELAYS * slowAfter + expected < timeout) {
            timeout = TIMEOUT_SLOW_DELAYS * slowAfter;
        }
        call.attempts.add(attempt);
        call.running++;
        server.inFlight.addLast(attempt);
        SlowStart.onSend(server, settings().rules(), now);
        if (settings().tier() == 0) {
            actions.setTimer(
                    call.id << 8 | OVERLOAD_TIMER | attempt.number, now + OverloadControl.overloadThreshold(call));
        }
        actions.send(call.id, server.entry.id(), timeout);
    }

    /** Handles a due timer: watch retry, dispatch retry, overload signal, or a slow call that may be hedged. */
    @Override
    public void timer(double now, long token) {
        if (token == WATCH_TOKEN) {
            actions.watch(true);
            return;
        }
        Call call = calls.get(token >>> 8);
        int number = (int) (token & 0xff);
        if (call == null) {
            return;
        }
        if (call.done) {
            removeIfSettled(call, now);
        } else if (number == HOLD_TIMER && call.attempts.isEmpty()) {
            dispatch(call, now);
        } else if (number >= OVERLOAD_TIMER && number < HOLD_TIMER) {
            // Overload is reported when a call becomes overdue; until it ends, many more calls would queue up.
            Attempt attempt = call.attempts.get(number - OVERLOAD_TIMER);
            if (attempt.result == null && !attempt.streaming) {
                attempt.countedAsOverload = true;
                OverloadControl.observe(call, false, now);
            }
        } else if (!call.streaming
                && call.attempts.size() == number + 1
                && call.attempts.get(number).result == null
                && extraAttemptBudget >= 1
                && call.record.placementHead.pressure < MAX_HEDGING_PRESSURE
                && call.usefulUntil - now > LatencyEstimate.expected(call)) {
            Server server = draw(call, true, now);
            if (server != null) {
                extraAttemptBudget -= 1;
                send(call, server, now);
            }
        }
    }

    // ---- Outcomes ----------------------------------------------------------------------------------

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        Call call = calls.get(outcome.requestId());
        if (call == null
                || outcome.attempt() >= call.attempts.size()
                || call.attempts.get(outcome.attempt()).result != null) {
            return;
        }
        Attempt attempt = call.attempts.get(outcome.attempt());
        attempt.result = outcome.result();
        attempt.server.inFlight.remove(attempt);
        call.running--;
        if (outcome.result() == Result.TIMEOUT
                || outcome.result() == Result.RESET
                || outcome.result() == Result.CANCELLED) {
            call.mayRunUntil = now + call.view.settings.rules().orderSettle();
        }
        recordOutcome(attempt, outcome, now);
        boolean inTime = outcome.elapsed() < OverloadControl.overloadThreshold(call);
        // A fast failure indicates an unhealthy server rather than overload; shedding load would not help.
        boolean unhealthy = inTime
                && (outcome.result() == Result.ERROR
                        || outcome.result() == Result.RESET
                        || outcome.result() == Result.CONNECT_FAILED);
        if (settings().tier() == 0
                && !attempt.countedAsOverload
                && outcome.result() != Result.CANCELLED
                && !unhealthy) {
            OverloadControl.observe(call, outcome.result() == Result.OK && inTime, now);
        }
        if (outcome.result() == Result.OK && attempt.number > 0) {
            // A retry that succeeds indicates unhealthy servers rather than overload, so the budget is refilled.
            extraAttemptBudget = Math.min(extras.saved, extraAttemptBudget + extras.redraw);
        }
        closeIdleIfTableFull(attempt.server, outcome.result(), now);
        if (staleList.onOutcome(attempt.server, outcome.result(), settings(), now)) {
            actions.watch(true);
        }
        if (outcome.closed() || call.done) {
            finishCall(call, now);
        } else if (call.running == 0) {
            retryOrAnswer(call, outcome.result(), now);
        }
    }

    /**
     * Idle connections of many balancers can fill a server's connection table, so that the server rejects callers
     * although it has capacity. After a failed connect this instance closes its idle connections to that server, for as
     * long as an idle connection lives. Connections to other servers stay open, as the failed connect may also mean
     * that the server is down.
     */
    private void closeIdleIfTableFull(Server server, Result result, double now) {
        if (result == Result.CONNECT_FAILED) {
            server.tableFullUntil = now + settings().limits().connectionIdle();
        }
        if (now < server.tableFullUntil && server.inFlight.isEmpty()) {
            actions.closeIdle(server.entry.id());
        }
    }

    /** Dispatches another attempt if the budget allows it; otherwise gives the final answer. */
    private void retryOrAnswer(Call call, Result result, double now) {
        double budgetCost = result.neverRan() ? extras.redraw : 1;
        if (result == Result.NOT_SENT || extraAttemptBudget < budgetCost) {
            refuseOrFail(call, now);
        } else {
            extraAttemptBudget -= budgetCost;
            dispatch(call, now);
        }
    }

    /** Gives the final answer of rule 1: a refusal only if the client can safely retry, otherwise a failure. */
    private void refuseOrFail(Call call, double now) {
        if (AttemptRules.mayRefuse(call)) {
            actions.refuse(call.id, call.limits().retryAfter() ? adviseRetryAfter(call) : 0);
        } else {
            actions.fail(call.id);
        }
        finishCall(call, now);
    }

    /** The retry-after advice for a refused client in ms; grows with the pressure. */
    private double adviseRetryAfter(Call call) {
        double maxRetryAfter = Math.min(call.limits().maxRetryAfter(), MAX_RETRY_AFTER_AIM_SHARE * call.type.aim());
        return Math.min(maxRetryAfter, DISPATCH_RETRY_MS + maxRetryAfter * call.record.placementHead.pressure);
    }

    /** Marks the request as answered and cancels its attempts in flight, as their work would be wasted. */
    private void finishCall(Call call, double now) {
        for (Attempt attempt : call.attempts) {
            if (!call.done
                    && attempt.result == null
                    && !attempt.streaming
                    && call.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
        call.done = true;
        removeIfSettled(call, now);
    }

    private void removeIfSettled(Call call, double now) {
        if (call.running > 0) {
            return;
        }
        if (call.queue != null && now < call.mayRunUntil) {
            actions.setTimer(call.id << 8 | HOLD_TIMER, call.mayRunUntil);
        } else if (calls.remove(call.id) != null && call.queue != null) {
            Call next = queues.remove(call);
            if (next != null) {
                dispatch(next, now);
            }
        }
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        Call call = calls.get(requestId);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
            call.attempts.get(attempt).streaming = true;
            LatencyEstimate.observe(call.attempts.get(attempt), elapsed);
        }
    }

    @Override
    public void clientGone(double now, long requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            finishCall(call, now);
        }
    }

    // ---- Server statistics --------------------------------------------------------------------------

    /**
     * Counts served calls as successes; errors, rejections, timeouts, failed and reset connections lower the success
     * share.
     */
    private void recordOutcome(Attempt attempt, Outcome outcome, double now) {
        Server server = attempt.server;
        Result result = outcome.result();
        // A cancelled copy counts only if it was overdue, and then like a timeout.
        boolean tooEarly = result == Result.CANCELLED && outcome.elapsed() <= LatencyEstimate.slowAfter(attempt.call);
        if (result == Result.NOT_SENT || tooEarly) {
            return;
        }
        server.decay(now);
        server.countOutcome(attempt.call.record.index, result == Result.OK);
        if (result == Result.OK) {
            if (!attempt.streaming) {
                LatencyEstimate.observe(attempt, outcome.elapsed());
            }
        } else if (result == Result.CANCELLED || result == Result.TIMEOUT) {
            LatencyEstimate.observeAbandoned(attempt.call.record);
        }
    }

    // ---- Server list -------------------------------------------------------------------------------

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        staleList.onAnswer(!upstreams.isEmpty(), settings(), now);
        if (change == Change.FAILED) {
            double wait = WATCH_RETRY_SHARE * (1 + random.nextDouble());
            actions.setTimer(WATCH_TOKEN, now + wait * settings().rules().askEvery());
        } else {
            servers.update(change, upstreams, slowStart, random, now);
        }
    }
}
