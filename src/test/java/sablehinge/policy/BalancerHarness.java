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

/** One instance in virtual time: hands it events, keeps its actions, rings its timers. */
final class BalancerHarness implements LoadBalancer.Actions {

    record Sent(long request, int attempt, long upstream, double timeout, double at) {}

    private record Alarm(double at, long order, long token) {}

    final List<Sent> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    /** The advice of the last refusal on when to return. */
    double retryAfter;

    final List<Long> failed = new ArrayList<>();
    final List<Sent> cancelled = new ArrayList<>();
    final Set<Long> open = new HashSet<>();
    private final Set<Sent> finished = new HashSet<>();
    int closed;
    int watches;
    double now = 100_000;

    private Settings settings;
    private final LoadBalancer balancer;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>(Comparator.comparingDouble(Alarm::at).thenComparingLong(Alarm::order));
    private long alarmsSet;

    BalancerHarness(Settings settings, long seed) {
        this.settings = settings;
        balancer = new LatencyWeightedBalancer(this);
        balancer.start(now, settings, seed);
    }

    void list(Change change, TestSettings.Server... servers) {
        balancer.upstreamsChanged(
                now,
                change,
                Arrays.stream(servers).map(TestSettings.Server::listed).toList());
    }

    void adopt(Settings next) {
        settings = next;
        balancer.adopt(now, next);
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
        open.add(id);
        balancer.request(now, new Request(id, serviceClass, 0, key, deadline, cost, false, false, 0));
    }

    /** A request that may have so many attempts. */
    void bounded(long id, int serviceClass, int attempts) {
        open.add(id);
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

    /** A request with a key and its class's full deadline. */
    void keyed(long id, int serviceClass, long key) {
        request(id, serviceClass, now + settings.classes().get(serviceClass).deadline(), 0, key);
    }

    void finish(Sent sent, Result result) {
        finishAfter(sent, result, now - sent.at());
    }

    /** An outcome whose host has not yet heard that the request is over. */
    void finishUnclosed(Sent sent, Result result) {
        balancer.attemptFinished(
                now,
                new Outcome(sent.request(), sent.attempt(), sent.upstream(), result, false, now - sent.at(), null));
    }

    void timer(long token) {
        balancer.timer(now, token);
    }

    void finishAfter(Sent sent, Result result, double elapsed) {
        if (!finished.add(sent)) {
            throw new AssertionError("a second outcome for " + sent + ": no attempt and no answer followed");
        }
        if (result == Result.OK) {
            open.remove(sent.request());
        }
        balancer.attemptFinished(
                now,
                new Outcome(
                        sent.request(),
                        sent.attempt(),
                        sent.upstream(),
                        result,
                        !open.contains(sent.request()),
                        elapsed,
                        null));
    }

    void streamStarted(Sent sent) {
        balancer.streamStarted(now, sent.request(), sent.attempt(), now - sent.at());
    }

    void clientGone(long id) {
        open.remove(id);
        balancer.clientGone(now, id);
    }

    /** Moves the clock on, ringing what falls due on the way. */
    void advance(double ms) {
        double until = now + ms;
        while (!alarms.isEmpty() && alarms.peek().at() <= until) {
            Alarm alarm = alarms.poll();
            now = Math.max(now, alarm.at());
            balancer.timer(now, alarm.token());
        }
        now = until;
    }

    Sent lastSend() {
        return sends.get(sends.size() - 1);
    }

    boolean isOpen(long id) {
        return open.contains(id);
    }

    @Override
    public void send(long requestId, long upstream, double timeout) {
        int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
        sends.add(new Sent(requestId, attempt, upstream, timeout, now));
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        open.remove(requestId);
        refused.add(requestId);
        this.retryAfter = retryAfter;
    }

    @Override
    public void fail(long requestId) {
        open.remove(requestId);
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
        alarms.add(new Alarm(at, alarmsSet++, token));
    }

    @Override
    public void closeIdle(long upstream) {
        closed++;
    }

    @Override
    public void watch(boolean on) {
        watches++;
    }

    @Override
    public void healthCheck(long upstream) {
        throw new AssertionError("no site of these tests allows probes");
    }

    @Override
    public void fetch() {
        throw new AssertionError("nothing needs a fetch");
    }

    @Override
    public void tell(int peer, byte[] payload) {
        throw new AssertionError("no site of these tests has peers");
    }

    @Override
    public void log(String text) {
        // Log lines decide nothing.
    }
}
