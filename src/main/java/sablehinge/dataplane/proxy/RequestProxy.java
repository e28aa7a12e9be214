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
 * Owns the decision module: reports events to it, executes its actions, and ensures that each request receives exactly
 * one final answer. It makes no load-balancing decisions itself and is independent of protocols. A single thread owns
 * it and everything that it calls, so it needs no locks.
 */
public final class RequestProxy implements LoadBalancer.Actions {

    private static final Logger LOG = LoggerFactory.getLogger(RequestProxy.class);
    private final Clock clock;
    private final Timers timers;
    private final LoadBalancer balancer;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final DecisionQueue decisions = new DecisionQueue(this::setTimersIfNoneInFlight, this::onModuleFailure);
    private final RequestAdmission admission = new RequestAdmission();
    private Transport transport;
    private Registry registry;
    private Version version;
    private Observer observer;
    private Tracer tracer = Tracer.OFF;
    private ChainBudgets budgets;
    private RetryLimiter retryLimiter;
    /** The configuration versions in use. */
    private final LiveVersions versions = new LiveVersions();

    private long lastId;
    private final ProxyShutdown shutdown;

    /** Creates a proxy; {@code module} creates the decision module from the actions that it may take. */
    public RequestProxy(Clock clock, Timers timers, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.clock = clock;
        this.timers = timers;
        balancer = module.apply(this);
        shutdown = new ProxyShutdown(clock, timers, exchanges.values(), this::abort);
    }

    /** Starts the proxy with a first version and the last known servers. */
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

    /** The version under which requests arrive now. */
    public Version version() {
        return version;
    }

    /**
     * Adopts a new version, or one that was not released, for requests that arrive from now on. Earlier requests retain
     * their version.
     *
     * @param servers the complete server list of that version
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

    /**
     * Releases a version, which will not be adopted again: it is removed with the last request that arrived under it.
     */
    public void release(int number) {
        versions.release(number);
        removeIfUnused(number);
    }

    private void removeIfUnused(int number) {
        Version unused = versions.removeIfUnused(number, version);
        if (unused != null) {
            decisions.call(null, () -> balancer.forget(clock.now(), unused.settings()));
        }
    }

    /**
     * Reports servers that are draining or have left, from a source other than the current one: requests of older
     * versions must not be sent there either.
     */
    public void updateDraining(Roster draining) {
        transport.update(draining);
    }

    /** The number of versions under which requests arrive, may arrive again, or are in flight. */
    public int versions() {
        return versions.size();
    }

    /** The number of requests that are not removed yet. */
    public int requests() {
        return exchanges.size();
    }

    /** Begins the shutdown: from now on no attempt starts that could not be answered before the process ends. */
    public void drain(ShutdownDeadlines deadlines) {
        shutdown.begin(deadlines);
        transport.drain(deadlines);
    }

    /** Sets the observer of every answer; null for none. */
    public void setObserver(Observer newObserver) {
        observer = newObserver;
    }

    /** Sets the tracer, which receives an event for each step of each request. */
    public void setTracer(Tracer newTracer) {
        tracer = newTracer;
    }

    /** Passes the number of each request that exceeds its deadline by {@code overdueMs} and is not removed yet. */
    public void forEachOverdue(double overdueMs, LongConsumer action) {
        double latest = clock.now() - overdueMs;
        for (Exchange exchange : exchanges.values()) {
            if (exchange.deadline < latest) {
                action.accept(exchange.id);
            }
        }
    }

    /** Enables budgets for requests that arrive from now on. */
    public void setBudgets(ChainBudgets chainBudgets) {
        budgets = chainBudgets;
        admission.setBudgets(chainBudgets);
        chainBudgets.start(timers, clock);
    }

    /** Sets the limiter of further attempts, for requests that arrive from now on. */
    public void setRetryLimiter(RetryLimiter limiter) {
        retryLimiter = limiter;
    }

    /** The current time, in ms of the clock shared by the whole program. */
    public double now() {
        return clock.now();
    }

    // ---- Events ------------------------------------------------------------------------------------

    /** Sets the deferred timers of a request unless an attempt is waiting for the rest of it. */
    private void setTimersIfNoneInFlight(Exchange exchange) {
        if (exchange != null && !exchange.deferredTimers.isEmpty() && exchange.runningAttempts == 0) {
            setDeferredTimers(exchange);
        }
    }

