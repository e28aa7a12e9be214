package sablehinge.dataplane.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Outcome;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * Owns the decision module: reports events to it, executes its actions, and sees to it that each request has exactly
 * one final answer. It decides nothing itself and knows no protocol. One thread owns it with all that it calls, so
 * nothing is locked.
 */
public final class RequestProxy implements LoadBalancer.Actions {

    private static final Logger LOG = LoggerFactory.getLogger(RequestProxy.class);
    private final Clock clock;
    private final Timers timers;
    private final LoadBalancer balancer;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final DecisionQueue decisions = new DecisionQueue(this::setDeferredTimers, this::onModuleFailure);
    private final RequestAdmission admission = new RequestAdmission();
    private Transport transport;
    private Registry registry;
    private Version version;
    private Observer observer;
    private Tracer tracer = Tracer.OFF;
    private ChainBudgets budgets;
    private RetryLimiter retryLimiter;
    /** Versions that are not forgotten yet, by their numbers. */
    private final LiveVersions versions = new LiveVersions();

    private long lastId;
    private final ProxyShutdown shutdown;

    /** A core with the given module, which is handed its actions. */
    public RequestProxy(Clock clock, Timers timers, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.clock = clock;
        this.timers = timers;
        balancer = module.apply(this);
        shutdown = new ProxyShutdown(clock, timers, exchanges.values(), this::abort);
    }

    /** Begins to decide with a first version and the servers as they were last known. */
    public void start(Version first, long seed, Roster known, Transport attemptTransport, Registry source) {
        version = first;
        versions.adopt(first);
        transport = attemptTransport;
        registry = source;
        transport.adopt(first);
        transport.update(known);
        decisions.call(null, () -> balancer.start(clock.now(), first.settings(), seed));
        List<Upstream> upstreams = known.upstreams();
        decisions.call(null, () -> balancer.upstreamsChanged(clock.now(), Change.CACHED, upstreams));
    }

    /** The version under which a request arrives now. */
    public Version version() {
        return version;
    }

    /**
     * Lets requests arrive under another version from now on, or again under one that was not released. Those that have
     * arrived keep theirs.
     *
     * @param servers the complete list of the servers of that version
     */
    public void adopt(Version next, Roster servers) {
        version = next;
        tracer.note(TraceEvent.VERSION, 0, 0, next.number());
        versions.adopt(next);
        List<Upstream> upstreams = servers.upstreams();
        transport.adopt(next);
        transport.update(servers);
        decisions.call(null, () -> balancer.adopt(clock.now(), next.settings()));
        decisions.call(null, () -> balancer.upstreamsChanged(clock.now(), Change.FULL, upstreams));
    }

    /** Nothing goes back to a version: it is forgotten with the last request that arrived under it. */
    public void release(int number) {
        versions.release(number);
        forgetIfUnused(number);
    }

    private void forgetIfUnused(int number) {
        Version unused = versions.removeIfUnused(number, version);
        if (unused != null) {
            decisions.call(null, () -> balancer.forget(clock.now(), unused.settings()));
        }
    }

    /**
     * Servers that a source which is not the current one's says are draining or gone: requests of an older version must
     * not go there either.
     */
    public void updateDraining(Roster draining) {
        transport.update(draining);
    }

    /** How many versions there are under which requests arrive, may arrive again, or are at work. */
    public int versions() {
        return versions.size();
    }

    /** Requests that are not forgotten yet. */
    public int requests() {
        return exchanges.size();
    }

    /** The process is about to end: from now on nothing begins that could not be answered before that. */
    public void drain(ShutdownDeadlines deadlines) {
        shutdown.begin(deadlines);
        transport.drain(deadlines);
    }

    /** Names who sees every answer; null for nobody. */
    public void setObserver(Observer newObserver) {
        observer = newObserver;
    }

    /** Sets the tracer of each step of each request. */
    public void setTracer(Tracer newTracer) {
        tracer = newTracer;
    }

    /** Each request that is past its deadline by so many ms and not forgotten yet, by its number. */
    public void forEachOverdue(double overdueMs, LongConsumer action) {
        double latest = clock.now() - overdueMs;
        for (Exchange exchange : exchanges.values()) {
            if (exchange.deadline < latest) {
                action.accept(exchange.id);
            }
        }
    }

    /** Switches budgets on for what arrives from now on. */
    public void setBudgets(ChainBudgets chainBudgets) {
        budgets = chainBudgets;
        admission.setBudgets(chainBudgets);
        chainBudgets.start(timers, clock);
    }

    /** Names who bounds attempts beyond those that reached nobody, for what arrives from now on. */
    public void setRetryLimiter(RetryLimiter limiter) {
        retryLimiter = limiter;
    }

