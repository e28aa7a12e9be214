package sablehinge.dataplane.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A chain of tiers in virtual time, drawn by a seed: servers with slots and queues, each with a balancer of its own for
 * its calls to the next tier, which tries again as often as it may. With budgets or without. The balancers here draw
 * servers evenly: what is looked at are the budgets, not the decision module.
 */
final class Chain {

    static final int BOUND = 8;
    private static final int MAX_ATTEMPTS = 4;

    /** What is drawn for a chain, and what is done to it; the load is a share of what the first tier can do. */
    record Plan(
            long seed,
            int tiers,
            int calls,
            boolean budgets,
            double load,
            double slow,
            double errors,
            double lost,
            double strips,
            int requests) {}

    /** What became of a client's request, and what it cost. */
    static final class TestRequest {
        final int number;
        final double value;
        final boolean unsafe;
        int leaves;
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

    /** What goes back: whether it was served, may have run, and what the balancer below reported. */
    private record Back(boolean served, boolean ran, Report report) {}

    private interface Ending {
        void done(Back back);
    }

    /** One call from a server, or from a client, to the tier that a balancer stands before. */
    private final class Call {
        final Balancer balancer;
        final TestRequest requested;
        final double deadline;
        final AttemptBudgets.Call budget;
        final Ending end;
        int attempts;
        int runs;
        boolean over;

        Call(Balancer balancer, TestRequest requested, double deadline, AttemptBudgets.Call budget, Ending end) {
            this.balancer = balancer;
            this.requested = requested;
            this.deadline = deadline;
            this.budget = budget;
            this.end = end;
        }

        void send() {
            boolean resendable = !requested.unsafe;
            AttemptBudgets.Grant grant = null;
            Budget attemptBudget = null;
            if (plan.budgets()) {
                grant = balancer.attemptBudgets.grant(budget, now, resendable, balancer.least.value(now));
                attemptBudget = grant == null ? null : grant.budget(now);
                if (grant != null && attemptBudget == null) {
                    balancer.attemptBudgets.onAttemptNeverRan(grant);
                }
                if (attemptBudget == null) {
                    close(new Back(false, runs > 0, null));
                    return;
                }
            }
            if (now >= deadline) {
                deadSent += plan.budgets() ? 1 : 0;
            }
            attempts++;
            if (balancer.tier == plan.tiers() - 1) {
                requested.leaves++;
            }
            Server server = tiers.get(balancer.tier)
                    .get(random.nextInt(tiers.get(balancer.tier).size()));
            AttemptBudgets.Grant held = grant;
            double sentAt = now;
            boolean[] ended = new boolean[1];
            Ending back = result -> {
                if (!ended[0]) {
                    ended[0] = true;
                    finished(held, result, sentAt);
                }
            };
            // Without budgets a lower tier does not know when its caller's client has given up.
            at(deadline, () -> back.done(new Back(false, true, null)));
            server.take(this, attemptBudget, () -> runs++, back);
        }

        private void finished(AttemptBudgets.Grant grant, Back back, double sentAt) {
            if (grant != null) {
                if (!back.ran()) {
                    balancer.attemptBudgets.onAttemptNeverRan(grant);
                } else {
                    balancer.attemptBudgets.onAttemptFinished(grant, back.report(), back.served());
                }
                if (back.served()) {
                    balancer.least.recordServed(now, now - sentAt);
                }
                // A failure that comes at once indicates an unhealthy server: to give others up would not help.
                boolean late = now - sentAt > 0.8 * (deadline - sentAt);
                if (late || back.served()) {
                    balancer.shedder.recordLoad(now, late);
                }
            }
            if (over) {
                return;
            }
            if (back.served()) {
                close(back);
            } else if (requested.unsafe && back.ran() || attempts >= MAX_ATTEMPTS || now >= deadline) {
                close(new Back(false, runs > 0, null));
            } else {
                send();
            }
        }

        private void close(Back back) {
            over = true;
            if (requested.unsafe && runs > 1) {
                unsafeTwice++;
            }
            Report report = budget == null
                    ? null
                    : balancer.attemptBudgets.close(budget, !back.served() && !(requested.unsafe && back.ran()));
            end.done(new Back(back.served(), back.ran(), report));
        }
    }

    private final class Balancer {
        final int tier;
        final AttemptBudgets attemptBudgets;
        final MinimumTime least = new MinimumTime();
        final LoadShedder shedder;

        Balancer(int tier, long seed) {
            this.tier = tier;
            shedder = new LoadShedder(new LoadShedder.Settings(0.1, 1), seed);
            boolean last = tier == plan.tiers() - 1;
            attemptBudgets = new AttemptBudgets(
                    new BudgetSettings(
                            BOUND,
                            10_000,
                            1_000,
                            1,
                            tier == 0 ? 1 : plan.calls(),
                            (int) Math.pow(plan.calls(), plan.tiers() - 1 - tier),
                            last,
                            2,
                            1,
                            0.5,
                            0,
                            10_000),
                    tier + 1,
                    seed);
        }

