package sablehinge.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sablehinge.policy.Call.Attempt;

/**
 * Follows each request: arrival, the draw of a server, the send, the outcome, the next attempt or the final answer.
 * Read {@link LoadBalancer} first: it is the interface.
 *
 * <p>The ordinary path: every server has a cost l ({@link ServerCost}); each call goes to a ready server drawn at
 * random in proportion to 1/l, and each outcome refreshes the evidence behind l. What else is decided stands beside it:
 * which servers a request may go to ({@link AttemptRules}), how much a server gets that has just started
 * ({@link SlowStart}), what is refused under overload ({@link OverloadControl}), the order of requests with a key
 * ({@link KeyQueues}), which servers are listed ({@link ServerList}) and when the list is doubted
 * ({@link StaleListDetector}).
 */
public final class LatencyWeightedBalancer implements LoadBalancer {

    /** Without second copies an attempt that may be repeated is given up after this many such delays. */
    private static final double GIVE_UP = 2;
    /** Least share of the expected latency that must be left for a send. */
    private static final double TOO_LATE = 0.25;
    /** Ms after which a request that finds no server to go to looks again; well below any aim. */
    private static final double LOOK_AGAIN = 20;
    /** Share of its time for which a request is held that finds no server: the rest is its client's. */
    private static final double HOLD_SHARE = 0.45;
    /** Least and, with as much again at random, most wait before the registry is requested again, of askEvery. */
    private static final double ASK_AGAIN = 0.1;

    /** The longest wait advised to a refused client, of its aim: it should come back in good time. */
    private static final double RETURN_SHARE = 0.5;
    /** Above this share of work refused nothing is sent in a second copy: it would deepen the jam. */
    private static final double CALM = 0.05;

    private static final long WATCH_TOKEN = -1;
    private static final int HOLD_TIMER = 0xff;
    private static final int STRAIN_TIMER = 0x80;

    private final Actions actions;
    private final Extras extras;
    private final ServerList servers = new ServerList();
    private final SlowStart slowStart = new SlowStart();
    private final KeyQueues queues = new KeyQueues();
    private final Map<Long, Call> calls = new HashMap<>();
    private StaleListDetector staleList;
    private SplittableRandom random;
    private double extraCalls;
    /** Own calls of late for each ready server. */
    private double evidence;

    /** Creates an instance that asks its host for actions through {@code actions}. */
    public LatencyWeightedBalancer(Actions actions) {
        this(actions, new Extras(0.1, 3, 1, Double.POSITIVE_INFINITY));
    }

    /** Likewise, with other bounds on calls beyond the first. */
    public LatencyWeightedBalancer(Actions actions, Extras extras) {
        this.actions = actions;
        this.extras = extras;
        extraCalls = extras.saved;
    }

    /** Calls beyond the first: earned by a request, kept, taken after no run; aims to hold one. */
    public record Extras(double perRequest, double saved, double redraw, double hold) {}

    @Override
    public void start(double now, Settings given, long seed) {
        random = new SplittableRandom(seed);
        staleList = new StaleListDetector(now);
        adopt(now, given);
        if (given.subscribe()) {
            actions.watch(true);
        }
    }

    // ---- Versions of the settings ------------------------------------------------------------------

    @Override
    public void adopt(double now, Settings given) {
        servers.adopt(given);
        staleList.onSettings(given);
    }

    @Override
    public void forget(double now, Settings old) {
        servers.forget(old);
    }

    private Settings settings() {
        return servers.current().settings;
    }

    // ---- A request arrives -------------------------------------------------------------------------

    @Override
    public void request(double now, Request request) {
        Call call = new Call(request, servers.current(), now);
        calls.put(request.id(), call);
        extraCalls = Math.min(extras.saved, extraCalls + (call.most > 1 ? extras.perRequest : 0));
        if (request.cost() > 0) {
            call.record.hint.add(request.cost());
        }
        // Where a late answer has no value, the work for it is better spent on others.
        double stretched = call.type.aim() + call.type.aimStretch() * request.cost();
        double aim = now + Math.min(call.type.deadline(), stretched);
        call.usefulEnd = call.type.lateValue() > 0 ? request.deadline() : Math.min(request.deadline(), aim);
        if (OverloadControl.shed(call, random)) {
            answerUnserved(call, now);
            return;
        }
        slowStart.earn(call, settings().rules(), now);
        queues.add(call);
        dispatch(call, now);
    }