    /** The time, in ms of the clock that all of the program reads. */
    public double now() {
        return clock.now();
    }

    // ---- What happens ------------------------------------------------------------------------------

    /** While an attempt waits for the rest of its request, so do the timers about it. */
    private void setDeferredTimers(Exchange about) {
        if (about != null && !about.waits.isEmpty() && about.running == 0) {
            setWaiting(about);
        }
    }

    /** A call of the module broke off: what it was about fails, as nobody knows what has run. */
    private void onModuleFailure(Exchange about, Throwable cause) {
        Log.error(LOG, "module-failed").setCause(cause).log("the decision module failed");
        if (about != null && about.isOpen()) {
            abort(about, Answer.Kind.BROKEN);
        }
    }

    /** Answers a request over the module's head and tells it that the client waits no more. */
    private void abort(Exchange exchange, Answer.Kind kind) {
        abort(exchange, Answer.of(kind));
    }

    private void abort(Exchange exchange, Answer last) {
        answer(exchange, last);
        exchange.attempts.forEach(RequestProxy::cancel);
        decisions.call(null, () -> balancer.clientGone(clock.now(), exchange.id));
        settle(exchange);
    }

    /** What has become of a call to the registry; the list is null if it failed. */
    public void onRosterChanged(Change change, Roster roster) {
        List<Upstream> upstreams = roster == null ? List.of() : roster.upstreams();
        tracer.note(TraceEvent.SERVERS, 0, 0, roster == null ? -1 : upstreams.size());
        if (roster != null) {
            transport.update(roster);
        }
        decisions.call(null, () -> balancer.upstreamsChanged(clock.now(), change, upstreams));
    }

    /**
     * Takes a request in, which from here on is owed exactly one answer.
     *
     * @param arrivedUnder the version by which the arrival was read, which must not be forgotten
     * @param payload handed over: released once the request is forgotten
     * @return the request; its answer may have been given already
     */
    public Exchange request(Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        return request(arrivedUnder, arrival, payload, caller, false);
    }

    /**
     * Takes a request in that is still coming, to be sent on meanwhile. Its time, by which its answer, its attempt and
     * the module's timers about it count, begins with {@link #requestComplete}.
     *
     * @param arrival its deadline is what it would be if the request ended now
     */
    public Exchange requestStreaming(Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        return request(arrivedUnder, arrival, payload, caller, true);
    }

    /** The last of a request that was coming has come. */
    public void requestComplete(Exchange exchange) {
        if (!exchange.coming) {
            return;
        }
        double now = clock.now();
        exchange.coming = false;
        exchange.endedAt = now;
        exchange.deadline = now + exchange.remaining;
        if (exchange.isOpen()) {
            watchOver(exchange);
        }
        setWaiting(exchange);
        for (Transport.Attempt attempt : exchange.attempts) {
            if (attempt != null) {
                attempt.waitUntil(now + exchange.queueTimeoutMs);
            }
        }
    }

    private void watchOver(Exchange exchange) {
        double latest = exchange.deadline + exchange.version.settings().rules().answerGrace() / 2;
        exchange.overdue = timers.at(latest, () -> overdue(exchange));
    }

    private void setWaiting(Exchange exchange) {
        for (Exchange.Wait wait : exchange.waits) {
            setTimer(exchange.id, wait.token(), clock.now() + wait.delay());
        }
        exchange.waits.clear();
    }

    private Exchange request(Version arrivedUnder, Arrival given, Payload payload, Caller caller, boolean coming) {
        if (!shutdown.mayStart()) {
            return refuse(shutdown.refusal(), arrivedUnder, given, payload, caller);
        }
        RequestAdmission.Decision decision = admission.decide(clock.now(), arrivedUnder, given, exchanges.size());
        if (decision.refusal() != null) {
            return refuse(decision.refusal(), arrivedUnder, given, payload, caller);
        }
        Arrival arrival = decision.arrival();
        Exchange exchange = new Exchange(++lastId, arrivedUnder, arrival, payload, clock.now(), caller);
        exchange.budget = decision.budget();
        exchanges.put(exchange.id, exchange);
        tracer.note(TraceEvent.ARRIVED, 0, exchange.id, exchange.serviceClass);
        versions.requestBegan(arrivedUnder.number());
        if (coming) {
            exchange.coming = true;
            exchange.deadline = Double.POSITIVE_INFINITY;
        } else {
            watchOver(exchange);
        }
        decisions.call(exchange, () -> arrives(exchange, arrival));
        return exchange;
    }

    /** Answers at once what is not taken in. */
    private Exchange refuse(Answer refusal, Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        Exchange exchange = new Exchange(++lastId, arrivedUnder, arrival, payload, clock.now(), caller);
        answer(exchange, refusal);
        payload.release();
        return exchange;
    }