        void call(TestRequest requested, HeaderText.Found<Budget> found, double remaining, Ending end) {
            if (!plan.budgets()) {
                new Call(this, requested, now + remaining, null, end).send();
                return;
            }
            AttemptBudgets.Admission admission =
                    attemptBudgets.admit(now, found, tier == 0, remaining, 0, requested.value);
            if (admission.call() == null) {
                end.done(new Back(false, false, null));
                return;
            }
            if (!shedder.admits(now, "all", admission.call().value(), 1)) {
                shed++;
                end.done(new Back(false, false, attemptBudgets.close(admission.call(), false)));
                return;
            }
            new Call(this, requested, admission.call().deadline(), admission.call(), end).send();
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

        void take(Call call, Budget budget, Runnable ran, Ending end) {
            if (queue.size() >= 400) {
                end.done(new Back(false, false, null));
                return;
            }
            queue.add(() -> begin(call, budget, ran, end));
            next();
        }

        private void next() {
            while (busy < 4 && !queue.isEmpty()) {
                busy++;
                queue.poll().run();
            }
        }

        private void begin(Call call, Budget budget, Runnable ran, Ending end) {
            ran.run();
            double work =
                    -Math.log(1 - random.nextDouble()) * 8 * (now > slowFrom && now < slowUntil ? plan.slow() : 1);
            at(now + work, () -> {
                if (next == null) {
                    finish(call, true, null, end);
                } else {
                    int calls = 1 + random.nextInt(plan.calls());
                    HeaderText.Found<Budget> found = budget == null
                            ? new HeaderText.Found<>(HeaderText.Kind.MISSING, null)
                            : new HeaderText.Found<>(HeaderText.Kind.READ, budget);
                    if (random.nextDouble() < plan.strips()) {
                        call.requested.stripped = true;
                        found = new HeaderText.Found<>(HeaderText.Kind.MISSING, null);
                    }
                    further(call, found, calls, null, end);
                }
            });
        }

        /** One call after another; what the last report contained goes back. */
        private void further(Call call, HeaderText.Found<Budget> found, int calls, Report last, Ending end) {
            if (calls == 0) {
                finish(call, true, last, end);
                return;
            }
            next.call(call.requested, found, call.deadline - now, back -> {
                Report report = back.report() == null ? last : back.report();
                if (back.served()) {
                    further(call, found, calls - 1, report, end);
                } else {
                    finish(call, false, report, end);
                }
            });
        }

        private void finish(Call call, boolean well, Report report, Ending end) {
            busy--;
            next();
            if (random.nextDouble() >= plan.lost()) {
                end.done(new Back(well && random.nextDouble() >= plan.errors(), true, report));
            } else {
                // The connection breaks: it has run, and nothing comes back with it.
                end.done(new Back(false, true, null));
            }
        }
    }

    final Plan plan;
    final List<TestRequest> requested = new ArrayList<>();
    int deadSent;
    int unsafeTwice;
    int shed;
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
            // As many more servers as there are more calls, so that all tiers are loaded alike.
            int count = (int) Math.ceil(2 * Math.pow((1 + plan.calls()) / 2.0, tier));
            List<Server> servers = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                servers.add(new Server(tier, random.nextLong()));
            }
            tiers.add(servers);
        }
    }

    private void at(double time, Runnable run) {
        events.add(new Event(Math.max(time, now), order++, run));
    }

    /** Plays it to its end. */
    Chain play() {
        Balancer front = new Balancer(0, random.nextLong());
        // A server of the first tier holds its slot until all that lies below is done.
        double held = 0;
        for (int tier = 0; tier < plan.tiers(); tier++) {
            held += 8 * Math.pow((1 + plan.calls()) / 2.0, tier);
        }
        double gap = held / (4 * tiers.get(0).size()) / plan.load();
        double at = 0;
        double complete = plan.requests() * gap;
        slowFrom = complete / 3;
        slowUntil = 2 * complete / 3;
        for (int i = 0; i < plan.requests(); i++) {
            at += -Math.log(1 - random.nextDouble()) * gap;
            TestRequest one = new TestRequest(i, random.nextInt(4) == 0 ? 8 : 1, random.nextInt(3) == 0);
            requested.add(one);
            double arrives = at;
            at(arrives, () -> {
                one.arrivedAt = now;
                front.call(one, new HeaderText.Found<>(HeaderText.Kind.MISSING, null), 250, back -> {
                    one.answers++;
                    one.served = back.served();
                    one.answeredAt = now;
                });
            });
        }
        for (Event event = events.poll(); event != null; event = events.poll()) {
            now = event.at();
            event.run().run();
        }
        return this;
    }

    int mostLeaves() {
        return requested.stream().mapToInt(one -> one.leaves).max().orElse(0);
    }

    double meanLeaves() {
        return requested.stream().mapToInt(one -> one.leaves).average().orElse(0);
    }

    /** Value served in time, of all that was requested. */
    double kept() {
        double all = requested.stream().mapToDouble(one -> one.value).sum();
        return requested.stream()
                        .filter(one -> one.served && one.answeredAt <= one.arrivedAt + 250)
                        .mapToDouble(one -> one.value)
                        .sum()
                / all;
    }
}
