package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.Arrays;

/** What was seen of one server by this instance: sums of evidence that fade, no decisions. */
final class Server {

    /** Ms in which evidence fades to 1/e: shorter than most faults, so an unhealthy server is retried. */
    private static final double EVIDENCE_FADE = 8_000;
    /** Ms between refreshes of a server's faded evidence; far below the fade, it only saves CPU. */
    private static final double FADE_STEP = 200;
    /** Samples that the mean of a server's machine type weighs in its base, as most bases rest on few. */
    private static final double BASE_POOL = 2;
    /** Calls that its machine type's record weighs in s: a faulty type shows in all its servers. */
    private static final double SUCCESS_POOL = 2;
    /** Calls that a server's record over all classes weighs in s for one: it may fail one class or all. */
    private static final double CLASS_POOL = 1;

    /** What was seen of a machine type: mean relative latency and share of calls served. */
    static final class Kind {
        final Mean latency;
        final Mean served;

        Kind() {
            latency = new Mean(1, ClassRecord.GAIN);
            served = new Mean(1, ClassRecord.GAIN);
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
    int rejections;
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

    /** Lets all evidence fade, at most once in {@link #FADE_STEP}. */
    void fade(double now) {
        if (now - fadedAt < FADE_STEP) {
            return;
        }
        double kept = Math.exp((fadedAt - now) / EVIDENCE_FADE);
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

    /** Latency relative to the mean of all servers, pooled with samples of its machine type. */
    double base() {
        return (latencySum + BASE_POOL * kind.latency.value()) / (latencyCount + BASE_POOL);
    }

    /** Mean of own calls in flight ahead of those served, pooled with some that found none. */
    double crowd() {
        return crowdSum / (latencyCount + BASE_POOL);
    }

    /** A class's share of calls served, pooled with that of all classes, and that with its machine type's. */
    double success(int serviceClass) {
        double all = (served + SUCCESS_POOL * kind.served.value()) / (tries + SUCCESS_POOL);
        return (servedOf[serviceClass] + CLASS_POOL * all) / (triesOf[serviceClass] + CLASS_POOL);
    }
}
