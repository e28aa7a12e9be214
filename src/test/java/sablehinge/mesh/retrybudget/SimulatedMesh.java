package sablehinge.mesh.retrybudget;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A simulation of balancers and the leader that owns the pools, in virtual time. Records are lost, duplicated, delayed
 * and reordered, clock rates differ by up to one percent, balancers are partitioned, and leadership changes. Extra
 * arrivals are checked against the text of the rule, independently of the tested classes.
 */
final class SimulatedMesh {

    static final String ATLAS = "atlas";
    static final String RELEVE = "releve";
    private static final double STEP_MS = 10;
    private static final double TICK_MS = 100;
    private static final double GRID_MS = 50;

    final RetryBudgetRule rule;
    final SplittableRandom random;
    final Balancer[] sidecars;
    /** Shares of records that are lost and duplicated, and their maximum transit time in milliseconds. */
    double lossRate;

    double duplicationRate;
    double maxTransitMs = 3;
    /** Maximum time in milliseconds from a token to the arrival, and the share that never arrives. */
    double maxArrivalLagMs = 300;

    double neverArrivingShare = 0.05;
    /** Maximum number of attempts per request, and whether a refused retry is requested again. */
    int maxAttempts = 4;

    boolean repeatsRefusedRetries;
    /** Mean number of calls to releve per run of atlas; each run makes 0 or 1. */
    double callsPerRun;

    double now;
    long events;
    /**
     * Speculative attempts and retries that were not sent, and the retries among them that the rule would have allowed.
     */
    int skipped;

    int denied;
    int deniedWithinRule;
    int claims;
    private RetryBudgetAllocator allocator;
    private double leaderClockRate = 1;
    private long term;
    private double nextLeaderAt;
    private long sequence;
    private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>(
            Comparator.<ScheduledTask>comparingDouble(task -> task.at).thenComparingLong(task -> task.sequence));
    private final Map<String, TimeLog> requests = new HashMap<>();
    private final Map<String, TimeLog> extraArrivals = new HashMap<>();

    private record ScheduledTask(double at, long sequence, Runnable task) {}

    /** A log of times, which may be added out of order. */
    static final class TimeLog {
        private double[] at = new double[1_024];
        private int size;
        private boolean sorted = true;

        void add(double time) {
            if (size == at.length) {
                at = Arrays.copyOf(at, 2 * size);
            }
            sorted &= size == 0 || at[size - 1] <= time;
            at[size++] = time;
        }

        int size() {
            return size;
        }

        /** The number of times between two times, both inclusive. */
        int countBetween(double from, double to) {
            return Math.max(0, countBelow(Math.nextUp(to)) - countBelow(from));
        }

