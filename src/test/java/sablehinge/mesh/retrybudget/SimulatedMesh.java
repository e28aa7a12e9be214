package sablehinge.mesh.retrybudget;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Balancers and the owner of the pools, in virtual time: records are lost, doubled, late and overtaken, clocks run
 * apart by a hundredth, balancers are cut off, the singleton role changes hands. What arrives beyond the first is
 * judged against the rule by its words, whatever the deciders believe.
 */
final class SimulatedMesh {

    static final String ATLAS = "atlas";
    static final String RELEVE = "releve";
    private static final double STEP = 10;
    private static final double TICK = 100;
    private static final double GRID = 50;

    final RetryBudgetRule rule;
    final SplittableRandom random;
    final Balancer[] sidecars;
    /** Shares of records that are lost and doubled, and their longest way, in ms. */
    double loss;

    double doubling;
    double way = 3;
    /** The longest time from a token to the arrival, in ms, and the share that never arrives. */
    double lag = 300;

    double lost = 0.05;
    /** How often a request is sent at most, and whether one that was refused goes on asking. */
    int most = 4;

    boolean stubborn;
    /** Calls of a run of atlas for releve, on the mean; they are 0 or 1. */
    double calls;

    double now;
    long events;
    /** Second copies and further tries that were not sent; and those of these that the rule had allowed. */
    int skipped;