    /**
     * Sends the next attempt. A request that never ran is held while it waits for its turn, or for a server that is
     * ready, open to it and warm enough; it is refused as soon as that cannot end in time.
     */
    private void dispatch(Call call, double now) {
        double latest = call.usefulEnd - TOO_LATE * LatencyEstimate.expected(call) - KeyQueues.waitBefore(call);
        double held = Math.min(extras.hold * call.type.aim(), HOLD_SHARE * (call.request.deadline() - call.arrivedAt));
        double holdUntil = Math.min(latest, call.arrivedAt + held);
        boolean itsTurn = KeyQueues.isFirst(call);
        Server server = itsTurn && now < latest ? draw(call, true, now) : null;
        if (server != null) {
            send(call, server, now);
        } else if (now < holdUntil && call.attempts.isEmpty()) {
            double again = itsTurn ? Math.min(holdUntil, now + LOOK_AGAIN) : holdUntil;
            actions.setTimer(call.id << 8 | HOLD_TIMER, again);
        } else {
            answerUnserved(call, now);
        }
    }

    // ---- The draw ----------------------------------------------------------------------------------

    /**
     * A ready server at random in proportion to 1/l, or null if none may be used; one that the request has tried only
     * when all have been tried and nothing is out.
     */
    private Server draw(Call call, boolean untried, double now) {
        double total = 0;
        double tries = 0;
        for (Server server : call.view.ready) {
            tries += server.tries;
            boolean usable = AttemptRules.mayGoTo(call, server, now)
                    && !(untried && call.tried(server))
                    && SlowStart.maySend(server, settings().rules(), now);
            server.weight = usable ? 1 / cost(server, call, now) : 0;
            total += server.weight;
        }
        evidence = tries / Math.max(1, call.view.ready.size());
        double point = random.nextDouble() * total;
        Server drawn = null;
        for (Server server : call.view.ready) {
            if (server.weight > 0 && point >= 0) {
                drawn = server;
                point -= server.weight;
            }
        }
        return drawn == null && untried && call.running == 0 ? draw(call, false, now) : drawn;
    }

    private double cost(Server server, Call call, double now) {
        return ServerCost.of(
                server, call, evidence, SlowStart.warmth(server, settings().rules(), now), now);
    }

    // ---- The send ----------------------------------------------------------------------------------

    private void send(Call call, Server server, double now) {
        Attempt attempt = new Attempt(call, server, now);
        double timeout = call.usefulEnd - now;
        double expected = LatencyEstimate.expected(call);
        double slowAfter = LatencyEstimate.slowAfter(call);
        boolean repeatable = call.type.repeat() != Repeat.AT_MOST_ONCE && !call.type.streamed();
        if (repeatable && call.limits().parallel() && slowAfter + expected < timeout) {
            actions.setTimer(call.id << 8 | attempt.number, now + slowAfter);
        } else if (repeatable && extraCalls >= 1 && GIVE_UP * slowAfter + expected < timeout) {
            timeout = GIVE_UP * slowAfter;
        }
        call.attempts.add(attempt);
        call.running++;
        server.out.addLast(attempt);
        SlowStart.onSend(server, settings().rules(), now);
        if (settings().tier() == 0) {
            actions.setTimer(call.id << 8 | STRAIN_TIMER | attempt.number, now + OverloadControl.strainedAfter(call));
        }
        actions.send(call.id, server.listed.id(), timeout);
    }

