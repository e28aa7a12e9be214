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
 * One instance of the module before servers with a few slots each, in virtual time: for what it believes of their load.
 * For a while all servers are slower; some answers need long in any case, as a body that is short enough to be kept
 * completely and comes in chunks does.
 */
final class Plant implements LoadBalancer.Actions {

    private static final int SERVERS = 4;
    private static final int SLOTS = 4;
    private static final double WORK_MS = 20;
    static final double AIM = 800;
    private static final double DEADLINE = 2_000;

    /**
     * What is played; times in ms.
     *
     * @param rate requests a second
     * @param longShare part of the requests whose answers need long in any case
     * @param longMost up to how long, evenly from 0
     * @param told whether the module is notified when an answer begins, and not only when it is complete
     * @param slow by how much all servers are slower from the time {@code from} to {@code to}
     */
    record Plan(
            long seed,
            double rate,
            double longShare,
            double longMost,
            boolean announced,
            double slow,
            double from,
            double to,
            double end) {}

    private record Event(double at, long order, Runnable call) {}

    private record Job(
            long request, int attempt, int server, double sentAt, boolean slowBody, boolean[] over, boolean[] begun) {}

    /** What became of the requests that came in each second. */
    final int[] requested;

    final int[] refused;
    final int[] served;
    private final Plan plan;
    private final SplittableRandom random;
    private final LoadBalancer module;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<ArrayDeque<Job>> queues = new ArrayList<>();
    private final int[] busy = new int[SERVERS];
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> came = new HashMap<>();
    private final Map<Long, Boolean> bodies = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private double now;
    private long order;

    Plant(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        int seconds = (int) Math.ceil(plan.end() / 1_000) + 1;
        requested = new int[seconds];
        refused = new int[seconds];
        served = new int[seconds];
        module = new LatencyWeightedBalancer(this);
        module.start(now, settings(), plan.seed());
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            queues.add(new ArrayDeque<>());
            servers.add(new Upstream(i + 1, 0, 0, i, State.READY, 1, 0));
        }
        module.upstreamsChanged(now, Change.CACHED, servers);
        module.upstreamsChanged(now, Change.FULL, servers);
    }

    private static Settings settings() {
        ServiceClass only = new ServiceClass(
                "tile", AIM, 0, DEADLINE, 1, 0.5, Repeat.IDEMPOTENT, Group.ALL, 0, false, false, null, null, 0);
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
                List.of(only),
                List.of(),
                new Limits(4, 10_000, true, false, false, false, true, 2_000, 100, 30_000, 1, 0, 0),
                new Rules(20, 2_000, 2_000, 0.2, 20_000, 3, 1_500, 0),
                new Goal(1, 0, 0, 0, 0, 0, 0, 0),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0));
    }

    private void later(double millis, Runnable call) {
        events.add(new Event(now + millis, order++, call));
    }

    Plant play() {
        later(0, () -> arrive(1));
        while (!events.isEmpty() && events.peek().at() < plan.end()) {
            Event next = events.poll();
            now = next.at();
            next.call().run();
        }
        return this;
    }

    private void arrive(long id) {
        later(-Math.log(1 - random.nextDouble()) * 1_000 / plan.rate(), () -> arrive(id + 1));
        int second = (int) (now / 1_000);
        requested[second]++;
        came.put(id, second);
        bodies.put(id, random.nextDouble() < plan.longShare());
        module.request(now, new Request(id, 0, 0, id, now + DEADLINE, 0, false, false, 0));
    }

    @Override
    public void send(long request, long upstream, double timeout) {
        int number = attempts.merge(request, 1, Integer::sum) - 1;
        Job job = new Job(
                request,
                number,
                (int) upstream - 1,
                now,
                bodies.getOrDefault(request, false),
                new boolean[1],
                new boolean[1]);
        jobs.put(request + "/" + number, job);
        later(timeout == 0 ? DEADLINE : timeout, () -> {
            if (!job.begun()[0]) {
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
        double slow = now >= plan.from() && now < plan.to() ? plan.slow() : 1;
        later(-Math.log(1 - random.nextDouble()) * WORK_MS * slow, () -> {
            busy[job.server()]--;
            double rest = job.slowBody() ? random.nextDouble() * plan.longMost() : 0;
            double head = now - job.sentAt();
            if (plan.announced() && rest > 0 && !job.over()[0]) {
                job.begun()[0] = true;
                module.streamStarted(now, job.request(), job.attempt(), head);
                later(DEADLINE - head, () -> finish(job, Result.TIMEOUT, now - job.sentAt()));
            }
            later(rest, () -> finish(job, Result.OK, plan.announced() ? head : now - job.sentAt()));
            Job next = queues.get(job.server()).poll();
            // A server doesn't begin what its caller has given up.
            while (next != null && next.over()[0]) {
                next = queues.get(job.server()).poll();
            }
            if (next != null) {
                work(next);
            }
        });
    }

    private void finish(Job job, Result result, double elapsed) {
        if (job.over()[0]) {
            return;
        }
        job.over()[0] = true;
        jobs.remove(job.request() + "/" + job.attempt());
        Integer second = result == Result.OK ? came.remove(job.request()) : null;
        if (second != null) {
            served[second]++;
        }
        module.attemptFinished(
                now,
                new Outcome(
                        job.request(),
                        job.attempt(),
                        job.server() + 1,
                        result,
                        !came.containsKey(job.request()),
                        elapsed,
                        null));
    }

    @Override
    public void refuse(long request, double retryAfter) {
        Integer second = came.remove(request);
        if (second != null) {
            refused[second]++;
        }
    }

    @Override
    public void fail(long request) {
        came.remove(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        Job job = jobs.get(request + "/" + attempt);
        if (job != null) {
            later(0, () -> finish(job, Result.CANCELLED, now - job.sentAt()));
        }
    }

    @Override
    public void setTimer(long token, double at) {
        later(Math.max(0, at - now), () -> module.timer(now, token));
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

    /** The share refused of what came from one second to another. */
    double refusedShare(int from, int to) {
        int all = 0;
        int no = 0;
        for (int i = from; i < to; i++) {
            all += requested[i];
            no += refused[i];
        }
        return all == 0 ? 0 : (double) no / all;
    }
}
