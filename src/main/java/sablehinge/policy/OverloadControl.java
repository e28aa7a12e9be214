package sablehinge.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.SplittableRandom;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * Load shedding. When the costs of all servers rise together, the weights cannot relieve any of them and all requests
 * would be late, so a part of the work is refused on arrival. Only the first tier sheds load: a refusal in a later tier
 * wastes the work already done in the tiers before it.
 */
final class OverloadControl {

    /** Rise of the pressure per second of overload signals, and its fall per second of calls served in time. */
    private static final double PRESSURE_RISE_PER_SECOND = 0.9;

    private static final double PRESSURE_FALL_PER_SECOND = 0.22;
    /** Longest time for which a single signal counts. */
    private static final double MAX_SIGNAL_GAP_MS = 250;

    private static final double MAX_PRESSURE = 0.95;
    private static final int PLAN_STEPS = 10;
    /** A plan is valid if the work it fails to refuse is below the total work divided by this. */
    private static final double PLAN_PRECISION = 1_000;
    /** Added to the request share of every class; keeps ratios finite. */
    private static final double MIN_SHARE = 1e-6;
    /** A first-tier call is a sign of overload from this share of its aim plus its value when late. */
    private static final double OVERLOAD_AIM_SHARE = 0.5;

    private OverloadControl() {}

    /** The latency in ms from which a first-tier call counts as a sign of overload. */
    static double overloadThreshold(Call call) {
        return (OVERLOAD_AIM_SHARE + call.type.lateValue()) * call.type.aim() * Math.max(1, call.relativeCost());
    }

    /**
     * Updates the pressure with one signal. Each signal counts for the time since the previous one, so the pressure
     * changes equally fast with little traffic, or when most requests are refused and few outcomes arrive, and falls
     * soon after the overload ends.
     *
     * @param inTime whether the call was served below the overload threshold
     */
    static void observe(Call call, boolean inTime, double now) {
        ClassRecord placementHead = call.record.placementHead;
        double seconds = Math.min(MAX_SIGNAL_GAP_MS, now - placementHead.pressureUpdatedAt) / 1_000;
        placementHead.pressureUpdatedAt = now;
        double updated =
                placementHead.pressure + (inTime ? -PRESSURE_FALL_PER_SECOND : PRESSURE_RISE_PER_SECOND) * seconds;
        placementHead.pressure = Math.min(MAX_PRESSURE, Math.max(0, updated));
    }

    /** Counts an arriving request and decides whether to refuse it. */
    static boolean shouldShed(Call call, SplittableRandom random) {
        for (ClassRecord c : call.view.classes) {
            c.share += ClassRecord.GAIN * ((c == call.record ? 1 : 0) - c.share);
        }
        if (call.record.placementHead.pressure == 0) {
            return false;
        }
        planRefusals(call.view, call.record.placementHead);
        return random.nextDouble() < call.record.refusedShare;
    }

    /**
     * Decides which share of each class to refuse, so that the refused work matches the pressure at minimal loss of
     * value. Classes with the lowest value per work are refused first. As the goal also weighs the worst class by
     * itself, plans with different upper bounds of the refused share are compared. Classes with the same placement
     * share their pressure, so the classes restricted to overloaded servers are shed alone.
     */
    private static void planRefusals(View view, ClassRecord placementHead) {
        Settings settings = view.settings;
        ClassRecord[] cheapestFirst = Arrays.stream(view.classes)
                .filter(c -> c.placementHead == placementHead)
                .sorted(Comparator.comparingDouble(c -> value(c, settings) / work(c)))
                .toArray(ClassRecord[]::new);
        double totalWork =
                Arrays.stream(cheapestFirst).mapToDouble(OverloadControl::work).sum();
        double totalValue = Arrays.stream(cheapestFirst)
                .mapToDouble(c -> value(c, settings))
                .sum();
        double worstClassWeight = settings.goal().worstClass();
        double[] refusedShares = new double[cheapestFirst.length];
        double minLoss = Double.MAX_VALUE;
        for (int step = 1; step <= PLAN_STEPS; step++) {
            double maxShare = (double) step / PLAN_STEPS;
            double remainingWork = placementHead.pressure * totalWork;
            double loss = worstClassWeight * maxShare;
            for (int i = 0; i < refusedShares.length; i++) {
                refusedShares[i] = Math.min(maxShare, remainingWork / work(cheapestFirst[i]));
                remainingWork -= refusedShares[i] * work(cheapestFirst[i]);
                loss += (1 - worstClassWeight) * refusedShares[i] * value(cheapestFirst[i], settings) / totalValue;
            }
            if (remainingWork < totalWork / PLAN_PRECISION && loss < minLoss) {
                minLoss = loss;
                for (int i = 0; i < refusedShares.length; i++) {
                    cheapestFirst[i].refusedShare = refusedShares[i];
                }
            }
        }
    }

    /** The class's part of the requested work, from cost hints if available, otherwise from served latencies. */
    private static double work(ClassRecord c) {
        return (c.share + MIN_SHARE) * (c.costHint.value() > 0 ? c.costHint.value() : c.latency.value());
    }

    private static double value(ClassRecord c, Settings settings) {
        return c.type.value() * (settings.valueByWork() ? work(c) : c.share + MIN_SHARE);
    }
}
