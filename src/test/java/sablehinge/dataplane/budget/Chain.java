package sablehinge.dataplane.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A simulated chain of tiers in virtual time, generated from a seed. Servers have slots and queues, and each server has
 * its own balancer for calls to the next tier, which retries as often as allowed, with or without budgets. The
 * balancers choose servers at random with equal probability, because the test is about budgets, not load balancing.
 */
final class Chain {

    static final int BOUND = 8;
    private static final int MAX_ATTEMPTS = 4;

    /** The parameters of a chain and its faults; the load is a share of the capacity of the first tier. */
    record Plan(
            long seed,
            int tiers,
            int calls,
            boolean budgets,
            double load,
            double slowFactor,
            double errorRate,
            double lostAnswerRate,
            double stripRate,
            int requests) {}

    /** The outcome of a client request and its cost. */
    static final class TestRequest {
        final int number;
        final double value;
        final boolean unsafe;
        int lastTierAttempts;
        double arrivedAt;
        double answeredAt = Double.NaN;
        boolean served;
        int answers;
        boolean stripped;

        TestRequest(int number, double value, boolean unsafe) {
            this.number = number;
            this.value = value;
            this.unsafe = unsafe;
        }
    }

    private record Event(double at, long order, Runnable run) {}

    /** The result of a call: whether it was served, whether it may have run, and the report of the balancer below. */
    private record Result(boolean served, boolean ran, Report report) {}

    private interface Completion {
        void done(Result result);
    }

    /** A call from a server or a client to the tier behind a balancer. */
    private final class Call {
        final Balancer balancer;
        final TestRequest request;
        final double deadline;
        final AttemptBudgets.Call budget;
        final Completion completion;
        int attempts;
        int runs;
        boolean closed;

        Call(
                Balancer balancer,
                TestRequest request,
                double deadline,
                AttemptBudgets.Call budget,
                Completion completion) {
            this.balancer = balancer;
            this.request = request;
            this.deadline = deadline;
            this.budget = budget;
            this.completion = completion;
        }

        void send() {
            boolean resendable = !request.unsafe;
            AttemptBudgets.Grant grant = null;
            Budget attemptBudget = null;
            if (plan.budgets()) {
                grant = balancer.attemptBudgets.grant(budget, now, resendable, balancer.minimumTime.value(now));
                attemptBudget = grant == null ? null : grant.budget(now);
                if (grant != null && attemptBudget == null) {
                    balancer.attemptBudgets.onAttemptNeverRan(grant);
                }
                if (attemptBudget == null) {
                    close(new Result(false, runs > 0, null));
                    return;
                }
            }
            if (now >= deadline) {
                sentAfterDeadline += plan.budgets() ? 1 : 0;
            }
            attempts++;
            if (balancer.tier == plan.tiers() - 1) {
                request.lastTierAttempts++;
            }
            Server server = tiers.get(balancer.tier)
                    .get(random.nextInt(tiers.get(balancer.tier).size()));
            AttemptBudgets.Grant attemptGrant = grant;
            double sentAt = now;
            boolean[] ended = new boolean[1];
            Completion attemptCompletion = result -> {
                if (!ended[0]) {
                    ended[0] = true;
                    finished(attemptGrant, result, sentAt);
                }
            };
            // Without budgets, a lower tier does not know when the client has timed out.
            schedule(deadline, () -> attemptCompletion.done(new Result(false, true, null)));
            server.enqueue(this, attemptBudget, () -> runs++, attemptCompletion);
        }

