package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.Arrays;

/** This instance's statistics of one server as decaying sums; makes no decisions. */
final class Server {

    /** Time in which statistics decay to 1/e; shorter than most faults, so an unhealthy server is tried again. */
    private static final double EVIDENCE_DECAY_MS = 8_000;
    /** Minimum time between decay steps; far below the decay time, it only saves CPU. */
    private static final double DECAY_STEP_MS = 200;
    /** Weight in samples of the mean of the machine type in the relative latency, as most servers have few samples. */
    private static final double LATENCY_PRIOR_SAMPLES = 2;
    /** Weight in calls of the machine type in the success share: a faulty type affects all its servers. */
    private static final double SUCCESS_PRIOR_CALLS = 2;
    /** Weight in calls of all classes in the success share of one class: a server may fail one class or all. */
    private static final double CLASS_PRIOR_CALLS = 1;

    /** Statistics of a machine type: mean relative latency and share of calls served. */
    static final class Kind {
        final Mean latency;
        final Mean served;

        Kind() {
            latency = new Mean(1, ClassRecord.GAIN);
            served = new Mean(1, ClassRecord.GAIN);
        }
    }

    LoadBalancer.Upstream entry;
    final Kind kind;
    /** This instance's attempts in flight at the server, oldest first. */
    final ArrayDeque<Call.Attempt> inFlight = new ArrayDeque<>();
    /** Sum and number of served latencies relative to the expected latency. */
    double latencySum;

    double latencyCount;
    /** Sum of the calls that were in flight at the server when the served ones were sent. */
    double inFlightSum;
    /** Calls served and calls finished, over all classes and by class. */
    double served;

    double finished;
    double[] servedByClass;
    double[] finishedByClass;
    /** Whether it belongs to the {@link ServerSubset} that this instance prefers. */
    boolean inSubset;
    /** Sends that are allowed to it while it warms up. */
    double warmUpBudget;
    /** Time until which its connection table is assumed to be full. */
    double tableFullUntil = Double.NEGATIVE_INFINITY;
    /** Rejections and failed connects since it last served a call. */
    int rejections;
    /** Scratch value of one draw or of one choice of the subset. */
    double weight;

    private double decayedAt;

    Server(LoadBalancer.Upstream entry, Kind kind, int classes, double now, double warmUpBudget) {
        servedByClass = new double[classes];
        finishedByClass = new double[classes];
        this.entry = entry;
        this.kind = kind;
        this.warmUpBudget = warmUpBudget;
        decayedAt = now;
    }

    /** Decays all statistics, at most once in {@link #DECAY_STEP_MS}. */
    void decay(double now) {
        if (now - decayedAt < DECAY_STEP_MS) {
            return;
        }
        double factor = Math.exp((decayedAt - now) / EVIDENCE_DECAY_MS);
        latencySum *= factor;
        latencyCount *= factor;
        inFlightSum *= factor;
        served *= factor;
        finished *= factor;
        for (int i = 0; i < finishedByClass.length; i++) {
            servedByClass[i] *= factor;
            finishedByClass[i] *= factor;
        }
        decayedAt = now;
    }

    /**
     * Resets the statistics of a class.
     *
     * @param slots minimum length of the arrays by class
     */
    void addClass(int serviceClass, int slots) {
        servedByClass = Arrays.copyOf(servedByClass, Math.max(slots, servedByClass.length));
        finishedByClass = Arrays.copyOf(finishedByClass, servedByClass.length);
        servedByClass[serviceClass] = 0;
        finishedByClass[serviceClass] = 0;
    }

    void countOutcome(int serviceClass, boolean wasServed) {
        kind.served.add(wasServed ? 1 : 0);
        finished += 1;
        finishedByClass[serviceClass] += 1;
        if (wasServed) {
            served += 1;
            servedByClass[serviceClass] += 1;
        }
    }

    /** Mean latency relative to all servers, pooled with samples of its machine type. */
    double relativeLatency() {
        return (latencySum + LATENCY_PRIOR_SAMPLES * kind.latency.value()) / (latencyCount + LATENCY_PRIOR_SAMPLES);
    }

    /** Mean number of calls already in flight when a served call was sent, pooled with samples of zero. */
    double meanInFlight() {
        return inFlightSum / (latencyCount + LATENCY_PRIOR_SAMPLES);
    }

    /** Success share of a class, pooled with that of all classes, which is pooled with that of the machine type. */
    double success(int serviceClass) {
        double overall = (served + SUCCESS_PRIOR_CALLS * kind.served.value()) / (finished + SUCCESS_PRIOR_CALLS);
        return (servedByClass[serviceClass] + CLASS_PRIOR_CALLS * overall)
                / (finishedByClass[serviceClass] + CLASS_PRIOR_CALLS);
    }
}
