package sablehinge.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.SplittableRandom;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * Load shedding: when every l rises together, weights say nothing. Under overload all would be late, so a part of the
 * work is refused before any is spent on it: only where clients arrive, since further down a refusal wastes what was
 * done above.
 */
final class OverloadControl {

    /** Change of the share of work refused in a second of signs of overload, and in one of the opposite. */
    private static final double PRESSURE_UP = 0.9;

    private static final double PRESSURE_DOWN = 0.22;
    /** The longest time in ms for which one outcome stands. */
    private static final double MAX_GAP = 250;

    private static final double MAX_PRESSURE = 0.95;
    private static final int PLAN_STEPS = 10;
    /** A plan may miss the pressure by the work over this. */
    private static final double PLAN_PRECISION = 1_000;
    /** Least share of the requests that a class is reckoned with; keeps ratios finite. */
    private static final double MIN_SHARE = 1e-6;
    /** A first-tier call that takes more of its aim than this, and its value when late, tells of overload. */
    private static final double STRAINED = 0.5;

    private OverloadControl() {}

    /** The latency in ms from which a call of the first tier is a sign of overload. */
    static double strainedAfter(Call call) {
        return (STRAINED + call.type.lateValue()) * call.type.aim() * Math.max(1, call.size());
    }

    /**
     * Each sign stands for the time since the one before: the level moves as fast where traffic is thin, or where so
     * much is refused that few outcomes come, and does not outlast its cause.
     *
     * @param inTime whether the call was served in good time
     */
    static void observe(Call call, boolean inTime, double now) {
        ClassRecord leader = call.record.leader;
        double seconds = Math.min(MAX_GAP, now - leader.feltAt) / 1_000;
        leader.feltAt = now;
        double changed = leader.pressure + (inTime ? -PRESSURE_DOWN : PRESSURE_UP) * seconds;
        leader.pressure = Math.min(MAX_PRESSURE, Math.max(0, changed));
    }

    /** Counts a request that arrives, and decides whether it is refused at once. */
    static boolean shed(Call call, SplittableRandom random) {
        for (ClassRecord c : call.view.classes) {
            c.share += ClassRecord.GAIN * ((c == call.record ? 1 : 0) - c.share);
        }
        if (call.record.leader.pressure == 0) {
            return false;
        }
        plan(call.view, call.record.leader);
        return random.nextDouble() < call.record.refused;
    }

    /**
     * How much of each class to refuse so that the pressure's share of their work goes, at least loss: the cheapest
     * value per work first, but no class more than pays: the worst one counts by itself too. Classes of one placement
     * share their pressure: what is bound to crowded servers is shed alone.
     */
    private static void plan(View view, ClassRecord leader) {
        Settings settings = view.settings;
        ClassRecord[] cheapestFirst = Arrays.stream(view.classes)
                .filter(c -> c.leader == leader)
                .sorted(Comparator.comparingDouble(c -> value(c, settings) / work(c)))
                .toArray(ClassRecord[]::new);
        double allWork =
                Arrays.stream(cheapestFirst).mapToDouble(OverloadControl::work).sum();
        double totalValue = Arrays.stream(cheapestFirst)
                .mapToDouble(c -> value(c, settings))
                .sum();
        double forWorst = settings.goal().worstClass();
        double[] parts = new double[cheapestFirst.length];
        double leastLoss = Double.MAX_VALUE;
        for (int step = 1; step <= PLAN_STEPS; step++) {
            double maxPart = (double) step / PLAN_STEPS;
            double left = leader.pressure * allWork;
            double loss = forWorst * maxPart;
            for (int i = 0; i < parts.length; i++) {
                parts[i] = Math.min(maxPart, left / work(cheapestFirst[i]));
                left -= parts[i] * work(cheapestFirst[i]);
                loss += (1 - forWorst) * parts[i] * value(cheapestFirst[i], settings) / totalValue;
            }
            if (left < allWork / PLAN_PRECISION && loss < leastLoss) {
                leastLoss = loss;
                for (int i = 0; i < parts.length; i++) {
                    cheapestFirst[i].refused = parts[i];
                }
            }
        }
    }

    /** A class's part of the work requested; hints tell it best, else served latencies. */
    private static double work(ClassRecord c) {
        return (c.share + MIN_SHARE) * (c.hint.value() > 0 ? c.hint.value() : c.latency.value());
    }

    private static double value(ClassRecord c, Settings settings) {
        return c.type.value() * (settings.valueByWork() ? work(c) : c.share + MIN_SHARE);
    }
}
