package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.Arrays;

/** What was seen of one server by this instance: sums of evidence that fade, no decisions. */
final class Server {

    /** What was seen of a machine type: mean relative latency and share of calls served. */
    static final class Kind {
        final Mean latency;
        final Mean served;

        Kind(double gain) {
            latency = new Mean(1, gain);
            served = new Mean(1, gain);
        }
    }

    LoadBalancer.Upstream listed;
    final Kind kind;
    /** Own attempts in flight there, oldest first. */
    final ArrayDeque<Call.Attempt> out = new ArrayDeque<>();
    /** Served latencies relative to what was expected, and how many. */
    double latencySum;

    double latencyCount;
    /** Own calls in flight there when these were sent. */
    double crowdSum;
    /** Calls served and ended there, of all classes and of each. */
    double served;

    double tries;
    double[] servedOf;
    double[] triesOf;
    /** Whether it belongs to the subset of the fleet that this instance prefers. */
    boolean preferred;
    /** Sends that it has earned while warming up. */
    double warmUpBudget;
    /** Until when it is taken to have a full table of connections. */
    double crowdedUntil = Double.NEGATIVE_INFINITY;
    /** Calls that it rejected or did not let connect since it last served one. */
    int doubts;
    /** Scratch for one draw. */
    double weight;

    private double fadedAt;

    Server(LoadBalancer.Upstream listed, Kind kind, int classes, double now, double warmUpBudget) {
        servedOf = new double[classes];
        triesOf = new double[classes];
        this.listed = listed;
        this.kind = kind;
        this.warmUpBudget = warmUpBudget;
        fadedAt = now;
    }

    /** Lets all evidence fade with the given time constant, at most once a step. */
    void fade(double now, double constant, double step) {
        if (now - fadedAt < step) {
            return;
        }
        double kept = Math.exp((fadedAt - now) / constant);
        latencySum *= kept;
        latencyCount *= kept;
        crowdSum *= kept;
        served *= kept;
        tries *= kept;
        for (int i = 0; i < triesOf.length; i++) {
            servedOf[i] *= kept;
            triesOf[i] *= kept;
        }
        fadedAt = now;
    }

    /** Has a place for a class that was not there before, in so many places in all. */
    void begin(int serviceClass, int places) {
        servedOf = Arrays.copyOf(servedOf, Math.max(places, servedOf.length));
        triesOf = Arrays.copyOf(triesOf, servedOf.length);
        servedOf[serviceClass] = 0;
        triesOf[serviceClass] = 0;
    }

    void count(int serviceClass, boolean wasServed) {
        kind.served.add(wasServed ? 1 : 0);
        tries += 1;
        triesOf[serviceClass] += 1;
        if (wasServed) {
            served += 1;
            servedOf[serviceClass] += 1;
        }
    }

    /** Latency relative to the mean of all servers, pooled with {@code pool} samples of its machine type. */
    double base(double pool) {
        return (latencySum + pool * kind.latency.value()) / (latencyCount + pool);
    }

    /** Mean of own calls in flight ahead of those served, pooled with {@code pool} that found none. */
    double crowd(double pool) {
        return crowdSum / (latencyCount + pool);
    }

    /** A class's share of calls served, pooled with that of all classes, and that with its machine type's. */
    double success(int serviceClass, double kindPool, double classPool) {
        double all = (served + kindPool * kind.served.value()) / (tries + kindPool);
        return (servedOf[serviceClass] + classPool * all) / (triesOf[serviceClass] + classPool);
    }
}
