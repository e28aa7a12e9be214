package sablehinge.dataplane.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The incarnations of the upstream on the own machine, by its heartbeats and sign-offs, and what follows for the gate
 * before it (PROTOCOL, "Which upstreams there are"; RULES, DRAIN). It decides only: events and their times go in, the
 * gate is opened and closed.
 *
 * <p>Only a heartbeat opens the gate. A health answer names the incarnation too, but not whether an earlier process of
 * this balancer has acknowledged that the incarnation unloads, and it may be false.
 */
public final class UpstreamLifecycle {

    /** The part of {@code unloadMs} for which an unloading upstream still takes new requests. */
    private static final double DRAIN_CLOSE_SHARE = 0.5;
    /** Heartbeats that may be missing until an upstream counts as gone. */
    private static final double MISSED_HEARTBEATS = 3.5;
    /** Earlier incarnations that are remembered, so that a late call of one is recognized. */
    private static final int MAX_FORMER = 64;

    private static final long SIGNED_OFF = Long.MAX_VALUE;

    /**
     * What an upstream says of itself.
     *
     * @param id of its incarnation
     * @param service that it is of
     * @param unloading whether it is about to leave
     * @param berths requests that it works on at once
     * @param warmUpMs how much longer it is slow
     * @param callCount rises with each call of the incarnation
     */
    public record Heartbeat(String id, String service, boolean unloading, int berths, int warmUpMs, long callCount) {}

    private final AdmissionController gate;
    private final ToLongFunction<String> incarnationOf;
    private final double unloadMs;
    private final double heartbeatTimeoutMs;
    /** The highest call count of each earlier incarnation, the oldest first. */
    private final Map<String, Long> former = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_FORMER;
        }
    };

    private Heartbeat current;
    private double firstHeardAt;
    private double heardAt;
    private double closesAt = Double.POSITIVE_INFINITY;
    private boolean unloading;
    private boolean timedOut;

    /**
     * An upstream of which nothing is known yet; its gate is closed.
     *
     * @param incarnationOf the number by which requests name an incarnation
     * @param unloadMs after an acknowledged {@code unloading} nothing new may reach the upstream
     * @param heartbeatMs between two heartbeats
     */
    public UpstreamLifecycle(
            AdmissionController gate, ToLongFunction<String> incarnationOf, double unloadMs, double heartbeatMs) {
        this.gate = gate;
        this.incarnationOf = incarnationOf;
        this.unloadMs = unloadMs;
        heartbeatTimeoutMs = MISSED_HEARTBEATS * heartbeatMs;
    }

    /** A heartbeat, which the caller acknowledges; true if others are to be notified of a change. */
    public boolean handleHeartbeat(double now, Heartbeat heartbeat) {
        if (former.getOrDefault(heartbeat.id(), Long.MIN_VALUE) >= heartbeat.callCount()) {
            return false;
        }
        boolean changed = false;
        if (current == null || !current.id().equals(heartbeat.id())) {
            handleFirst(now, heartbeat);
            changed = true;
        } else if (heartbeat.callCount() >= current.callCount()) {
            changed = handleRepeated(now, heartbeat);
        }
        // Even a late one is acknowledged, and an acknowledged one holds.
        if (heartbeat.unloading() && !unloading) {
            leaves(now, now - firstHeardAt < unloadMs ? now : now + DRAIN_CLOSE_SHARE * unloadMs);
            changed = true;
        }
        return changed;
    }

    private void handleFirst(double now, Heartbeat heartbeat) {
        if (current != null) {
            former.put(current.id(), current.callCount());
        }
        former.remove(heartbeat.id());
        current = heartbeat;
        firstHeardAt = now;
        heardAt = now;
        unloading = false;
        timedOut = false;
        closesAt = Double.POSITIVE_INFINITY;
        gate.open(now, incarnationOf.applyAsLong(heartbeat.id()), heartbeat.berths());
    }

    private boolean handleRepeated(double now, Heartbeat heartbeat) {
        boolean others = current.berths() != heartbeat.berths();
        boolean changed = timedOut || others;
        // The rest of the warm-up was sent once, and passes by itself: to send it anew would be a change for all.
        current = new Heartbeat(
                heartbeat.id(),
                heartbeat.service(),
                heartbeat.unloading(),
                heartbeat.berths(),
                current.warmUpMs(),
                heartbeat.callCount());
        heardAt = now;
        timedOut = false;
        if (others && !unloading) {
            gate.open(now, incarnationOf.applyAsLong(heartbeat.id()), heartbeat.berths());
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
        gate.closes(now, incarnationOf.applyAsLong(current.id()), closesAt);
    }

    /** An incarnation has signed off, which the caller acknowledges; true if others are to be notified of a change. */
    public boolean handleSignOff(double now, String id) {
        former.put(id, SIGNED_OFF);
        if (current == null || !current.id().equals(id)) {
            return false;
        }
        leaves(now, now);
        return true;
    }

    /** Looks for what has become due; true if others are to be notified of a change. */
    public boolean tick(double now) {
        if (unloading && now >= closesAt) {
            gate.closes(now, incarnationOf.applyAsLong(current.id()), closesAt);
        }
        if (current != null && !timedOut && now - heardAt > heartbeatTimeoutMs) {
            timedOut = true;
            return true;
        }
        return false;
    }

    /** The last heartbeat of the upstream that is there; null if there is none. */
    public Heartbeat present() {
        return timedOut ? null : current;
    }

    /** Whether an upstream is there and does not leave. */
    public boolean isReady() {
        return present() != null && !unloading;
    }

    /** When the gate closes for the present incarnation, in ms; infinite while that is not known. */
    public double closesAt() {
        return closesAt;
    }
}
