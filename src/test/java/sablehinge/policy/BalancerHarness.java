package sablehinge.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Outcome;
import sablehinge.policy.LoadBalancer.Request;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;

/** Runs one balancer instance in virtual time: delivers events, records its actions and fires its timers. */
final class BalancerHarness implements LoadBalancer.Actions {

    record Sent(long request, int attempt, long upstream, double timeout, double at) {}

    private record Timer(double at, long order, long token) {}

    final List<Sent> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    /** The retry-after advice of the last refusal. */
    double retryAfter;

    final List<Long> failed = new ArrayList<>();
    final List<Sent> cancelled = new ArrayList<>();
    final Set<Long> pending = new HashSet<>();
    private final Set<Sent> finished = new HashSet<>();
    int closeIdleCalls;
    int watchCalls;
    double now = 100_000;

    private Settings settings;
    private final LoadBalancer balancer;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
    private long timersSet;

    BalancerHarness(Settings settings, long seed) {
        this.settings = settings;
        balancer = new LatencyWeightedBalancer(this);
        balancer.start(now, settings, seed);
    }

    void updateUpstreams(Change change, TestSettings.Server... servers) {
        balancer.upstreamsChanged(
                now,
                change,
                Arrays.stream(servers).map(TestSettings.Server::toUpstream).toList());
    }

    void adopt(Settings newSettings) {
        settings = newSettings;
        balancer.adopt(now, newSettings);
    }

    void forget(Settings old) {
        balancer.forget(now, old);
    }

    void request(long id, int serviceClass) {
        request(id, serviceClass, now + settings.classes().get(serviceClass).deadline(), 0);
    }

    void request(long id, int serviceClass, double deadline, double cost) {
        request(id, serviceClass, deadline, cost, id);
    }

    void request(long id, int serviceClass, double deadline, double cost, long key) {
        pending.add(id);
        balancer.request(now, new Request(id, serviceClass, 0, key, deadline, cost, false, false, 0));
    }

    /** Sends a request with its own bound on attempts. */
    void requestWithMaxAttempts(long id, int serviceClass, int attempts) {
        pending.add(id);
        balancer.request(
                now,
                new Request(
                        id,
                        serviceClass,
                        0,
                        id,
                        now + settings.classes().get(serviceClass).deadline(),
                        0,
                        false,
                        false,
                        attempts));
    }

    /** Sends a request with a key and the full deadline of its class. */
    void requestWithKey(long id, int serviceClass, long key) {
        request(id, serviceClass, now + settings.classes().get(serviceClass).deadline(), 0, key);
    }

    void finish(Sent sent, Result result) {
        finishAfter(sent, result, now - sent.at());
    }

    /** Reports an outcome as if the host did not know yet that the request is finished. */
    void finishWithoutClosing(Sent sent, Result result) {
        balancer.attemptFinished(
                now,
                new Outcome(sent.request(), sent.attempt(), sent.upstream(), result, false, now - sent.at(), null));
    }

    void timer(long token) {
        balancer.timer(now, token);
    }

    void finishAfter(Sent sent, Result result, double elapsed) {
        if (!finished.add(sent)) {
            throw new AssertionError(
                    "second outcome for " + sent + "; the balancer sent no attempt and no answer after the first");
        }
        if (result == Result.OK) {
            pending.remove(sent.request());
        }
        balancer.attemptFinished(
                now,
                new Outcome(
                        sent.request(),
                        sent.attempt(),
                        sent.upstream(),
                        result,
                        !pending.contains(sent.request()),
                        elapsed,
                        null));
    }

    void streamStarted(Sent sent) {
        balancer.streamStarted(now, sent.request(), sent.attempt(), now - sent.at());
    }

    void clientGone(long id) {
        pending.remove(id);
        balancer.clientGone(now, id);
    }

    /** Advances the clock and fires the timers that become due. */
    void advance(double ms) {
        double until = now + ms;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at());
            balancer.timer(now, timer.token());
        }
        now = until;
    }

    Sent lastSend() {
        return sends.get(sends.size() - 1);
    }

    boolean isPending(long id) {
        return pending.contains(id);
    }

    @Override
    public void send(long requestId, long upstream, double timeout) {
        int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
        sends.add(new Sent(requestId, attempt, upstream, timeout, now));
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        pending.remove(requestId);
        refused.add(requestId);
        this.retryAfter = retryAfter;
    }

    @Override
    public void fail(long requestId) {
        pending.remove(requestId);
        failed.add(requestId);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        for (Sent sent : sends) {
            if (sent.request() == requestId && sent.attempt() == attempt) {
                cancelled.add(sent);
            }
        }
    }

    @Override
    public void setTimer(long token, double at) {
        timers.add(new Timer(at, timersSet++, token));
    }

    @Override
    public void closeIdle(long upstream) {
        closeIdleCalls++;
    }

    @Override
    public void watch(boolean on) {
        watchCalls++;
    }

    @Override
    public void healthCheck(long upstream) {
        throw new AssertionError("health checks are disabled in the settings of these tests");
    }

    @Override
    public void fetch() {
        throw new AssertionError("unexpected fetch");
    }

    @Override
    public void tell(int peer, byte[] payload) {
        throw new AssertionError("peer messages are disabled in the settings of these tests");
    }

    @Override
    public void log(String text) {
        // Log lines are ignored.
    }
}