    /** A call is slower than nearly all: a second copy elsewhere, if the budget has one. */
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
            forgetIfSettled(call, now);
        } else if (number == HOLD_TIMER && call.attempts.isEmpty()) {
            dispatch(call, now);
        } else if (number >= STRAIN_TIMER && number < HOLD_TIMER) {
            // Overload is felt when a call becomes overdue: by the time it ends, a crowd has gathered.
            Attempt attempt = call.attempts.get(number - STRAIN_TIMER);
            if (attempt.result == null && !attempt.streaming) {
                attempt.strained = true;
                OverloadControl.observe(call, false, now);
            }
        } else if (!call.streaming
                && call.attempts.size() == number + 1
                && call.attempts.get(number).result == null
                && extraCalls >= 1
                && call.record.leader.pressure < CALM
                && call.usefulEnd - now > LatencyEstimate.expected(call)) {
            Server server = draw(call, true, now);
            if (server != null) {
                extraCalls -= 1;
                send(call, server, now);
            }
        }
    }

    // ---- The outcome -------------------------------------------------------------------------------

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
        attempt.server.out.remove(attempt);
        call.running--;
        if (outcome.result() == Result.TIMEOUT
                || outcome.result() == Result.RESET
                || outcome.result() == Result.CANCELLED) {
            call.restsUntil = now + call.view.settings.rules().orderSettle();
        }
        learn(attempt, outcome, now);
        boolean inGoodTime = outcome.elapsed() < OverloadControl.strainedAfter(call);
        // What breaks at once is a sign of an unhealthy server: to refuse others would not help.
        boolean unhealthy = inGoodTime
                && (outcome.result() == Result.ERROR
                        || outcome.result() == Result.RESET
                        || outcome.result() == Result.CONNECT_FAILED);
        if (settings().tier() == 0 && !attempt.strained && outcome.result() != Result.CANCELLED && !unhealthy) {
            OverloadControl.observe(call, outcome.result() == Result.OK && inGoodTime, now);
        }
        if (outcome.result() == Result.OK && attempt.number > 0) {
            // It served where another did not: unhealthy servers, not overload, so as many again are due.
            extraCalls = Math.min(extras.saved, extraCalls + extras.redraw);
        }
        freeConnection(attempt.server, outcome.result(), now);
        if (staleList.onOutcome(attempt.server, outcome.result(), settings(), now)) {
            actions.watch(true);
        }
        if (outcome.closed() || call.done) {
            over(call, now);
        } else if (call.running == 0) {
            tryAgain(call, outcome.result(), now);
        }
    }

    /**
     * Idle connections of many balancers fill a server's table, and it turns callers away though it has time to spare.
     * Whoever meets a full table gives back what it does not use there, as long as idle ones last. Elsewhere
     * connections stay: a failed connect may as well mean that a server is down.
     */
    private void freeConnection(Server server, Result result, double now) {
        if (result == Result.CONNECT_FAILED) {
            server.crowdedUntil = now + settings().limits().connectionIdle();
        }
        if (now < server.crowdedUntil && server.out.isEmpty()) {
            actions.closeIdle(server.listed.id());
        }
    }

    /** Another attempt if rule, time and budget allow; otherwise the final answer. */
    private void tryAgain(Call call, Result result, double now) {
        double price = result.neverRan() ? extras.redraw : 1;
        if (result == Result.NOT_SENT || extraCalls < price) {
            answerUnserved(call, now);
        } else {
            extraCalls -= price;
            dispatch(call, now);
        }
    }

    /** Rule 1's one final answer: a refusal only where trying again is known to be harmless. */
    private void answerUnserved(Call call, double now) {
        if (AttemptRules.mayRefuse(call)) {
            actions.refuse(call.id, call.limits().retryAfter() ? comeBackAfter(call) : 0);
        } else {
            actions.fail(call.id);
        }
        over(call, now);
    }

    /** When a refused client ought to return: the later, the more has to go before there is room for it. */
    private double comeBackAfter(Call call) {
        double longest = Math.min(call.limits().maxRetryAfter(), RETURN_SHARE * call.type.aim());
        return Math.min(longest, LOOK_AGAIN + longest * call.record.leader.pressure);
    }

    /** The request has its answer: copies still out only waste work. */
    private void over(Call call, double now) {
        for (Attempt attempt : call.attempts) {
            if (!call.done
                    && attempt.result == null
                    && !attempt.streaming
                    && call.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
        call.done = true;
        forgetIfSettled(call, now);
    }

    private void forgetIfSettled(Call call, double now) {
        if (call.running > 0) {
            return;
        }
        if (call.queue != null && now < call.restsUntil) {
            actions.setTimer(call.id << 8 | HOLD_TIMER, call.restsUntil);
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
            over(call, now);
        }
    }

    // ---- The evidence behind l ---------------------------------------------------------------------

    /** Served calls succeed; errors, full, time-outs, failed and reset connections count against s. */
    private void learn(Attempt attempt, Outcome outcome, double now) {
        Server server = attempt.server;
        Result result = outcome.result();
        // The copy that lost is evidence only when overdue, and then the same as a time-out.
        boolean tooEarly = result == Result.CANCELLED && outcome.elapsed() <= LatencyEstimate.slowAfter(attempt.call);
        if (result == Result.NOT_SENT || tooEarly) {
            return;
        }
        server.fade(now);
        server.count(attempt.call.record.index, result == Result.OK);
        if (result == Result.OK) {
            if (!attempt.streaming) {
                LatencyEstimate.observe(attempt, outcome.elapsed());
            }
        } else if (result == Result.CANCELLED || result == Result.TIMEOUT) {
            LatencyEstimate.observeGivenUp(attempt.call.record);
        }
    }

    // ---- The list of servers -----------------------------------------------------------------------

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        staleList.onAnswer(!upstreams.isEmpty(), settings(), now);
        if (change == Change.FAILED) {
            double wait = ASK_AGAIN * (1 + random.nextDouble());
            actions.setTimer(WATCH_TOKEN, now + wait * settings().rules().askEvery());
        } else {
            servers.update(change, upstreams, slowStart, random, now);
        }
    }
}
