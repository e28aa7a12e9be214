package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Outcome;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Request;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;

/**
 * Simulates one balancer instance and servers with a few slots each, in virtual time, to measure how the balancer
 * estimates their load. All servers are slower for some time. Some answers always take long, like a chunked body that
 * is short enough to be buffered completely.
 */
final class ServerSimulation implements LoadBalancer.Actions {

    private static final int SERVERS = 4;
    private static final int SLOTS = 4;
    private static final double WORK_MS = 20;
    static final double AIM_MS = 800;
    private static final double DEADLINE_MS = 2_000;

    /**
     * Parameters of a run; times are in ms.
     *
     * @param rate requests per second
     * @param slowBodyShare share of the requests whose answers take long to transfer
     * @param maxBodyMs upper bound of this transfer time, which is uniform from 0
     * @param reportsStart whether the balancer is notified when an answer begins, and not only when it is complete
     * @param slowdown factor by which all servers are slower from {@code slowFrom} to {@code slowTo}
     */
    record Parameters(
            long seed,
            double rate,
            double slowBodyShare,
            double maxBodyMs,
            boolean reportsStart,
            double slowdown,
            double slowFrom,
            double slowTo,
            double end) {}

    private record Event(double at, long order, Runnable action) {}

    private record Job(
            long request,
            int attempt,
            int server,
            double sentAt,
            boolean slowBody,
            boolean[] finished,
            boolean[] started) {}

    /** Requests by the second of their arrival: all, refused and served. */
    final int[] requested;

    final int[] refused;
    final int[] served;
    private final Parameters parameters;
    private final SplittableRandom random;
    private final LoadBalancer balancer;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<ArrayDeque<Job>> queues = new ArrayList<>();
    private final int[] busy = new int[SERVERS];
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> arrivalSecond = new HashMap<>();
    private final Map<Long, Boolean> slowBodies = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private double now;
    private long order;

