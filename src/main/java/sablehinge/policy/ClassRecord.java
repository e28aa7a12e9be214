package sablehinge.policy;

import java.util.Objects;

/** Statistics of one class of requests over all servers. */
final class ClassRecord {

    /** Weight of a sample in the moving averages over all servers (class latency, machine type, cost hints). */
    static final double GAIN = 0.02;

    /** Expected latency before the first sample, as a share of the class's aim. */
    private static final double INITIAL_LATENCY_AIM_SHARE = 0.2;
    /** Initial value of {@link #slowRatio}. */
    private static final double INITIAL_SLOW_RATIO = 3;

    /** Index of the class in the servers' records; stays the same from one version of the settings to the next. */
    final int index;

    final LoadBalancer.ServiceClass type;
    /** Mean latency in ms of served requests, scaled to a request of mean cost on an average server. */
    final Mean latency;
    /** Mean cost hint of the requests that have one. */
    final Mean costHint;
    /** Moving average of its share of the arriving requests. */
    double share;
    /** Share of its requests to refuse on arrival. */
    double refusedShare;
    /** The first class with the same placement; stores the next two fields for all classes with this placement. */
    ClassRecord placementHead;
    /** Share of the requested work that is refused on arrival, and the time of its last update. */
    double pressure;

    double pressureUpdatedAt;
    /** Multiple of the expected latency that only the slowest calls exceed; see {@link LatencyEstimate#slowAfter}. */
    double slowRatio;

    ClassRecord(int index, LoadBalancer.ServiceClass type) {
        this.index = index;
        this.type = type;
        latency = new Mean(INITIAL_LATENCY_AIM_SHARE * type.aim(), GAIN);
        costHint = new Mean(0, GAIN);
        slowRatio = INITIAL_SLOW_RATIO;
    }

    /** Carries the statistics of a class over to another version of the settings. */
    ClassRecord(ClassRecord previous, LoadBalancer.ServiceClass type) {
        index = previous.index;
        this.type = type;
        latency = previous.latency;
        costHint = previous.costHint;
        share = previous.share;
        pressure = previous.pressure;
        pressureUpdatedAt = previous.pressureUpdatedAt;
        slowRatio = previous.slowRatio;
    }

    boolean sharesPlacement(ClassRecord other) {
        return Objects.equals(type.zones(), other.type.zones()) && Objects.equals(type.kinds(), other.type.kinds());
    }

    boolean isPlacementRestricted() {
        return type.zones() != null || type.kinds() != null;
    }
}
