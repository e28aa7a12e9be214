package sablehinge.mesh.failuredetection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one watcher makes of the heartbeats that it receives. It suspects a peer that misses about three of them, health
 * checks what answers at its address then, and reports the suspicion once that is known; a heartbeat takes all back at
 * once. Times are in ms of a steady clock.
 */
public final class Monitor {

    /** Between two heartbeats of a peer, ms. */
    public static final double HEARTBEAT_MS = 300;
    /** A peer is suspected after so long without a heartbeat, ms: three of them, and some of the way. */
    public static final double SUSPECT_MS = 900;
    /** An own tick that is so late, ms, shows that this process stood still: it can suspect nobody. */
    static final double LATE_MS = 400;
    /** One that has just come under watch may take so much longer to speak: it may not know of it yet. */
    static final double GRACE_MS = 1_500;
    /** Most balancers watched over: all the ring can ask for, with some from rings a moment older. */
    public static final int MAX_REPORTED = 4 * HashRing.CANDIDATES;

    /** Each suspicion that proved wrong adds this share of the timeout, up to so many times. */
    private static final double FLAP_PART = 0.5;

    private static final int MAX_FLAPS = 2;
    private static final double CALM_MS = 30_000;

    private final Map<String, WatchedPeer> watched = new LinkedHashMap<>();
    private double tickedAt = Double.NaN;

    private static final class WatchedPeer {
        int incarnation;
        int number;
        double heardAt;
        boolean heard;
        boolean suspected;
        SuspicionCause evidence;
        int flaps;
        double flappedAt = Double.NEGATIVE_INFINITY;

        double allowed(double now) {
            if (now - flappedAt > CALM_MS) {
                flaps = 0;
            }
            return SUSPECT_MS * (1 + FLAP_PART * flaps);
        }
    }

    /** Whom to watch over from now on; what is known of others is forgotten. */
    public void setWatched(double now, Collection<String> nodes) {
        watched.keySet().retainAll(nodes);
        for (String node : nodes) {
            if (watched.size() < MAX_REPORTED && !watched.containsKey(node)) {
                WatchedPeer one = new WatchedPeer();
                one.heardAt = now + GRACE_MS;
                watched.put(node, one);
            }
        }
    }

    /**
     * A heartbeat has come. One that was overtaken by a later one of the same incarnation does not count.
     *
     * @param incarnation of the process that sent it
     * @param number of the heartbeat, which counts up in one incarnation
     * @return whether an accusation is taken back by it
     */
    public boolean onHeartbeat(double now, String node, int incarnation, int number) {
        WatchedPeer one = watched.get(node);
        if (one == null || one.incarnation == incarnation && number - one.number <= 0) {
            return false;
        }
        one.incarnation = incarnation;
        one.number = number;
        one.heardAt = now;
        one.heard = true;
        boolean accused = one.evidence != null;
        if (one.suspected) {
            one.suspected = false;
            one.evidence = null;
            one.flaps = Math.min(MAX_FLAPS, one.flaps + 1);
            one.flappedAt = now;
        }
        return accused;
    }

    /** Time passes. Returns who has just come under suspicion: what answers at its address is to be found. */
    public List<String> tick(double now) {
        List<String> suspects = new ArrayList<>();
        boolean late = now - tickedAt > LATE_MS;
        tickedAt = now;
        watched.forEach((node, one) -> {
            if (late) {
                // Their heartbeats may wait unread: all start anew.
                one.heardAt = Math.max(one.heardAt, now);
                one.suspected = false;
                one.evidence = null;
            } else if (!one.suspected && now - one.heardAt > one.allowed(now)) {
                one.suspected = true;
                suspects.add(node);
            }
        });
        return suspects;
    }

    /**
     * What answers at the address of a suspect; true if that is a new accusation. One whose machine is there and that
     * never spoke here may not know that it should: it is looked at again later.
     */
    public boolean onProbeResult(double now, String node, SuspicionCause evidence) {
        WatchedPeer one = watched.get(node);
        if (one == null || !one.suspected || one.evidence != null) {
            return false;
        }
        if (!one.heard && evidence == SuspicionCause.FROZEN) {
            one.heardAt = now + GRACE_MS;
            one.suspected = false;
            return false;
        }
        one.evidence = evidence;
        return true;
    }

    /** Who spoke lately. */
    public List<String> livePeers() {
        List<String> livePeers = new ArrayList<>();
        watched.forEach((node, one) -> {
            if (one.heard && !one.suspected) {
                livePeers.add(node);
            }
        });
        return livePeers;
    }

    /** Who is accused now, and by what. */
    public List<Suspicion> suspicions() {
        List<Suspicion> suspicions = new ArrayList<>();
        watched.forEach((node, one) -> {
            if (one.evidence != null) {
                suspicions.add(new Suspicion(node, one.evidence));
            }
        });
        return suspicions;
    }
}