        private void finished(AttemptBudgets.Grant grant, Result result, double sentAt) {
            if (grant != null) {
                if (!result.ran()) {
                    balancer.attemptBudgets.onAttemptNeverRan(grant);
                } else {
                    balancer.attemptBudgets.onAttemptFinished(grant, result.report(), result.served());
                }
                if (result.served()) {
                    balancer.minimumTime.recordServed(now, now - sentAt);
                }
                // An immediate failure indicates an unhealthy server; shedding load would not help.
                boolean late = now - sentAt > 0.8 * (deadline - sentAt);
                if (late || result.served()) {
                    balancer.shedder.recordLoad(now, late);
                }
            }
            if (closed) {
                return;
            }
            if (result.served()) {
                close(result);
            } else if (request.unsafe && result.ran() || attempts >= MAX_ATTEMPTS || now >= deadline) {
                close(new Result(false, runs > 0, null));
            } else {
                send();
            }
        }

        private void close(Result result) {
            closed = true;
            if (request.unsafe && runs > 1) {
                unsafeTwice++;
            }
            Report report = budget == null
                    ? null
                    : balancer.attemptBudgets.close(budget, !result.served() && !(request.unsafe && result.ran()));
            completion.done(new Result(result.served(), result.ran(), report));
        }
    }

    private final class Balancer {
        final int tier;
        final AttemptBudgets attemptBudgets;
        final MinimumTime minimumTime = new MinimumTime();
        final LoadShedder shedder;

        Balancer(int tier, long seed) {
            this.tier = tier;
            shedder = new LoadShedder(new LoadShedder.Settings(0.1, 1), seed);
            boolean lastTier = tier == plan.tiers() - 1;
            attemptBudgets = new AttemptBudgets(
                    new BudgetSettings(
                            BOUND,
                            10_000,
                            1_000,
                            1,
                            tier == 0 ? 1 : plan.calls(),
                            (int) Math.pow(plan.calls(), plan.tiers() - 1 - tier),
                            lastTier,
                            2,
                            1,
                            0.5,
                            0,
                            10_000),
                    tier + 1,
                    seed);
        }

        void call(TestRequest request, HeaderText.Found<Budget> found, double remaining, Completion completion) {
            if (!plan.budgets()) {
                new Call(this, request, now + remaining, null, completion).send();
                return;
            }
            AttemptBudgets.Admission admission =
                    attemptBudgets.admit(now, found, tier == 0, remaining, 0, request.value);
            if (admission.call() == null) {
                completion.done(new Result(false, false, null));
                return;
            }
            if (!shedder.admits(now, "all", admission.call().value(), 1)) {
                shedCalls++;
                completion.done(new Result(false, false, attemptBudgets.close(admission.call(), false)));
                return;
            }
            new Call(this, request, admission.call().deadline(), admission.call(), completion).send();
        }
    }

    private final class Server {
        final int tier;
        final Balancer next;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        int busy;

        Server(int tier, long seed) {
            this.tier = tier;
            next = tier + 1 < plan.tiers() ? new Balancer(tier + 1, seed) : null;
        }

        void enqueue(Call call, Budget budget, Runnable onRun, Completion completion) {
            if (queue.size() >= 400) {
                completion.done(new Result(false, false, null));
                return;
            }
            queue.add(() -> begin(call, budget, onRun, completion));
            next();
        }

        private void next() {
            while (busy < 4 && !queue.isEmpty()) {
                busy++;
                queue.poll().run();
            }
        }

        private void begin(Call call, Budget budget, Runnable onRun, Completion completion) {
            onRun.run();
            double work = -Math.log(1 - random.nextDouble())
                    * 8
                    * (now > slowFrom && now < slowUntil ? plan.slowFactor() : 1);
            schedule(now + work, () -> {
                if (next == null) {
                    finish(call, true, null, completion);
                } else {
                    int calls = 1 + random.nextInt(plan.calls());
                    HeaderText.Found<Budget> found = budget == null
                            ? new HeaderText.Found<>(HeaderText.Kind.MISSING, null)
                            : new HeaderText.Found<>(HeaderText.Kind.READ, budget);
                    if (random.nextDouble() < plan.stripRate()) {
                        call.request.stripped = true;
                        found = new HeaderText.Found<>(HeaderText.Kind.MISSING, null);
                    }
                    callNext(call, found, calls, null, completion);
                }
            });
        }

