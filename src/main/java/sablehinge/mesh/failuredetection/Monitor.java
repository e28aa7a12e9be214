package sablehinge.mesh.failuredetection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One watcher's failure detector. It suspects a peer that misses about three heartbeats, has the caller probe the
 * peer's address, and reports the suspicion when the probe result is known. A heartbeat revokes the suspicion
 * immediately. Times are in milliseconds of a monotonic clock.
 */
public final class Monitor {

    /** Interval between heartbeats of a peer, in milliseconds. */
    public static final double HEARTBEAT_MS = 300;
    /** A peer is suspected after this many milliseconds without a heartbeat, about three missed heartbeats. */
    public static final double SUSPECT_MS = 900;
    /**
     * A gap between ticks above this many milliseconds shows that this process was paused, and then it suspects no
     * peer.
     */
    static final double LATE_TICK_MS = 400;
    /**
     * Extra time in milliseconds for a newly watched peer, which may not know yet that this watcher expects heartbeats.
     */
    static final double GRACE_MS = 1_500;
    /** Maximum number of watched balancers: all that a ring can assign, plus some assigned by slightly older rings. */
    public static final int MAX_REPORTED = 4 * HashRing.CANDIDATES;

    /** Each false suspicion adds this share of the timeout, up to {@link #MAX_FLAPS} times. */
    private static final double FLAP_TIMEOUT_SHARE = 0.5;

    private static final int MAX_FLAPS = 2;
    private static final double FLAP_RESET_MS = 30_000;

    private final Map<String, WatchedPeer> watched = new LinkedHashMap<>();
    private double lastTickAt = Double.NaN;

    private static final class WatchedPeer {
        int incarnation;
        int lastNumber;
        double lastHeartbeatAt;
        boolean everHeard;
        boolean suspected;
        SuspicionCause cause;
        int flaps;
        double lastFlapAt = Double.NEGATIVE_INFINITY;

        double suspectTimeoutMs(double now) {
            if (now - lastFlapAt > FLAP_RESET_MS) {
                flaps = 0;
            }
            return SUSPECT_MS * (1 + FLAP_TIMEOUT_SHARE * flaps);
        }
    }

    /** Sets the peers to watch and drops the state of all others. */
    public void setWatched(double now, Collection<String> nodes) {
        watched.keySet().retainAll(nodes);
        for (String node : nodes) {
            if (watched.size() < MAX_REPORTED && !watched.containsKey(node)) {
                WatchedPeer peer = new WatchedPeer();
                peer.lastHeartbeatAt = now + GRACE_MS;
                watched.put(node, peer);
            }
        }
    }

    /**
     * Records a heartbeat. A heartbeat that arrives after a later one of the same incarnation is ignored.
     *
     * @param incarnation the incarnation of the sending process
     * @param number the sequence number of the heartbeat within the incarnation
     * @return whether the heartbeat revokes a reported suspicion
     */
    public boolean onHeartbeat(double now, String node, int incarnation, int number) {
        WatchedPeer peer = watched.get(node);
        if (peer == null || peer.incarnation == incarnation && number - peer.lastNumber <= 0) {
            return false;
        }
        peer.incarnation = incarnation;
        peer.lastNumber = number;
        peer.lastHeartbeatAt = now;
        peer.everHeard = true;
        boolean reported = peer.cause != null;
        if (peer.suspected) {
            peer.suspected = false;
            peer.cause = null;
            peer.flaps = Math.min(MAX_FLAPS, peer.flaps + 1);
            peer.lastFlapAt = now;
        }
        return reported;
    }

    /** Checks the timeouts. Returns the newly suspected peers, whose addresses the caller must probe. */
    public List<String> tick(double now) {
        List<String> suspects = new ArrayList<>();
        boolean late = now - lastTickAt > LATE_TICK_MS;
        lastTickAt = now;
        watched.forEach((node, peer) -> {
            if (late) {
                // Their heartbeats may still be unread, so all timeouts restart.
                peer.lastHeartbeatAt = Math.max(peer.lastHeartbeatAt, now);
                peer.suspected = false;
                peer.cause = null;
            } else if (!peer.suspected && now - peer.lastHeartbeatAt > peer.suspectTimeoutMs(now)) {
                peer.suspected = true;
                suspects.add(node);
            }
        });
        return suspects;
    }

    /**
     * Records the probe result for a suspected peer; true if it makes a new suspicion to report. A peer whose machine
     * accepts connections but that has never sent a heartbeat here may not know yet that it must, and gets more time.
     */
    public boolean onProbeResult(double now, String node, SuspicionCause cause) {
        WatchedPeer peer = watched.get(node);
        if (peer == null || !peer.suspected || peer.cause != null) {
            return false;
        }
        if (!peer.everHeard && cause == SuspicionCause.FROZEN) {
            peer.lastHeartbeatAt = now + GRACE_MS;
            peer.suspected = false;
            return false;
        }
        peer.cause = cause;
        return true;
    }

    /** The peers that have sent heartbeats and are not suspected. */
    public List<String> livePeers() {
        List<String> livePeers = new ArrayList<>();
        watched.forEach((node, peer) -> {
            if (peer.everHeard && !peer.suspected) {
                livePeers.add(node);
            }
        });
        return livePeers;
    }

    /** The suspicions to report now. */
    public List<Suspicion> suspicions() {
        List<Suspicion> suspicions = new ArrayList<>();
        watched.forEach((node, peer) -> {
            if (peer.cause != null) {
                suspicions.add(new Suspicion(node, peer.cause));
            }
        });
        return suspicions;
    }
}
