package sablehinge.testing;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import sablehinge.policy.LoadBalancer;

/** A module that does what the test says, and remembers what its host reported to it. */
public final class Script implements LoadBalancer {

    public Actions actions;
    public volatile List<Upstream> upstreams = List.of();
    /** What to do with a request; by default it goes to the first upstream until its deadline. */
    public volatile Consumer<Request> onRequest = request -> sendTo(0, request, 0);

    public volatile Consumer<Outcome> onOutcome = outcome -> {};
    /** What to do with an outcome that leaves its request open; by default it fails. */
    public volatile BiConsumer<Actions, Outcome> onOpen = (to, outcome) -> to.fail(outcome.requestId());

    public volatile Runnable onTimer = () -> {};
    public volatile Runnable onStart = () -> {};
    public final LinkedBlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    public final LinkedBlockingQueue<Change> changes = new LinkedBlockingQueue<>();
    /** Every list that came, and each version of the settings that was adopted. */
    public final LinkedBlockingQueue<List<Upstream>> lists = new LinkedBlockingQueue<>();

    public final LinkedBlockingQueue<Settings> adopted = new LinkedBlockingQueue<>();
    public final LinkedBlockingQueue<Long> gone = new LinkedBlockingQueue<>();
    public final LinkedBlockingQueue<String> probes = new LinkedBlockingQueue<>();

    public LoadBalancer with(Actions given) {
        actions = given;
        return this;
    }

    /** Sends a request to an upstream by its place in the list. */
    public void sendTo(int place, Request request, double timeout) {
        actions.send(request.id(), upstreams.get(place).id(), timeout);
    }

    public static <T> T next(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (item == null) {
            throw new AssertionError("nothing came");
        }
        return item;
    }

    public Result result() throws InterruptedException {
        return next(outcomes).result();
    }

    @Override
    public void start(double now, Settings settings, long seed) {
        onStart.run();
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> list) {
        if (change == Change.CACHED || change == Change.FULL) {
            upstreams = list;
        }
        lists.add(list);
        changes.add(change);
    }

    @Override
    public void adopt(double now, Settings settings) {
        adopted.add(settings);
    }

    @Override
    public void request(double now, Request request) {
        onRequest.accept(request);
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        outcomes.add(outcome);
        onOutcome.accept(outcome);
        if (!outcome.closed()) {
            onOpen.accept(actions, outcome);
        }
    }

    /** How long after its sending each answer began that was not complete at once. */
    public final java.util.concurrent.ConcurrentLinkedQueue<Double> begun =
            new java.util.concurrent.ConcurrentLinkedQueue<>();

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        begun.add(elapsed);
    }

    @Override
    public void clientGone(double now, long requestId) {
        gone.add(requestId);
    }

    @Override
    public void timer(double now, long token) {
        onTimer.run();
    }

    @Override
    public void healthCheckResult(double now, long upstream, Result result, double elapsed, double[] report) {
        probes.add(result + " " + java.util.Arrays.toString(report));
    }
}