    /** The module takes arrivals under the settings that it adopted last, so it goes back for one call. */
    private void arrives(Exchange exchange, Arrival arrival) {
        boolean late = exchange.version != version;
        if (late) {
            balancer.adopt(clock.now(), exchange.version.settings());
        }
        try {
            balancer.request(
                    clock.now(),
                    arrival.withId(exchange.id, exchange.budget == null ? 0 : exchange.budget.maxAttempts()));
        } finally {
            if (late) {
                balancer.adopt(clock.now(), version.settings());
            }
        }
    }

    /** The module has left a request without its answer; it must not stay so. */
    private void overdue(Exchange exchange) {
        if (exchange.isOpen()) {
            Log.warn(LOG, "request-unanswered")
                    .addKeyValue("request", exchange.id)
                    .log("a request was left without an answer");
            abort(exchange, Answer.Kind.UNANSWERED);
        }
    }

    /** The client has left. */
    public void clientGone(Exchange exchange) {
        if (exchange.isOpen()) {
            exchange.close();
            decisions.call(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
            cancelBegun(exchange);
            settle(exchange);
        }
    }

    /**
     * Ends what still waits for an answer, as the process is about to end: refuses what no upstream can have run, and
     * fails the rest.
     *
     * @return how many requests that were
     */
    public int abortAll() {
        return shutdown.abortAll();
    }

    /**
     * The module leaves alone what has begun, as streams are on their way to their callers. These are not: without this
     * one would go on to its deadline though another has answered, or nobody waits any more.
     */
    private static void cancelBegun(Exchange exchange) {
        if (!exchange.isOpen() && exchange.version.settings().limits().cancel()) {
            for (Integer number : List.copyOf(exchange.begun)) {
                cancel(exchange.attempts.get(number));
            }
        }
    }

    /** The first byte of an answer has come, after a latency in ms. */
    void answerBegins(Exchange exchange, int number, double elapsedMs) {
        decisions.call(exchange, () -> balancer.streamStarted(clock.now(), exchange.id, number, elapsedMs));
        cancelBegun(exchange);
    }

    /** An attempt that went out has ended. */
    void attemptEnded(SentAttempt sent, double begunAt, AttemptResult result) {
        if (retryLimiter != null && result.result().neverRan()) {
            sent.exchange.reachedNobody();
        }
        finished(sent, begunAt, result);
    }

    /** Whether an attempt may begin now, as far as the end of the process lets it. */
    boolean mayStart() {
        return shutdown.mayStart();
    }

    /** Sends an attempt now. */
    Transport.Attempt sendNow(SentAttempt sent, double until, AttemptBudgets.Grant grant) {
        Exchange exchange = sent.exchange;
        tracer.note(TraceEvent.CHOSEN, 0, exchange.id, sent.upstream);
        return transport.send(exchange.version, sent.upstream, exchange.request, until, grant, sent);
    }

    /** An attempt is over, whether it went out or not. */
    void finished(SentAttempt sent, double begunAt, AttemptResult end) {
        Exchange exchange = sent.exchange;
        int number = sent.number;
        exchange.running--;
        exchange.begun.remove((Integer) number);
        tracer.note(TraceEvent.ATTEMPT_ENDED, 0, exchange.id, end.result().ordinal());
        if (budgets != null) {
            budgets.attemptFinished(clock.now(), sent, end);
        }
        if (end.result() == Result.OK) {
            answer(exchange, new Answer(Answer.Kind.SERVED, end.payload(), 0));
        } else if (end.result() == Result.ERROR && exchange.isOpen() && end.payload() != Payload.NONE) {
            exchange.failed(end.payload().retain());
        }
        double from = Math.max(sent.at, exchange.endedAt);
        double until = end.result() == Result.OK && begunAt >= from ? begunAt : clock.now();
        decisions.call(
                exchange,
                () -> balancer.attemptFinished(
                        clock.now(),
                        new Outcome(
                                exchange.id,
                                number,
                                sent.upstream,
                                end.result(),
                                !exchange.isOpen(),
                                until - from,
                                end.report())));
        cancelBegun(exchange);
        settle(exchange);
    }

    /** Forgets a request once nothing more can come of it. */
    private void settle(Exchange exchange) {
        if (!exchange.isOpen() && exchange.running == 0 && exchanges.remove(exchange.id) != null) {
            if (exchange.budget != null) {
                budgets.close(exchange);
            }
            exchange.request.release();
            exchange.failed(Payload.NONE);
            int number = exchange.version.number();
            versions.requestEnded(number);
            forgetIfUnused(number);
        }
    }

    // ---- What the module asks for ------------------------------------------------------------------

    @Override
    public void send(long requestId, long upstream, double timeout) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        double now = clock.now();
        SentAttempt sent = new SentAttempt(this, exchange, exchange.sends++, upstream, now);
        exchange.running++;
        if (!maySend(sent, now)) {
            exchange.grants.add(null);
            notSent(sent);
            return;
        }
        AttemptBudgets.Grant grant = null;
        if (exchange.budget != null) {
            grant = budgets.take(exchange, now);
            exchange.grants.add(grant);
            if (grant == null) {
                notSent(sent);
                return;
            }
        }
        double deadline = exchange.coming ? now + exchange.remaining : exchange.deadline;
        double until = timeout == 0 ? deadline : Math.min(deadline, now + timeout);
        exchange.queueTimeoutMs = until - now;
        if (retryLimiter != null && exchange.reached > 0) {
            DeferredAttempt waiting = new DeferredAttempt(this, sent, until);
            exchange.attempts.add(waiting);
            retryLimiter.acquire(exchange.version, exchange.serviceClass, exchange.running > 1, waiting);
            return;
        }
        exchange.reaches(null);
        exchange.attempts.add(sendNow(sent, until, grant));
    }

