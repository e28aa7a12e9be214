package sablehinge.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;

/** The usual module with one thing wrong. */
public final class Saboteur implements LoadBalancer {

    /** What is wrong. */
    public enum Deed {
        NONE,
        /** An unsafe request goes out a second time while the first is still out. */
        RESENDS,
        /** Draining servers are taken for ready ones, and gone ones for draining. */
        IGNORES_DRAINS,
        /** Whatever goes out goes to the server that has started last. */
        FLOODS
    }

    private static final int EVERY = 50;

    /** How often each deed was done, over all balancers of this process. */
    public static final Map<Deed, Integer> DONE = new ConcurrentHashMap<>();

    private final Deed deed;
    private final LoadBalancer inner;
    private Settings settings;
    private final Map<Long, Upstream> upstreams = new HashMap<>();
    private final Set<Long> unsafe = ConcurrentHashMap.newKeySet();
    /** For each request that went out once more, the attempt that the module knows nothing of. */
    private final Map<Long, Integer> extra = new HashMap<>();

    private final Map<Long, List<Long>> requested = new HashMap<>();
    private int count;

    public Saboteur(Deed deed, Actions actions) {
        this.deed = deed;
        inner = new LatencyWeightedBalancer(new Spoilt(actions));
    }

    private void did() {
        DONE.merge(deed, 1, Integer::sum);
    }

    @Override
    public void start(double now, Settings first, long seed) {
        settings = first;
        inner.start(now, first, seed);
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> list) {
        List<Upstream> listed = new ArrayList<>();
        for (Upstream one : list) {
            Upstream before = upstreams.put(one.id(), one);
            boolean off = one.state() != State.READY;
            if (deed == Deed.IGNORES_DRAINS && off && before != null) {
                did();
                continue;
            }
            listed.add(one);
        }
        inner.upstreamsChanged(now, change, listed);
    }

    @Override
    public void request(double now, Request request) {
        if (settings.classes().get(request.serviceClass()).repeat() == Repeat.AT_MOST_ONCE) {
            unsafe.add(request.id());
        }
        inner.request(now, request);
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        Integer own = extra.get(outcome.requestId());
        if (own != null && outcome.attempt() == own) {
            return;
        }
        int attempt = outcome.attempt() - (own != null && outcome.attempt() > own ? 1 : 0);
        long upstream = deed == Deed.FLOODS ? requested.get(outcome.requestId()).get(attempt) : outcome.upstream();
        inner.attemptFinished(
                now,
                new Outcome(
                        outcome.requestId(),
                        attempt,
                        upstream,
                        outcome.result(),
                        outcome.closed(),
                        outcome.elapsed(),
                        outcome.report()));
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        inner.streamStarted(now, requestId, attempt, elapsed);
    }

    @Override
    public void clientGone(double now, long requestId) {
        inner.clientGone(now, requestId);
    }

    @Override
    public void timer(double now, long token) {
        inner.timer(now, token);
    }

    @Override
    public void healthCheckResult(double now, long upstream, Result result, double elapsed, double[] report) {
        inner.healthCheckResult(now, upstream, result, elapsed, report);
    }

    /** The host's actions, with what is wrong done to them. */
    private final class Spoilt implements Actions {

        private final Actions host;

        Spoilt(Actions host) {
            this.host = host;
        }

        @Override
        public void send(long requestId, long upstream, double timeout) {
            requested.computeIfAbsent(requestId, id -> new ArrayList<>()).add(upstream);
            long warmingUp = upstream;
            if (deed == Deed.FLOODS) {
                warmingUp = upstreams.values().stream()
                        .filter(u -> u.startedAt() > 0 && u.state() == State.READY)
                        .mapToLong(Upstream::id)
                        .findFirst()
                        .orElse(upstream);
                if (warmingUp != upstream) {
                    did();
                }
            }
            host.send(requestId, warmingUp, timeout);
            if (deed == Deed.RESENDS
                    && unsafe.contains(requestId)
                    && !extra.containsKey(requestId)
                    && ++count % EVERY == 0) {
                upstreams.keySet().stream()
                        .filter(id -> id != upstream)
                        .findFirst()
                        .ifPresent(other -> {
                            did();
                            extra.put(requestId, requested.get(requestId).size());
                            host.send(requestId, other, timeout);
                        });
            }
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            host.refuse(requestId, retryAfter);
        }

        @Override
        public void fail(long requestId) {
            host.fail(requestId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            Integer own = extra.get(requestId);
            host.cancel(requestId, attempt + (own != null && attempt >= own ? 1 : 0));
        }

        @Override
        public void healthCheck(long upstream) {
            host.healthCheck(upstream);
        }

        @Override
        public void closeIdle(long upstream) {
            host.closeIdle(upstream);
        }

        @Override
        public void fetch() {
            host.fetch();
        }

        @Override
        public void watch(boolean on) {
            host.watch(on);
        }

        @Override
        public void setTimer(long token, double at) {
            host.setTimer(token, at);
        }

        @Override
        public void tell(int peer, byte[] payload) {
            host.tell(peer, payload);
        }

        @Override
        public void log(String text) {
            host.log(text);
        }
    }
}
