package sablehinge.dataplane.http1;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import sablehinge.dataplane.proxy.Roster.Member;

/** An upstream, its idle connections, the longest idle first, and whether it drains. */
final class UpstreamTarget {
    Member member;
    /** Since when it takes nothing new, ms; NaN while it does. */
    double drainingSince = Double.NaN;
    /** Whether it is on the list no more. */
    boolean gone;

    final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    /** What waits for a connection to it, and so has not been sent. */
    final Set<UpstreamAttempt> waiting = new HashSet<>();

    void closeIdle() {
        // Closing may call back and take the connection out of the queue.
        for (UpstreamConnection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
            c.channel.close();
        }
    }

    /** An idle connection that may be used again; null if there is none that is trusted. */
    UpstreamConnection takeIdle(UpstreamContext context, boolean resendable) {
        for (UpstreamConnection c = idle.pollLast(); c != null; c = idle.pollLast()) {
            if (!context.freshness.trusts(context.clock.now() - c.idleSince, resendable)) {
                // The others have rested for longer; one goes for the new one, so that they don't pile up.
                idle.addLast(c);
                idle.pollFirst().channel.close();
                return null;
            }
            // The upstream may have closed it, and what is written to it then would count as run.
            context.sockets.readNow(c.channel);
            if (c.channel.isActive()) {
                return c;
            }
        }
        return null;
    }
}