        private int countBelow(double time) {
            if (!sorted) {
                Arrays.sort(at, 0, size);
                sorted = true;
            }
            int low = 0;
            int high = size;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (at[middle] < time) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    /** A balancer with its demand and faults. */
    final class Balancer {
        final double clockRate = 0.99 + random.nextDouble() * 0.02;
        final double clockOffset = random.nextDouble() * 1e6;
        private final String localService;
        private final int index;
        private RetryBudgetShares shares;
        boolean partitioned;
        /** Requests per second for each service, and the share of runs that fail. */
        final Map<String, Double> demand = new HashMap<>();

        final Map<String, Double> failureRate = new HashMap<>();
        int granted;
        /** Times of the requested retries, and of those that got a token. */
        private final TimeLog requested = new TimeLog();

        private final TimeLog satisfied = new TimeLog();

        Balancer(int index, String localService) {
            this.index = index;
            this.localService = localService;
            restart();
        }

        void restart() {
            shares = new RetryBudgetShares(rule, random.nextLong(), localService);
            shares.adopt(List.of(ATLAS, RELEVE));
            shares.setPosition(index, sidecars.length);
        }

        double clock() {
            return clockOffset + now * clockRate;
        }

        private void generateRequests() {
            demand.forEach((service, perSecond) -> {
                for (double left = perSecond * STEP_MS / 1_000; random.nextDouble() < left; left--) {
                    requests.computeIfAbsent(service, name -> new TimeLog()).add(now);
                    shares.onRequest(service);
                    run(service, false, 1);
                }
            });
        }

        /** Runs a request with its calls, which are repeated if the run is a repeat. A failed run may be retried. */
        private void run(String service, boolean repeat, int attempt) {
            if (service.equals(ATLAS) && random.nextDouble() < callsPerRun) {
                caller().shares.onUpstreamCall(RELEVE);
                if (repeat) {
                    recordExtraArrival(RELEVE, now + random.nextDouble() * maxArrivalLagMs);
                }
            }
            if (attempt < maxAttempts && random.nextDouble() < failureRate.getOrDefault(service, 0.0)) {
                after(random.nextDouble() * maxArrivalLagMs, () -> retry(service, attempt));
            }
        }

        /** A random balancer whose local upstream belongs to atlas. */
        private Balancer caller() {
            return sidecars[2 * random.nextInt((sidecars.length + 1) / 2)];
        }

        private void retry(String service, int attempt) {
            boolean speculative = random.nextInt(4) == 0;
            double requestedAt = now;
            if (!speculative) {
                requested.add(requestedAt);
            }
            shares.acquire(clock(), service, speculative, token -> {
                if (!speculative && token != null) {
                    satisfied.add(requestedAt);
                }
                onToken(service, attempt, speculative, token);
            });
            sendClaim();
        }

        private void onToken(String service, int attempt, boolean speculative, Runnable token) {
            if (token == null && speculative) {
                skipped++;
            } else if (token == null) {
                denied++;
                if (repeatsRefusedRetries && attempt < maxAttempts) {
                    after(100, () -> retry(service, attempt + 1));
                }
                deniedWithinRule += isWithinRule(service) ? 1 : 0;
            } else if (random.nextDouble() < neverArrivingShare) {
                after(random.nextDouble() * maxArrivalLagMs, token);
            } else {
                granted++;
                double at = now + random.nextDouble() * maxArrivalLagMs;
                recordExtraArrival(service, at);
                after(at - now, () -> run(service, true, attempt + 1));
            }
        }

        /** Seconds after a time until nine of ten retries requested within a second get their token. */
        double secondsToFollow(double from) {
            double at = from;
            while (satisfied.countBetween(at, at + 1_000) < 0.9 * requested.countBetween(at, at + 1_000)) {
                at += TICK_MS;
            }
            return (at - from) / 1_000;
        }

        private void sendClaim() {
            shares.expireWaiting(clock());
            Claim claim = shares.nextClaim(clock());
            if (claim != null) {
                claims++;
                transmit(
                        () -> {
                            Grant grant = allocator == null ? null : allocator.grant(now * leaderClockRate, claim);
                            if (grant != null) {
                                transmit(() -> shares.onGrant(clock(), grant), partitioned);
                            }
                        },
                        partitioned);
            }
        }
    }

    SimulatedMesh(long seed, int balancers, RetryBudgetRule rule) {
        this.rule = rule;
        random = new SplittableRandom(seed);
        sidecars = new Balancer[balancers];
        for (int i = 0; i < balancers; i++) {
            sidecars[i] = new Balancer(i, i % 2 == 0 ? ATLAS : RELEVE);
        }
        startLeader();
    }

    /** Makes a new leader the owner of the pools. */
    void startLeader() {
        allocator = new RetryBudgetAllocator(rule);
        leaderClockRate = 0.99 + random.nextDouble() * 0.02;
        allocator.begin(++term);
        allocator.adopt(now * leaderClockRate, List.of(ATLAS, RELEVE));
    }

    /** Removes the leader; a new one starts after the given time in milliseconds. */
    void loseLeader(double ms) {
        allocator = null;
        nextLeaderAt = now + ms;
    }

    /** Spreads a demand in requests per second evenly over the balancers and sets the share of runs that fail. */
    void spread(String service, double perSecond, double failureRate) {
        for (Balancer balancer : sidecars) {
            balancer.demand.put(service, perSecond / sidecars.length);
            balancer.failureRate.put(service, failureRate);
        }
    }

    void run(double ms) {
        double end = now + ms;
        while (now < end) {
            now += STEP_MS;
            if (allocator == null && now >= nextLeaderAt) {
                startLeader();
            }
            while (!scheduled.isEmpty() && scheduled.peek().at <= now) {
                scheduled.poll().task.run();
                events++;
            }
            for (Balancer balancer : sidecars) {
                balancer.generateRequests();
                if (Math.floor(now / TICK_MS) > Math.floor((now - STEP_MS) / TICK_MS)) {
                    balancer.sendClaim();
                }
            }
        }
    }

    private void after(double ms, Runnable task) {
        scheduled.add(new ScheduledTask(now + ms, sequence++, task));
    }

    private void transmit(Runnable record, boolean partitioned) {
        if (partitioned || random.nextDouble() < lossRate) {
            return;
        }
        after(random.nextDouble() * maxTransitMs, record);
        if (random.nextDouble() < duplicationRate) {
            after(random.nextDouble() * 10 * maxTransitMs, record);
        }
    }

    private void recordExtraArrival(String service, double at) {
        extraArrivals.computeIfAbsent(service, name -> new TimeLog()).add(at);
    }

    /** The number of extra arrivals. */
    int extraArrivals() {
        return extraArrivals.values().stream().mapToInt(TimeLog::size).sum();
    }

    int requests() {
        return requests.values().stream().mapToInt(TimeLog::size).sum();
    }

    /** The number of retries that got a token. */
    int granted() {
        return Arrays.stream(sidecars).mapToInt(balancer -> balancer.granted).sum();
    }

    /** The maximum over all windows of the extra arrivals divided by the rule's limit. */
    double maxRuleUsage() {
        double usage = 0;
        for (String service : List.of(ATLAS, RELEVE)) {
            TimeLog arrived = extraArrivals.getOrDefault(service, new TimeLog());
            for (double begin = 0; begin < now; begin += GRID_MS) {
                usage = Math.max(
                        usage, arrived.countBetween(begin, begin + rule.windowMs()) / ruleLimit(service, begin));
            }
        }
        return usage;
    }

    /** Whether one more extra arrival now would be within the rule, judged by the past. */
    private boolean isWithinRule(String service) {
        TimeLog arrived = extraArrivals.getOrDefault(service, new TimeLog());
        return arrived.countBetween(now - rule.windowMs(), now) + 1 <= ruleLimit(service, now - rule.windowMs());
    }

    /** The rule's limit for the window that begins at a time (RULES, BUDGET). */
    private double ruleLimit(String service, double from) {
        TimeLog times = requests.getOrDefault(service, new TimeLog());
        double window = rule.windowMs();
        int maxRequests = 0;
        for (double begin : new double[] {from, from - window / 2, from - window}) {
            maxRequests = Math.max(maxRequests, times.countBetween(begin, begin + window));
        }
        return rule.ratio() * maxRequests + rule.slack();
    }

    /** The maximum over all windows of the extra arrivals above the rule's limit; negative if no window exceeds it. */
    double excess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (String service : List.of(ATLAS, RELEVE)) {
            TimeLog arrived = extraArrivals.getOrDefault(service, new TimeLog());
            for (int i = 0; i < arrived.size(); i++) {
                // The fullest windows begin at an arrival or shortly before it.
                for (double begin = arrived.at[i]; begin > arrived.at[i] - 2 * GRID_MS; begin -= GRID_MS) {
                    worst = Math.max(
                            worst, arrived.countBetween(begin, begin + rule.windowMs()) - ruleLimit(service, begin));
                }
            }
        }
        return worst;
    }
}
