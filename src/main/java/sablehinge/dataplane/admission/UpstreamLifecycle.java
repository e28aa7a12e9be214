package sablehinge.dataplane.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The lives of the upstream on the own machine, as its heartbeats and sign-offs tell them, and what follows for the
 * gate before it (PROTOCOL, "Which upstreams there are"; RULES, DRAIN). It decides only: events and their times go in,
 * the gate is opened and closed.
 *
 * <p>Only a heartbeat opens the gate. A health answer names the life too, but not whether an earlier process of this
 * balancer has acknowledged that the life unloads, and it may be false.
 */
public final class UpstreamLifecycle {

    /** The part of {@code unloadMs} for which an unloading upstream still takes new requests. */
    private static final double DRAIN_PART = 0.5;
    /** Heartbeats that may be missing until an upstream counts as silent. */
    private static final double MISSING = 3.5;
    /** Earlier lives that are remembered, so that a late call of one is known. */
    private static final int MOST_FORMER = 64;

    private static final long SIGNED_OFF = Long.MAX_VALUE;

    /**
     * What an upstream says of itself.
     *
     * @param id of its life
     * @param service that it is of
     * @param unloading whether it is about to leave
     * @param berths requests that it works on at once
     * @param coldMs how much longer it is slow
     * @param callCount rises with each call of the life
     */
    public record Heartbeat(String id, String service, boolean unloading, int berths, int coldMs, long callCount) {}

    private final AdmissionController gate;
    private final ToLongFunction<String> lifeOf;
    private final double unloadMs;
    private final double silentAfterMs;
    /** The highest call count of each earlier life, the oldest life first. */
    private final Map<String, Long> former = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST_FORMER;
        }
    };

    private Heartbeat current;
    private double firstHeardAt;
    private double heardAt;
    private double closesAt = Double.POSITIVE_INFINITY;
    private boolean unloading;
    private boolean silent;

    /**
     * An upstream of which nothing is known yet; its gate is closed.
     *
     * @param lifeOf the number by which requests name a life
     * @param unloadMs after an acknowledged {@code unloading} nothing new may reach the upstream
     * @param beatMs between two heartbeats
     */
    public UpstreamLifecycle(AdmissionController gate, ToLongFunction<String> lifeOf, double unloadMs, double beatMs) {
        this.gate = gate;
        this.lifeOf = lifeOf;
        this.unloadMs = unloadMs;
        silentAfterMs = MISSING * beatMs;
    }

    /** A heartbeat, which the caller acknowledges; true if others are to be told of a change. */
    public boolean heard(double now, Heartbeat beat) {
        if (former.getOrDefault(beat.id(), Long.MIN_VALUE) >= beat.callCount()) {
            return false;
        }
        boolean changed = false;
        if (current == null || !current.id().equals(beat.id())) {
            begins(now, beat);
            changed = true;
        } else if (beat.callCount() >= current.callCount()) {
            changed = goesOn(now, beat);
        }
        // Even a late one is acknowledged, and an acknowledged one holds.
        if (beat.unloading() && !unloading) {
            leaves(now, now - firstHeardAt < unloadMs ? now : now + DRAIN_PART * unloadMs);
            changed = true;
        }
        return changed;
    }

    private void begins(double now, Heartbeat beat) {
        if (current != null) {
            former.put(current.id(), current.callCount());
        }
        former.remove(beat.id());
        current = beat;
        firstHeardAt = now;
        heardAt = now;
        unloading = false;
        silent = false;
        closesAt = Double.POSITIVE_INFINITY;
        gate.opens(now, lifeOf.applyAsLong(beat.id()), beat.berths());
    }

    private boolean goesOn(double now, Heartbeat beat) {
        boolean others = current.berths() != beat.berths();
        boolean changed = silent || others;
        // How long it stays cold was told once, and passes by itself: telling it anew would be news to all.
        current = new Heartbeat(
                beat.id(), beat.service(), beat.unloading(), beat.berths(), current.coldMs(), beat.callCount());
        heardAt = now;
        silent = false;
        if (others && !unloading) {
            gate.opens(now, lifeOf.applyAsLong(beat.id()), beat.berths());
        }
        return changed;
    }

    /**
     * The gate closes at a time that is still ahead, or at once: where an upstream unloads so soon after this process
     * first heard of it, the process before may have acknowledged that any time ago.
     */
    private void leaves(double now, double at) {
        unloading = true;
        closesAt = Math.min(closesAt, at);
        gate.closes(now, lifeOf.applyAsLong(current.id()), closesAt);
    }

    /** A life has signed off, which the caller acknowledges; true if others are to be told of a change. */
    public boolean signedOff(double now, String id) {
        former.put(id, SIGNED_OFF);
        if (current == null || !current.id().equals(id)) {
            return false;
        }
        leaves(now, now);
        return true;
    }

    /** Looks for what has become due; true if others are to be told of a change. */
    public boolean tick(double now) {
        if (unloading && now >= closesAt) {
            gate.closes(now, lifeOf.applyAsLong(current.id()), closesAt);
        }
        if (current != null && !silent && now - heardAt > silentAfterMs) {
            silent = true;
            return true;
        }
        return false;
    }

    /** The last heartbeat of the upstream that is there; null if there is none. */
    public Heartbeat present() {
        return silent ? null : current;
    }

    /** Whether an upstream is there and does not leave. */
    public boolean isReady() {
        return present() != null && !unloading;
    }

    /** When the gate closes for the present life, in ms; infinite while that is not known. */
    public double closesAt() {
        return closesAt;
    }
}