    /** The module threw an exception: fails the request concerned, as it is unknown what has run. */
    private void onModuleFailure(Exchange exchange, Throwable cause) {
        Log.error(LOG, "module-failed").setCause(cause).log("the decision module failed");
        if (exchange != null && exchange.isOpen()) {
            abort(exchange, Answer.Kind.BROKEN);
        }
    }

    /** Answers a request without the module, and reports to the module that the client is gone. */
    private void abort(Exchange exchange, Answer.Kind kind) {
        abort(exchange, Answer.of(kind));
    }

    private void abort(Exchange exchange, Answer answer) {
        answer(exchange, answer);
        exchange.attempts.forEach(RequestProxy::cancel);
        decisions.call(null, () -> balancer.clientGone(clock.now(), exchange.id));
        settle(exchange);
    }

    /** Handles the result of a call to the registry; {@code roster} is null if the call failed. */
    public void onRosterChanged(Change change, Roster roster) {
        List<Upstream> upstreams = roster == null ? List.of() : roster.upstreams();
        tracer.note(TraceEvent.SERVERS, 0, 0, roster == null ? -1 : upstreams.size());
        if (roster != null) {
            transport.update(roster);
        }
        decisions.call(null, () -> balancer.upstreamsChanged(clock.now(), change, upstreams));
    }

    /**
     * Accepts a request, which receives exactly one answer.
     *
     * @param arrivedUnder the version by which the arrival was read, which must still be in use
     * @param payload ownership is transferred: released once the request is removed
     * @return the request; its answer may have been passed already
     */
    public Exchange request(Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        return request(arrivedUnder, arrival, payload, caller, false);
    }

    /**
     * Accepts a request that is still being received, to be streamed to a server meanwhile. The timeouts of its answer,
     * of its attempt and of the module's timers for it start at {@link #requestComplete}.
     *
     * @param arrival its deadline is the one that would apply if the request were complete now
     */
    public Exchange requestStreaming(Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        return request(arrivedUnder, arrival, payload, caller, true);
    }

    /** Handles the end of a streamed request. */
    public void requestComplete(Exchange exchange) {
        if (!exchange.receiving) {
            return;
        }
        double now = clock.now();
        exchange.receiving = false;
        exchange.receivedAt = now;
        exchange.deadline = now + exchange.timeoutMs;
        if (exchange.isOpen()) {
            scheduleOverdueCheck(exchange);
        }
        setDeferredTimers(exchange);
        for (Transport.Attempt attempt : exchange.attempts) {
            if (attempt != null) {
                attempt.waitUntil(now + exchange.queueTimeoutMs);
            }
        }
    }

    private void scheduleOverdueCheck(Exchange exchange) {
        double latest = exchange.deadline + exchange.version.settings().rules().answerGrace() / 2;
        exchange.overdueTimer = timers.at(latest, () -> answerOverdue(exchange));
    }

    private void setDeferredTimers(Exchange exchange) {
        for (Exchange.DeferredTimer timer : exchange.deferredTimers) {
            setTimer(exchange.id, timer.token(), clock.now() + timer.delayMs());
        }
        exchange.deferredTimers.clear();
    }

    private Exchange request(
            Version arrivedUnder, Arrival requested, Payload payload, Caller caller, boolean streaming) {
        if (!shutdown.mayStart()) {
            return refuse(shutdown.refusal(), arrivedUnder, requested, payload, caller);
        }
        RequestAdmission.Decision decision = admission.decide(clock.now(), arrivedUnder, requested, exchanges.size());
        if (decision.refusal() != null) {
            return refuse(decision.refusal(), arrivedUnder, requested, payload, caller);
        }
        Arrival arrival = decision.arrival();
        Exchange exchange = new Exchange(++lastId, arrivedUnder, arrival, payload, clock.now(), caller);
        exchange.budget = decision.budget();
        exchanges.put(exchange.id, exchange);
        tracer.note(TraceEvent.ARRIVED, 0, exchange.id, exchange.serviceClass);
        versions.requestBegan(arrivedUnder.number());
        if (streaming) {
            exchange.receiving = true;
            exchange.deadline = Double.POSITIVE_INFINITY;
        } else {
            scheduleOverdueCheck(exchange);
        }
        decisions.call(exchange, () -> passToModule(exchange, arrival));
        return exchange;
    }

