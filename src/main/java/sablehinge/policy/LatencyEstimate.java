package sablehinge.policy;

import sablehinge.policy.Call.Attempt;

/** How long requests take by class: the expected latency, and the delay that only the slowest exceed. Times are ms. */
final class LatencyEstimate {

    /** Share of an expected latency that goes with the hinted work; the rest is waiting that all share. */
    private static final double HINT_SHARE = 0.5;
    /** Latencies closer than this, ms, are equal; keeps every l above zero. */
    private static final double MIN_LATENCY = 0.01;
    /** Share of calls slower than the delay after which a hedged request or a retry pays. */
    private static final double SLOW_SHARE = 0.05;
    /** Step of the quantile estimate behind that delay, relative to its value. */
    private static final double SLOW_STEP = 0.05;
    /** Bounds of that delay over the expected latency: for even and long-tailed classes. */
    private static final double MIN_SLOW_RATIO = 1.5;

    private static final double MAX_SLOW_RATIO = 10;

    private LatencyEstimate() {}

    /** The latency to expect of a request on a mean server. */
    static double expected(Call call) {
        return call.record.latency.value() * hintFactor(call);
    }

    /** The latency that only {@link #SLOW_SHARE} of such requests exceed. */
    static double slowAfter(Call call) {
        return expected(call) * call.record.slowRatio;
    }

    /** A served attempt took so long. */
    static void observe(Attempt attempt, double elapsed) {
        Call call = attempt.call;
        Server server = attempt.server;
        double perHint = Math.max(MIN_LATENCY, elapsed) / hintFactor(call);
        double relative = perHint / call.record.latency.value();
        moveSlowRatio(call.record, relative);
        call.record.latency.add(perHint / server.base());
        server.latencySum += relative;
        server.latencyCount += 1;
        server.crowdSum += attempt.behind;
        server.kind.latency.add(relative);
    }

    /** An attempt was given up, later than any that is served. */
    static void observeGivenUp(ClassRecord record) {
        moveSlowRatio(record, Double.MAX_VALUE);
    }

    /** Moves the estimate of the latency over the expected one that only {@link #SLOW_SHARE} of calls exceed. */
    private static void moveSlowRatio(ClassRecord record, double ratio) {
        double slow = record.slowRatio * (1 + SLOW_STEP * (ratio > record.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
        record.slowRatio = Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, slow));
    }

    private static double hintFactor(Call call) {
        return 1 - HINT_SHARE + HINT_SHARE * call.size();
    }
}