    /** Whether an attempt that the module asks for may go out at all. */
    private boolean maySend(SentAttempt sent, double now) {
        Exchange exchange = sent.exchange;
        return exchange.isOpen()
                && shutdown.mayStart()
                && now < exchange.deadline
                && sent.number < exchange.version.settings().limits().maxAttempts()
                && exchange.request.canBeSent()
                && (!exchange.coming || exchange.running == 1)
                && (retryLimiter == null || !exchange.isSpent());
    }

    private void notSent(SentAttempt sent) {
        sent.exchange.attempts.add(null);
        finished(sent, Double.NaN, AttemptResult.without(Result.NOT_SENT));
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        answer(requestId, new Answer(Answer.Kind.REFUSED, Payload.NONE, retryAfter));
    }

    @Override
    public void fail(long requestId) {
        answer(requestId, Answer.of(Answer.Kind.FAILED));
    }

    private void answer(long requestId, Answer answer) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            answer(exchange, answer);
            settle(exchange);
        }
    }

    private void answer(Exchange exchange, Answer answer) {
        String name = observer == null ? null : exchange.requestName();
        if (exchange.isOpen()) {
            tracer.note(TraceEvent.ANSWERED, 0, exchange.id, answer.kind().ordinal());
        }
        Answer given = answer.payload() == Payload.NONE && exchange.failure != Payload.NONE
                ? new Answer(Answer.Kind.FAILED, exchange.failure, 0)
                : answer;
        if (exchange.answer(exchange.budget == null ? given : given.with(budgets.close(exchange, answer.kind())))
                && observer != null) {
            observer.answered(
                    name,
                    exchange.version,
                    exchange.serviceClass,
                    answer.kind(),
                    exchange.sends,
                    clock.now() - exchange.arrivedAt);
        }
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            cancel(exchange.attempts.get(attempt));
        }
    }

    private static void cancel(Transport.Attempt attempt) {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void healthCheck(long upstream) {
        double sentAt = clock.now();
        tracer.note(TraceEvent.PROBED, 0, 0, upstream);
        transport.healthCheck(
                version,
                upstream,
                sentAt + version.settings().limits().connectTimeout() * 2,
                end -> decisions.call(
                        null,
                        () -> balancer.healthCheckResult(
                                clock.now(), upstream, end.result(), clock.now() - sentAt, end.report())));
    }

    @Override
    public void closeIdle(long upstream) {
        transport.closeIdle(upstream);
    }

    @Override
    public void fetch() {
        registry.fetch();
    }

    @Override
    public void watch(boolean on) {
        registry.watch(on);
    }

    @Override
    public void setTimer(long token, double at) {
        Exchange subject = decisions.subject();
        if (subject != null && subject.coming) {
            subject.waits.add(new Exchange.Wait(token, at - clock.now()));
        } else {
            setTimer(subject == null ? 0 : subject.id, token, at);
        }
    }

    /** The number and not the request itself, which the timer would keep in memory until it is due. */
    private void setTimer(long about, long token, double at) {
        timers.at(at, () -> decisions.call(exchanges.get(about), () -> balancer.timer(clock.now(), token)));
    }

    /** Balancers of this deployment have no way to talk to each other. */
    @Override
    public void tell(int peer, byte[] payload) {
        Log.warn(LOG, "no-peers").log("the module wants to talk to its peers, which it can't here");
    }

    @Override
    public void log(String text) {
        Log.info(LOG, "module").log(text);
    }
}
