package sablehinge.dataplane.http1;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import sablehinge.dataplane.proxy.Roster.Member;

/** An upstream, its idle connections in the order of their idle time, the longest first, and whether it drains. */
final class UpstreamTarget {
    Member member;
    /** When it began to drain, ms; NaN while it accepts requests. */
    double drainingSince = Double.NaN;
    /** Whether it was removed from the roster. */
    boolean gone;

    final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Attempts that wait for a connection to it, and so were not sent. */
    final Set<UpstreamAttempt> waiting = new HashSet<>();

    void closeIdle() {
        // Closing may call back and remove the connection from the queue.
        for (UpstreamConnection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
            c.channel.close();
        }
    }

    /** Removes and returns an idle connection that may be used; null if there is none. */
    UpstreamConnection takeIdle(UpstreamContext context, boolean resendable) {
        for (UpstreamConnection c = idle.pollLast(); c != null; c = idle.pollLast()) {
            if (!context.freshness.mayUse(context.clock.now() - c.idleSince, resendable)) {
                // The other connections have been idle for longer; one is closed in favour of the new one, so that idle
                // connections don't accumulate.
                idle.addLast(c);
                idle.pollFirst().channel.close();
                return null;
            }
            // The upstream may have closed the connection; a request written to it would then count as one that may
            // have run.
            context.sockets.readNow(c.channel);
            if (c.channel.isActive()) {
                return c;
            }
        }
        return null;
    }
}