    ServerSimulation(Parameters parameters) {
        this.parameters = parameters;
        random = new SplittableRandom(parameters.seed());
        int seconds = (int) Math.ceil(parameters.end() / 1_000) + 1;
        requested = new int[seconds];
        refused = new int[seconds];
        served = new int[seconds];
        balancer = new LatencyWeightedBalancer(this);
        balancer.start(now, settings(), parameters.seed());
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            queues.add(new ArrayDeque<>());
            servers.add(new Upstream(i + 1, 0, 0, i, State.READY, 1, 0));
        }
        balancer.upstreamsChanged(now, Change.CACHED, servers);
        balancer.upstreamsChanged(now, Change.FULL, servers);
    }

    private static Settings settings() {
        ServiceClass tile = new ServiceClass(
                "tile", AIM_MS, 0, DEADLINE_MS, 1, 0.5, Repeat.IDEMPOTENT, Group.ALL, 0, false, false, null, null, 0);
        return new Settings(
                0,
                1,
                0,
                1,
                0,
                1,
                1,
                false,
                true,
                false,
                false,
                false,
                1,
                WeightKind.NONE,
                Reports.NONE,
                List.of(),
                List.of(tile),
                List.of(),
                new Limits(4, 10_000, true, false, false, false, true, 2_000, 100, 30_000, 1, 0, 0),
                new Rules(20, 2_000, 2_000, 0.2, 20_000, 3, 1_500, 0),
                new Goal(1, 0, 0, 0, 0, 0, 0, 0),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0));
    }

    private void schedule(double millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    ServerSimulation run() {
        schedule(0, () -> arrive(1));
        while (!events.isEmpty() && events.peek().at() < parameters.end()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    private void arrive(long id) {
        schedule(-Math.log(1 - random.nextDouble()) * 1_000 / parameters.rate(), () -> arrive(id + 1));
        int second = (int) (now / 1_000);
        requested[second]++;
        arrivalSecond.put(id, second);
        slowBodies.put(id, random.nextDouble() < parameters.slowBodyShare());
        balancer.request(now, new Request(id, 0, 0, id, now + DEADLINE_MS, 0, false, false, 0));
    }

    @Override
    public void send(long request, long upstream, double timeout) {
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        Job job = new Job(
                request,
                number,
                (int) upstream - 1,
                now,
                slowBodies.getOrDefault(request, false),
                new boolean[1],
                new boolean[1]);
        jobs.put(request + "/" + number, job);
        schedule(timeout == 0 ? DEADLINE_MS : timeout, () -> {
            if (!job.started()[0]) {
                finish(job, Result.TIMEOUT, now - job.sentAt());
            }
        });
        if (busy[job.server()] < SLOTS) {
            work(job);
        } else {
            queues.get(job.server()).add(job);
        }
    }

    private void work(Job job) {
        busy[job.server()]++;
        double slowdown = now >= parameters.slowFrom() && now < parameters.slowTo() ? parameters.slowdown() : 1;
        schedule(-Math.log(1 - random.nextDouble()) * WORK_MS * slowdown, () -> {
            busy[job.server()]--;
            double bodyMs = job.slowBody() ? random.nextDouble() * parameters.maxBodyMs() : 0;
            double firstByteMs = now - job.sentAt();
            if (parameters.reportsStart() && bodyMs > 0 && !job.finished()[0]) {
                job.started()[0] = true;
                balancer.streamStarted(now, job.request(), job.attempt(), firstByteMs);
                schedule(DEADLINE_MS - firstByteMs, () -> finish(job, Result.TIMEOUT, now - job.sentAt()));
            }
            schedule(
                    bodyMs, () -> finish(job, Result.OK, parameters.reportsStart() ? firstByteMs : now - job.sentAt()));
            Job next = queues.get(job.server()).poll();
            // A server does not start a request that its caller has abandoned.
            while (next != null && next.finished()[0]) {
                next = queues.get(job.server()).poll();
            }
            if (next != null) {
                work(next);
            }
        });
    }

    private void finish(Job job, Result result, double elapsed) {
        if (job.finished()[0]) {
            return;
        }
        job.finished()[0] = true;
        jobs.remove(job.request() + "/" + job.attempt());
        Integer second = result == Result.OK ? arrivalSecond.remove(job.request()) : null;
        if (second != null) {
            served[second]++;
        }
        balancer.attemptFinished(
                now,
                new Outcome(
                        job.request(),
                        job.attempt(),
                        job.server() + 1,
                        result,
                        !arrivalSecond.containsKey(job.request()),
                        elapsed,
                        null));
    }

    @Override
    public void refuse(long request, double retryAfter) {
        Integer second = arrivalSecond.remove(request);
        if (second != null) {
            refused[second]++;
        }
    }

    @Override
    public void fail(long request) {
        arrivalSecond.remove(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        Job job = jobs.get(request + "/" + attempt);
        if (job != null) {
            schedule(0, () -> finish(job, Result.CANCELLED, now - job.sentAt()));
        }
    }

    @Override
    public void setTimer(long token, double at) {
        schedule(Math.max(0, at - now), () -> balancer.timer(now, token));
    }

    @Override
    public void healthCheck(long upstream) {}

    @Override
    public void closeIdle(long upstream) {}

    @Override
    public void fetch() {}

    @Override
    public void watch(boolean on) {}

    @Override
    public void tell(int peer, byte[] payload) {}

    @Override
    public void log(String text) {}

    /**
     * The share of refused requests among those that arrived from {@code firstSecond} until before {@code endSecond}.
     */
    double refusedShare(int firstSecond, int endSecond) {
        int arrived = 0;
        int refusals = 0;
        for (int i = firstSecond; i < endSecond; i++) {
            arrived += requested[i];
            refusals += refused[i];
        }
        return arrived == 0 ? 0 : (double) refusals / arrived;
    }
}