    /** Answers a request that is not admitted. */
    private Exchange refuse(Answer refusal, Version arrivedUnder, Arrival arrival, Payload payload, Caller caller) {
        Exchange exchange = new Exchange(++lastId, arrivedUnder, arrival, payload, clock.now(), caller);
        answer(exchange, refusal);
        payload.release();
        return exchange;
    }

    /**
     * Passes a request to the module. The module reads requests by the settings that it adopted last, so for a request
     * of an older version those are adopted for this one call.
     */
    private void passToModule(Exchange exchange, Arrival arrival) {
        boolean olderVersion = exchange.version != version;
        if (olderVersion) {
            balancer.adopt(clock.now(), exchange.version.settings());
        }
        try {
            balancer.request(
                    clock.now(),
                    arrival.withId(exchange.id, exchange.budget == null ? 0 : exchange.budget.maxAttempts()));
        } finally {
            if (olderVersion) {
                balancer.adopt(clock.now(), version.settings());
            }
        }
    }

    /** Answers a request that the module left without an answer. */
    private void answerOverdue(Exchange exchange) {
        if (exchange.isOpen()) {
            Log.warn(LOG, "request-unanswered")
                    .addKeyValue("request", exchange.id)
                    .log("the decision module left a request unanswered; answering it as timed out");
            abort(exchange, Answer.Kind.UNANSWERED);
        }
    }

    /** Handles the disconnect of a client. */
    public void clientGone(Exchange exchange) {
        if (exchange.isOpen()) {
            exchange.close();
            decisions.call(exchange, () -> balancer.clientGone(clock.now(), exchange.id));
            cancelResponding(exchange);
            settle(exchange);
        }
    }

    /**
     * Answers all open requests at the end of the process: rejects those that no upstream can have run, and fails the
     * rest.
     *
     * @return the number of these requests
     */
    public int abortAll() {
        return shutdown.abortAll();
    }

    /**
     * Cancels attempts whose response has started. The module does not cancel these, as it takes them for responses
     * that are streamed to the client. Without this, such an attempt would continue to its deadline although another
     * attempt has answered or the client is gone.
     */
    private static void cancelResponding(Exchange exchange) {
        if (!exchange.isOpen() && exchange.version.settings().limits().cancel()) {
            for (Integer number : List.copyOf(exchange.respondingAttempts)) {
                cancel(exchange.attempts.get(number));
            }
        }
    }

    /** Handles the first byte of a response. */
    void onResponseStarted(Exchange exchange, int number, double elapsedMs) {
        decisions.call(exchange, () -> balancer.streamStarted(clock.now(), exchange.id, number, elapsedMs));
        cancelResponding(exchange);
    }

    /** Handles the end of an attempt that was sent. */
    void onAttemptEnded(SentAttempt sent, double responseStartedAt, AttemptResult result) {
        if (retryLimiter != null && result.result().neverRan()) {
            sent.exchange.uncountServer();
        }
        onAttemptFinished(sent, responseStartedAt, result);
    }

    /** Whether the shutdown, if any, allows an attempt to start now. */
    boolean mayStart() {
        return shutdown.mayStart();
    }

    /** Sends an attempt now. */
    Transport.Attempt sendNow(SentAttempt sent, double until, AttemptBudgets.Grant grant) {
        Exchange exchange = sent.exchange;
        tracer.note(TraceEvent.CHOSEN, 0, exchange.id, sent.upstream);
        return transport.send(exchange.version, sent.upstream, exchange.request, until, grant, sent);
    }

    /** Handles the end of an attempt, whether it was sent or not. */
    void onAttemptFinished(SentAttempt sent, double responseStartedAt, AttemptResult result) {
        Exchange exchange = sent.exchange;
        int number = sent.number;
        exchange.runningAttempts--;
        exchange.respondingAttempts.remove((Integer) number);
        tracer.note(TraceEvent.ATTEMPT_ENDED, 0, exchange.id, result.result().ordinal());
        if (budgets != null) {
            budgets.attemptFinished(clock.now(), sent, result);
        }
        if (result.result() == Result.OK) {
            answer(exchange, new Answer(Answer.Kind.SERVED, result.payload(), 0));
        } else if (result.result() == Result.ERROR && exchange.isOpen() && result.payload() != Payload.NONE) {
            exchange.retainFailure(result.payload().retain());
        }
        double from = Math.max(sent.sentAt, exchange.receivedAt);
        double until = result.result() == Result.OK && responseStartedAt >= from ? responseStartedAt : clock.now();
        decisions.call(
                exchange,
                () -> balancer.attemptFinished(
                        clock.now(),
                        new Outcome(
                                exchange.id,
                                number,
                                sent.upstream,
                                result.result(),
                                !exchange.isOpen(),
                                until - from,
                                result.report())));
        cancelResponding(exchange);
        settle(exchange);
    }