    int denied;
    int deniedInside;
    int trips;
    private RetryBudgetAllocator allocator;
    private double allocatorRate = 1;
    private long term;
    private double leaderless;
    private long serial;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.<Due>comparingDouble(d -> d.at).thenComparingLong(d -> d.serial));
    private final Map<String, Times> requests = new HashMap<>();
    private final Map<String, Times> extras = new HashMap<>();

    private record Due(double at, long serial, Runnable what) {}

    /** Moments, of which some come late. */
    static final class Times {
        private double[] at = new double[1_024];
        private int size;
        private boolean sorted = true;

        void add(double moment) {
            if (size == at.length) {
                at = Arrays.copyOf(at, 2 * size);
            }
            sorted &= size == 0 || at[size - 1] <= moment;
            at[size++] = moment;
        }

        int size() {
            return size;
        }

        /** How many lie from one moment to another, both counted. */
        int within(double from, double to) {
            return Math.max(0, below(Math.nextUp(to)) - below(from));
        }

        private int below(double moment) {
            if (!sorted) {
                Arrays.sort(at, 0, size);
                sorted = true;
            }
            int low = 0;
            int high = size;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (at[middle] < moment) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    /** A balancer, with what it meets. */
    final class Balancer {
        final double rate = 0.99 + random.nextDouble() * 0.02;
        final double from = random.nextDouble() * 1e6;
        private final String beside;
        private final int place;
        private RetryBudgetShares shares;
        boolean cut;
        /** Requests a second for each service, and the share of runs that fail. */
        final Map<String, Double> demand = new HashMap<>();

        final Map<String, Double> failing = new HashMap<>();
        int granted;
        /** Moments of further tries that were wanted, and of those that had their token. */
        private final Times wanted = new Times();

        private final Times met = new Times();

        Balancer(int place, String beside) {
            this.place = place;
            this.beside = beside;
            startedAt();
        }

        void startedAt() {
            shares = new RetryBudgetShares(rule, random.nextLong(), beside);
            shares.adopt(List.of(ATLAS, RELEVE));
            shares.setPosition(place, sidecars.length);
        }

        double clock() {
            return from + now * rate;
        }

        private void step() {
            demand.forEach((service, perSecond) -> {
                for (double left = perSecond * STEP / 1_000; random.nextDouble() < left; left--) {
                    requests.computeIfAbsent(service, name -> new Times()).add(now);
                    shares.onRequest(service);
                    run(service, false, 1);
                }
            });
        }

        /** A run makes its calls, which are repeats if it is one; if it fails, another may follow. */
        private void run(String service, boolean repeat, int tries) {
            if (service.equals(ATLAS) && random.nextDouble() < calls) {
                caller().shares.onUpstreamCall(RELEVE);
                if (repeat) {
                    extra(RELEVE, now + random.nextDouble() * lag);
                }
            }
            if (tries < most && random.nextDouble() < failing.getOrDefault(service, 0.0)) {
                after(random.nextDouble() * lag, () -> again(service, tries));
            }
        }

        /** Beside some upstream of atlas. */
        private Balancer caller() {
            return sidecars[2 * random.nextInt((sidecars.length + 1) / 2)];
        }

        private void again(String service, int tries) {
            boolean spare = random.nextInt(4) == 0;
            double requestedAt = now;
            if (!spare) {
                wanted.add(requestedAt);
            }
            shares.acquire(clock(), service, spare, token -> {
                if (!spare && token != null) {
                    met.add(requestedAt);
                }
                taken(service, tries, spare, token);
            });
            claim();
        }

        private void taken(String service, int tries, boolean spare, Runnable token) {
            if (token == null && spare) {
                skipped++;
            } else if (token == null) {
                denied++;
                if (stubborn && tries < most) {
                    after(100, () -> again(service, tries + 1));
                }
                deniedInside += inside(service) ? 1 : 0;
            } else if (random.nextDouble() < lost) {
                after(random.nextDouble() * lag, token);
            } else {
                granted++;
                double at = now + random.nextDouble() * lag;
                extra(service, at);
                after(at - now, () -> run(service, true, tries + 1));
            }
        }

        /** From when on, in s after a time, nine of ten further tries wanted in a second have their token. */
        double follows(double from) {
            double at = from;
            while (met.within(at, at + 1_000) < 0.9 * wanted.within(at, at + 1_000)) {
                at += TICK;
            }
            return (at - from) / 1_000;
        }

        private void claim() {
            shares.expireWaiting(clock());
            Claim claim = shares.nextClaim(clock());
            if (claim != null) {
                trips++;
                carry(
                        () -> {
                            Grant grant = allocator == null ? null : allocator.grant(now * allocatorRate, claim);
                            if (grant != null) {
                                carry(() -> shares.onGrant(clock(), grant), cut);
                            }
                        },
                        cut);
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
        leads();
    }

    /** Another has the singleton role from now on; before, there may be nobody for a while. */
    void leads() {
        allocator = new RetryBudgetAllocator(rule);
        allocatorRate = 0.99 + random.nextDouble() * 0.02;
        allocator.begin(++term);
        allocator.adopt(now * allocatorRate, List.of(ATLAS, RELEVE));
    }

    /** The owner is gone, and another comes after so many ms. */
    void leaderless(double ms) {
        allocator = null;
        leaderless = now + ms;
    }

    /** Each balancer's part of a demand in requests a second, and the share of its runs that fail. */
    void spread(String service, double perSecond, double failing) {
        for (Balancer one : sidecars) {
            one.demand.put(service, perSecond / sidecars.length);
            one.failing.put(service, failing);
        }
    }

    void run(double ms) {
        double end = now + ms;
        while (now < end) {
            now += STEP;
            if (allocator == null && now >= leaderless) {
                leads();
            }
            while (!due.isEmpty() && due.peek().at <= now) {
                due.poll().what.run();
                events++;
            }
            for (Balancer one : sidecars) {
                one.step();
                if (Math.floor(now / TICK) > Math.floor((now - STEP) / TICK)) {
                    one.claim();
                }
            }
        }
    }

    private void after(double ms, Runnable what) {
        due.add(new Due(now + ms, serial++, what));
    }

    private void carry(Runnable record, boolean cut) {
        if (cut || random.nextDouble() < loss) {
            return;
        }
        after(random.nextDouble() * way, record);
        if (random.nextDouble() < doubling) {
            after(random.nextDouble() * 10 * way, record);
        }
    }

    private void extra(String service, double at) {
        extras.computeIfAbsent(service, name -> new Times()).add(at);
    }

    /** Arrivals beyond the first. */
    int extras() {
        return extras.values().stream().mapToInt(Times::size).sum();
    }

    int requests() {
        return requests.values().stream().mapToInt(Times::size).sum();
    }

    /** Further tries that got a token. */
    int granted() {
        return Arrays.stream(sidecars).mapToInt(one -> one.granted).sum();
    }

    /** Of all windows, the most arrivals beyond the first for what the rule allows. */
    double fullest() {
        double most = 0;
        for (String service : List.of(ATLAS, RELEVE)) {
            Times arrived = extras.getOrDefault(service, new Times());
            for (double begin = 0; begin < now; begin += GRID) {
                most = Math.max(most, arrived.within(begin, begin + rule.windowMs()) / limit(service, begin));
            }
        }
        return most;
    }

    /** Whether one more arrival now would still be within the rule, as far as the past tells. */
    private boolean inside(String service) {
        Times arrived = extras.getOrDefault(service, new Times());
        return arrived.within(now - rule.windowMs(), now) + 1 <= limit(service, now - rule.windowMs());
    }

    /** What the rule allows in the window that begins at a time (RULES, BUDGET). */
    private double limit(String service, double from) {
        Times times = requests.getOrDefault(service, new Times());
        double window = rule.windowMs();
        int most = 0;
        for (double begin : new double[] {from, from - window / 2, from - window}) {
            most = Math.max(most, times.within(begin, begin + window));
        }
        return rule.ratio() * most + rule.slack();
    }

    /** How far the fullest window of all lies above the rule's limit; below 0 where none does. */
    double excess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (String service : List.of(ATLAS, RELEVE)) {
            Times arrived = extras.getOrDefault(service, new Times());
            for (int i = 0; i < arrived.size(); i++) {
                // A window is fullest that begins with an arrival, or a little before it.
                for (double begin = arrived.at[i]; begin > arrived.at[i] - 2 * GRID; begin -= GRID) {
                    worst = Math.max(worst, arrived.within(begin, begin + rule.windowMs()) - limit(service, begin));
                }
            }
        }
        return worst;
    }
}
