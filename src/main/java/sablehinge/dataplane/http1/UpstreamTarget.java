package sablehinge.dataplane.http1;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
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

    /**
     * Removes and returns an idle connection that may carry a request; null if there is none.
     *
     * @param requestId the id by which responses name the request, or null
     */
    UpstreamConnection takeIdle(UpstreamContext context, String requestId, boolean resendable) {
        for (UpstreamConnection c = latestIdle(requestId); c != null; c = latestIdle(requestId)) {
            if (!context.freshness.mayUse(context.clock.now() - c.idleSince, resendable)) {
                // The connections before it have been idle for longer; one is closed in favour of the new one, so that
                // idle connections don't accumulate.
                idle.pollFirst().channel.close();
                return null;
            }
            idle.removeLastOccurrence(c);
            // The upstream may have closed the connection; a request written to it would then count as one that may
            // have run.
            context.sockets.readNow(c.channel);
            if (c.channel.isActive()) {
                return c;
            }
        }
        return null;
    }

    /** The connection that has been idle for the shortest time, of those that have not carried the request before. */
    private UpstreamConnection latestIdle(String requestId) {
        for (Iterator<UpstreamConnection> latestFirst = idle.descendingIterator(); latestFirst.hasNext(); ) {
            UpstreamConnection connection = latestFirst.next();
            if (!connection.hasCarried(requestId)) {
                return connection;
            }
        }
        return null;
    }
}