    /** Removes a request that is answered and has no attempt in flight. */
    private void settle(Exchange exchange) {
        if (!exchange.isOpen() && exchange.runningAttempts == 0 && exchanges.remove(exchange.id) != null) {
            if (exchange.budget != null) {
                budgets.close(exchange);
            }
            exchange.request.release();
            exchange.retainFailure(Payload.NONE);
            int number = exchange.version.number();
            versions.requestEnded(number);
            removeIfUnused(number);
        }
    }

    // ---- Actions of the module ---------------------------------------------------------------------

    @Override
    public void send(long requestId, long upstream, double timeout) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange == null) {
            return;
        }
        double now = clock.now();
        SentAttempt sent = new SentAttempt(this, exchange, exchange.requestedAttempts++, upstream, now);
        exchange.runningAttempts++;
        if (!maySend(sent, now)) {
            exchange.grants.add(null);
            notSent(sent);
            return;
        }
        AttemptBudgets.Grant grant = null;
        if (exchange.budget != null) {
            grant = budgets.grantAttempt(exchange, now);
            exchange.grants.add(grant);
            if (grant == null) {
                notSent(sent);
                return;
            }
        }
        double deadline = exchange.receiving ? now + exchange.timeoutMs : exchange.deadline;
        double until = timeout == 0 ? deadline : Math.min(deadline, now + timeout);
        exchange.queueTimeoutMs = until - now;
        if (retryLimiter != null && exchange.serversReached > 0) {
            DeferredAttempt waiting = new DeferredAttempt(this, sent, until);
            exchange.attempts.add(waiting);
            retryLimiter.acquire(exchange.version, exchange.serviceClass, exchange.runningAttempts > 1, waiting);
            return;
        }
        exchange.countServer(null);
        exchange.attempts.add(sendNow(sent, until, grant));
    }

    /** Whether an attempt that the module requests may be sent at all. */
    private boolean maySend(SentAttempt sent, double now) {
        Exchange exchange = sent.exchange;
        return exchange.isOpen()
                && shutdown.mayStart()
                && now < exchange.deadline
                && sent.number < exchange.version.settings().limits().maxAttempts()
                && exchange.request.canBeSent()
                && (!exchange.receiving || exchange.runningAttempts == 1)
                && (retryLimiter == null || !exchange.hasReachedServerLimit());
    }

    private void notSent(SentAttempt sent) {
        sent.exchange.attempts.add(null);
        onAttemptFinished(sent, Double.NaN, AttemptResult.without(Result.NOT_SENT));
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
        Answer finalAnswer = answer.payload() == Payload.NONE && exchange.failureResponse != Payload.NONE
                ? new Answer(Answer.Kind.FAILED, exchange.failureResponse, 0)
                : answer;
        if (exchange.answer(
                        exchange.budget == null
                                ? finalAnswer
                                : finalAnswer.with(budgets.close(exchange, answer.kind())))
                && observer != null) {
            observer.answered(
                    name,
                    exchange.version,
                    exchange.serviceClass,
                    answer.kind(),
                    exchange.requestedAttempts,
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
                result -> decisions.call(
                        null,
                        () -> balancer.healthCheckResult(
                                clock.now(), upstream, result.result(), clock.now() - sentAt, result.report())));
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
        if (subject != null && subject.receiving) {
            subject.deferredTimers.add(new Exchange.DeferredTimer(token, at - clock.now()));
        } else {
            setTimer(subject == null ? 0 : subject.id, token, at);
        }
    }

    /** Takes the request's number because a reference to the request would keep it in memory until the timer fires. */
    private void setTimer(long exchangeId, long token, double at) {
        timers.at(at, () -> decisions.call(exchanges.get(exchangeId), () -> balancer.timer(clock.now(), token)));
    }

    /** Not supported: proxies of this deployment can't exchange messages. */
    @Override
    public void tell(int peer, byte[] payload) {
        Log.warn(LOG, "no-peers")
                .log("the decision module tried to send a message to its peers, which is not supported here");
    }

    @Override
    public void log(String text) {
        Log.info(LOG, "module").log(text);
    }
}
