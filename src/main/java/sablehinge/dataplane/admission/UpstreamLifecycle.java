package sablehinge.dataplane.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Tracks the incarnations of the local upstream by its heartbeats and sign-offs, and opens and closes admission
 * accordingly (PROTOCOL, "Which upstreams there are"; RULES, DRAIN). It does no I/O: callers pass events with their
 * times.
 *
 * <p>Only a heartbeat opens admission. A health check response also names the incarnation, but it does not show whether
 * an earlier process of this balancer acknowledged that the incarnation unloads, and it may be false.
 *
 * <p>An incarnation whose sign-off or {@code unloading} was acknowledged never opens admission again, whichever process
 * acknowledged it. A process that has just started does not know what earlier ones acknowledged, and a heartbeat may be
 * late; admission therefore stays closed until the caller has passed the {@linkplain #handleDeparture departures} that
 * the control plane knows of and {@linkplain #startAdmitting started} it.
 */
public final class UpstreamLifecycle {

    /** Share of {@code unloadMs} for which an unloading upstream still accepts new requests. */
    private static final double DRAIN_CLOSE_SHARE = 0.5;
    /** Number of heartbeat intervals without a heartbeat after which an upstream counts as gone. */
    private static final double MISSED_HEARTBEATS = 3.5;
    /** Number of earlier incarnations that are remembered to recognize their late calls. */
    private static final int MAX_PREVIOUS = 64;

    private static final long SIGNED_OFF = Long.MAX_VALUE;

    /**
     * The state that an upstream reports.
     *
     * @param id the id of the upstream's incarnation
     * @param service the service of the upstream
     * @param unloading whether the upstream is about to leave
     * @param berths maximum number of concurrent requests
     * @param warmUpMs remaining warm-up time in milliseconds
     * @param callCount a count that increases with each call of the incarnation
     */
    public record Heartbeat(String id, String service, boolean unloading, int berths, int warmUpMs, long callCount) {}

    private final AdmissionController admission;
    private final ToLongFunction<String> incarnationOf;
    private final double unloadMs;
    private final double heartbeatTimeoutMs;
    /** The highest call count of each earlier incarnation, oldest first. */
    private final Map<String, Long> previousCallCounts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PREVIOUS;
        }
    };

    private Heartbeat current;
    private double firstHeartbeatAt;
    private double lastHeartbeatAt;
    private double closesAt = Double.POSITIVE_INFINITY;
    private boolean unloading;
    private boolean timedOut;
    private boolean admitting;

    /**
     * Creates a tracker without a known upstream; admission is closed.
     *
     * @param incarnationOf maps an incarnation id to the number that requests use for it
     * @param unloadMs time after an acknowledged {@code unloading} after which no new request may reach the upstream
     * @param heartbeatMs interval between two heartbeats
     */
    public UpstreamLifecycle(
            AdmissionController admission, ToLongFunction<String> incarnationOf, double unloadMs, double heartbeatMs) {
        this.admission = admission;
        this.incarnationOf = incarnationOf;
        this.unloadMs = unloadMs;
        heartbeatTimeoutMs = MISSED_HEARTBEATS * heartbeatMs;
    }

    /**
     * Handles a heartbeat, which the caller acknowledges. Returns true if other balancers must be notified of a change.
     */
    public boolean handleHeartbeat(double now, Heartbeat heartbeat) {
        if (previousCallCounts.getOrDefault(heartbeat.id(), Long.MIN_VALUE) >= heartbeat.callCount()) {
            return false;
        }
        boolean changed = false;
        if (current == null || !current.id().equals(heartbeat.id())) {
            handleFirst(now, heartbeat);
            changed = true;
        } else if (heartbeat.callCount() >= current.callCount()) {
            changed = handleRepeated(now, heartbeat);
        }
        // Even a late heartbeat is acknowledged, and an acknowledged drain must take effect.
        if (heartbeat.unloading() && !unloading) {
            startDrain(now, now - firstHeartbeatAt < unloadMs ? now : now + DRAIN_CLOSE_SHARE * unloadMs);
            changed = true;
        }
        return changed;
    }

    private void handleFirst(double now, Heartbeat heartbeat) {
        if (current != null) {
            previousCallCounts.put(current.id(), current.callCount());
        }
        previousCallCounts.remove(heartbeat.id());
        current = heartbeat;
        firstHeartbeatAt = now;
        lastHeartbeatAt = now;
        unloading = false;
        timedOut = false;
        closesAt = Double.POSITIVE_INFINITY;
        open(now);
    }

    private void open(double now) {
        if (admitting) {
            admission.open(now, incarnationOf.applyAsLong(current.id()), current.berths());
        }
    }

    private boolean handleRepeated(double now, Heartbeat heartbeat) {
        boolean resized = current.berths() != heartbeat.berths();
        boolean changed = timedOut || resized;
        // The remaining warm-up time is published once and elapses by itself. Updating it would notify all balancers.
        current = new Heartbeat(
                heartbeat.id(),
                heartbeat.service(),
                heartbeat.unloading(),
                heartbeat.berths(),
                current.warmUpMs(),
                heartbeat.callCount());
        lastHeartbeatAt = now;
        timedOut = false;
        if (resized && !unloading) {
            open(now);
        }
        return changed;
    }

    /**
     * Closes admission at the given time. It closes immediately if the upstream unloads shortly after the first
     * heartbeat that this process received, because an earlier process may have acknowledged the unloading long ago.
     */
    private void startDrain(double now, double closeAt) {
        unloading = true;
        closesAt = Math.min(closesAt, closeAt);
        admission.closeAt(now, incarnationOf.applyAsLong(current.id()), closesAt);
    }

    /**
     * Handles a sign-off, which the caller acknowledges. Returns true if other balancers must be notified of a change.
     */
    public boolean handleSignOff(double now, String id) {
        previousCallCounts.put(id, SIGNED_OFF);
        if (current == null || !current.id().equals(id)) {
            return false;
        }
        startDrain(now, now);
        return true;
    }

    /** An earlier process of this balancer has acknowledged that an incarnation leaves. */
    public void handleDeparture(double now, String id) {
        boolean draining = unloading && current.id().equals(id);
        if (!draining) {
            handleSignOff(now, id);
        }
    }

    /** Admits requests from now on: all departures that were acknowledged before are known. */
    public void startAdmitting(double now) {
        if (admitting) {
            return;
        }
        admitting = true;
        if (current != null && !unloading) {
            open(now);
        }
    }

    /** Checks the timeouts. Returns true if other balancers must be notified of a change. */
    public boolean tick(double now) {
        if (unloading && now >= closesAt) {
            admission.closeAt(now, incarnationOf.applyAsLong(current.id()), closesAt);
        }
        if (current != null && !timedOut && now - lastHeartbeatAt > heartbeatTimeoutMs) {
            timedOut = true;
            return true;
        }
        return false;
    }

    /** The last heartbeat of the present upstream; null if there is none. */
    public Heartbeat present() {
        return timedOut ? null : current;
    }

    /** Whether an upstream is present, not draining and admitted. */
    public boolean isReady() {
        return admitting && present() != null && !unloading;
    }

    /** Time in milliseconds at which admission closes for the current incarnation; infinite if it is not known. */
    public double closesAt() {
        return closesAt;
    }
}
