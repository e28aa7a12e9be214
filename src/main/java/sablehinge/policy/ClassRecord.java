package sablehinge.policy;

import java.util.Objects;

/** What was seen of a class of requests over all servers. */
final class ClassRecord {

    /** Weight of a sample in the averages over all servers (class latency, machine type, cost hints). */
    static final double GAIN = 0.02;

    /** Expected latency before any was seen, as a share of the class's aim. */
    private static final double FIRST_GUESS = 0.2;
    /** {@link #slowRatio} at first. */
    private static final double FIRST_SLOW_RATIO = 3;

    /** Its place in the servers' records; a class keeps it from one version of the settings to the next. */
    final int index;

    final LoadBalancer.ServiceClass type;
    /** Served latency in ms for a request of mean cost on a mean server. */
    final Mean latency;
    /** Hinted cost. */
    final Mean hint;
    /** Its share of the requests that arrive. */
    double share;
    /** The part of them to refuse at once. */
    double refused;
    /** The first class of the same placement: the two below are kept there for all of them. */
    ClassRecord leader;
    /** Share of the work requested that is refused at once, and when it was last moved. */
    double pressure;

    double feltAt;
    /** How many times the expected latency only the slowest calls take. */
    double slowRatio;

    ClassRecord(int index, LoadBalancer.ServiceClass type) {
        this.index = index;
        this.type = type;
        latency = new Mean(FIRST_GUESS * type.aim(), GAIN);
        hint = new Mean(0, GAIN);
        slowRatio = FIRST_SLOW_RATIO;
    }

    /** The class in another version: what was seen of it stays. */
    ClassRecord(ClassRecord before, LoadBalancer.ServiceClass type) {
        index = before.index;
        this.type = type;
        latency = before.latency;
        hint = before.hint;
        share = before.share;
        pressure = before.pressure;
        feltAt = before.feltAt;
        slowRatio = before.slowRatio;
    }

    boolean sharesPlacement(ClassRecord other) {
        return Objects.equals(type.zones(), other.type.zones()) && Objects.equals(type.kinds(), other.type.kinds());
    }

    boolean isBound() {
        return type.zones() != null || type.kinds() != null;
    }
}
