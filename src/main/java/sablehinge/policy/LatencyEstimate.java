package sablehinge.policy;

import sablehinge.policy.Call.Attempt;

/** Estimates the latency of requests by class: the expected value and a high quantile. Times are in ms. */
final class LatencyEstimate {

    /**
     * Share of the expected latency that scales with the cost hint; the rest is waiting time common to all requests.
     */
    private static final double HINTED_LATENCY_SHARE = 0.5;
    /** Lower bound of a latency sample; keeps every server cost above zero. */
    private static final double MIN_LATENCY_MS = 0.01;
    /** Share of calls slower than the delay after which a hedged request or a retry is worthwhile. */
    private static final double SLOW_SHARE = 0.05;
    /** Step of the quantile estimate behind that delay, relative to its value. */
    private static final double SLOW_STEP = 0.05;
    /**
     * Bounds of that delay relative to the expected latency, for classes with uniform and with long-tailed latencies.
     */
    private static final double MIN_SLOW_RATIO = 1.5;

    private static final double MAX_SLOW_RATIO = 10;

    private LatencyEstimate() {}

    /** The expected latency of a request on an average server. */
    static double expected(Call call) {
        return call.record.latency.value() * hintFactor(call);
    }

    /** The latency that only {@link #SLOW_SHARE} of such requests exceed. */
    static double slowAfter(Call call) {
        return expected(call) * call.record.slowRatio;
    }

    /** Records the latency of a served attempt. */
    static void observe(Attempt attempt, double elapsed) {
        Call call = attempt.call;
        Server server = attempt.server;
        double normalized = Math.max(MIN_LATENCY_MS, elapsed) / hintFactor(call);
        double relative = normalized / call.record.latency.value();
        updateSlowRatio(call.record, relative);
        call.record.latency.add(normalized / server.relativeLatency());
        server.latencySum += relative;
        server.latencyCount += 1;
        server.inFlightSum += attempt.inFlightBefore;
        server.kind.latency.add(relative);
    }

    /** Records an attempt that was abandoned: counts as slower than any served one. */
    static void observeAbandoned(ClassRecord record) {
        updateSlowRatio(record, Double.MAX_VALUE);
    }

    /** Updates the estimate of the ratio to the expected latency that only {@link #SLOW_SHARE} of calls exceed. */
    private static void updateSlowRatio(ClassRecord record, double ratio) {
        double slow = record.slowRatio * (1 + SLOW_STEP * (ratio > record.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
        record.slowRatio = Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, slow));
    }

    private static double hintFactor(Call call) {
        return 1 - HINTED_LATENCY_SHARE + HINTED_LATENCY_SHARE * call.relativeCost();
    }
}
