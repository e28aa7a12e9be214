package sablehinge.policy;

import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;

/**
 * Decides when to request the list of servers although a watch is open. A watch may be dead without a sign, its
 * registry restarted or cut off, and what is listed as ready be long gone or draining. That shows in servers that take
 * nothing: then the watch is begun anew, which brings what was missed. Guards against any unnoticed loss of updates; a
 * server that crashed unnoticed looks the same, so the requests grow rare while no update comes, lest those of a large
 * fleet flood the registry. Times are ms.
 */
final class StaleListDetector {

    /** Calls in a row that a listed server rejected or did not let connect: the list may be old. */
    private static final int MAX_REJECTIONS = 3;
    /** Least time without an update after which one is requested, of askEvery; it doubles while none comes. */
    private static final double TRUST = 0.3;

    /** When the registry last answered or was requested, and for how long that is trusted. */
    private double updatedAt;

    private double trust;

    StaleListDetector(double now) {
        updatedAt = now;
    }

    /** Settings have come into force. */
    void onSettings(Settings settings) {
        trust = TRUST * settings.rules().askEvery();
    }

    /** The registry has answered, perhaps without any change. */
    void onAnswer(boolean changed, Settings settings, double now) {
        updatedAt = now;
        if (changed) {
            onSettings(settings);
        }
    }

    /** An attempt has ended; whether the list is to be requested now. */
    boolean onOutcome(Server server, Result result, Settings settings, double now) {
        if (result == Result.FULL || result == Result.CONNECT_FAILED) {
            server.rejections += 1;
        } else if (result == Result.OK) {
            server.rejections = 0;
        }
        boolean stale = settings.subscribe()
                && server.rejections >= MAX_REJECTIONS
                && server.listed.state() == State.READY
                && now - updatedAt >= trust;
        if (stale) {
            updatedAt = now;
            trust *= 2;
        }
        return stale;
    }
}