        /** Makes the calls one after another and passes the last report back. */
        private void callNext(
                Call call, HeaderText.Found<Budget> found, int calls, Report lastReport, Completion completion) {
            if (calls == 0) {
                finish(call, true, lastReport, completion);
                return;
            }
            next.call(call.request, found, call.deadline - now, result -> {
                Report report = result.report() == null ? lastReport : result.report();
                if (result.served()) {
                    callNext(call, found, calls - 1, report, completion);
                } else {
                    finish(call, false, report, completion);
                }
            });
        }

        private void finish(Call call, boolean success, Report report, Completion completion) {
            busy--;
            next();
            if (random.nextDouble() >= plan.lostAnswerRate()) {
                completion.done(new Result(success && random.nextDouble() >= plan.errorRate(), true, report));
            } else {
                // The connection breaks: the call has run, but no report is received.
                completion.done(new Result(false, true, null));
            }
        }
    }

    final Plan plan;
    final List<TestRequest> requests = new ArrayList<>();
    int sentAfterDeadline;
    int unsafeTwice;
    int shedCalls;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final List<List<Server>> tiers = new ArrayList<>();
    private double now;
    private long order;
    private double slowFrom;
    private double slowUntil;

    Chain(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        for (int tier = 0; tier < plan.tiers(); tier++) {
            // The number of servers grows with the number of calls, so that all tiers have the same load.
            int count = (int) Math.ceil(2 * Math.pow((1 + plan.calls()) / 2.0, tier));
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                servers.add(new Server(tier, random.nextLong()));
            }
            tiers.add(servers);
        }
    }

    private void schedule(double time, Runnable run) {
        events.add(new Event(Math.max(time, now), order++, run));
    }

    /** Runs the simulation to its end. */
    Chain run() {
        Balancer front = new Balancer(0, random.nextLong());
        // A server of the first tier holds its slot until all its nested calls have finished.
        double slotTimeMs = 0;
        for (int tier = 0; tier < plan.tiers(); tier++) {
            slotTimeMs += 8 * Math.pow((1 + plan.calls()) / 2.0, tier);
        }
        double meanGapMs = slotTimeMs / (4 * tiers.get(0).size()) / plan.load();
        double arrivesAt = 0;
        double durationMs = plan.requests() * meanGapMs;
        slowFrom = durationMs / 3;
        slowUntil = 2 * durationMs / 3;
        for (int i = 0; i < plan.requests(); i++) {
            arrivesAt += -Math.log(1 - random.nextDouble()) * meanGapMs;
            TestRequest request = new TestRequest(i, random.nextInt(4) == 0 ? 8 : 1, random.nextInt(3) == 0);
            requests.add(request);
            double requestAt = arrivesAt;
            schedule(requestAt, () -> {
                request.arrivedAt = now;
                front.call(request, new HeaderText.Found<>(HeaderText.Kind.MISSING, null), 250, result -> {
                    request.answers++;
                    request.served = result.served();
                    request.answeredAt = now;
                });
            });
        }
        for (Event event = events.poll(); event != null; event = events.poll()) {
            now = event.at();
            event.run().run();
        }
        return this;
    }

    int maxLastTierAttempts() {
        return requests.stream()
                .mapToInt(request -> request.lastTierAttempts)
                .max()
                .orElse(0);
    }

    double meanLastTierAttempts() {
        return requests.stream()
                .mapToInt(request -> request.lastTierAttempts)
                .average()
                .orElse(0);
    }

    /** The share of the requested value that was served in time. */
    double keptValueShare() {
        double totalValue =
                requests.stream().mapToDouble(request -> request.value).sum();
        return requests.stream()
                        .filter(request -> request.served && request.answeredAt <= request.arrivedAt + 250)
                        .mapToDouble(request -> request.value)
                        .sum()
                / totalValue;
    }
}
