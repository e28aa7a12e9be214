package sablehinge.policy;

import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;

/**
 * Decides when to renew the watch on the list of servers. A watch may fail silently, for example when the registry
 * restarts or is partitioned, so that servers listed as ready are draining or gone. Servers that reject all calls
 * indicate this; the watch is then renewed, which delivers the missed updates. As a crashed server looks the same, the
 * interval between renewals doubles while no update arrives, so that a large fleet does not flood the registry. Times
 * are in ms.
 */
final class StaleListDetector {

    /** Consecutive rejections or failed connects of a listed server from which the list may be stale. */
    private static final int MAX_REJECTIONS = 3;
    /**
     * Initial time without an update after which the watch is renewed, as a share of askEvery; doubles until one
     * arrives.
     */
    private static final double INITIAL_TRUST_SHARE = 0.3;

    /** Time at which the registry last answered or was requested, and for how long the list is trusted since. */
    private double updatedAt;

    private double trustedForMs;

    StaleListDetector(double now) {
        updatedAt = now;
    }

    /** Resets the trust interval from the settings. */
    void onSettings(Settings settings) {
        trustedForMs = INITIAL_TRUST_SHARE * settings.rules().askEvery();
    }

    /** Handles an answer or failure of the registry; {@code changed} if it contains upstreams. */
    void onAnswer(boolean changed, Settings settings, double now) {
        updatedAt = now;
        if (changed) {
            onSettings(settings);
        }
    }

    /** Handles the end of an attempt; returns whether the watch must be renewed now. */
    boolean onOutcome(Server server, Result result, Settings settings, double now) {
        if (result == Result.FULL || result == Result.CONNECT_FAILED) {
            server.rejections += 1;
        } else if (result == Result.OK) {
            server.rejections = 0;
        }
        boolean stale = settings.subscribe()
                && server.rejections >= MAX_REJECTIONS
                && server.entry.state() == State.READY
                && now - updatedAt >= trustedForMs;
        if (stale) {
            updatedAt = now;
            trustedForMs *= 2;
        }
        return stale;
    }
}
