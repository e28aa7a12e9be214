package sablehinge.torture;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sablehinge.policy.LoadBalancer;

/**
 * A decision module under watch: each send has exactly one outcome, each request one final answer, and what is reported
 * never to have run has not come to any upstream completely.
 */
final class Watched implements LoadBalancer {

    private final World world;
    private final LoadBalancer module;
    /** Attempts that are out, by request and number. */
    private final Map<String, Long> out = new HashMap<>();

    private final Map<Long, Integer> sends = new HashMap<>();
    private int mayHaveRun;
    private int sent;

    Watched(World world, Actions actions, Function<Actions, LoadBalancer> made) {
        this.world = world;
        module = made.apply(new Counting(actions));
    }

    private final class Counting implements Actions {

        private final Actions actions;

        Counting(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void send(long request, long upstream, double timeout) {
            int number = sends.merge(request, 1, Integer::sum) - 1;
            out.put(request + "/" + number, upstream);
            sent++;
            actions.send(request, upstream, timeout);
        }

        @Override
        public void refuse(long request, double retryAfter) {
            actions.refuse(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            actions.fail(request);
        }

        @Override
        public void cancel(long request, int attempt) {
            actions.cancel(request, attempt);
        }

        @Override
        public void healthCheck(long upstream) {
            actions.healthCheck(upstream);
        }

        @Override
        public void closeIdle(long upstream) {
            actions.closeIdle(upstream);
        }

        @Override
        public void fetch() {
            actions.fetch();
        }

        @Override
        public void watch(boolean on) {
            actions.watch(on);
        }

        @Override
        public void setTimer(long token, double at) {
            actions.setTimer(token, at);
        }

        @Override
        public void tell(int peer, byte[] payload) {
            actions.tell(peer, payload);
        }

        @Override
        public void log(String text) {}
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        if (out.remove(outcome.requestId() + "/" + outcome.attempt()) == null) {
            world.net.violated("an attempt has two outcomes: " + outcome);
        }
        if (!outcome.result().neverRan()) {
            mayHaveRun++;
        } else if (outcome.result() == Result.FULL) {
            mayHaveRun++;
        }
        module.attemptFinished(now, outcome);
    }

    /** At the end of a play. */
    void check() {
        if (!out.isEmpty()) {
            world.net.violated("attempts without an outcome: " + out);
        }
        int ran =
                world.all.values().stream().mapToInt(requested -> requested.ran).sum();
        if (ran > mayHaveRun) {
            world.net.violated(ran + " requests came whole to upstreams, of " + sent + " attempts "
                    + mayHaveRun
                    + " may have run by their outcomes");
        }
    }

    @Override
    public void start(double now, Settings settings, long seed) {
        module.start(now, settings, seed);
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        module.upstreamsChanged(now, change, upstreams);
    }

    @Override
    public void request(double now, Request request) {
        module.request(now, request);
    }

    @Override
    public void adopt(double now, Settings settings) {
        module.adopt(now, settings);
    }

    @Override
    public void forget(double now, Settings settings) {
        module.forget(now, settings);
    }

    @Override
    public void streamStarted(double now, long request, int attempt, double elapsed) {
        module.streamStarted(now, request, attempt, elapsed);
    }

    @Override
    public void clientGone(double now, long request) {
        module.clientGone(now, request);
    }

    @Override
    public void timer(double now, long token) {
        module.timer(now, token);
    }

    @Override
    public void healthCheckResult(double now, long upstream, Result result, double elapsed, double[] report) {
        module.healthCheckResult(now, upstream, result, elapsed, report);
    }
}
