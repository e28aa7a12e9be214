package sablehinge.tools.replay.run;

import io.netty.util.concurrent.ScheduledFuture;
import sablehinge.tools.audit.judge.Evidence.Echo;

/** One attempt of a request that is replayed. */
final class ReplayAttempt {

    final ReplayRequest request;
    final String txn;
    final ReplayTarget target;
    /** How long its client waits for it, ms. */
    final double timeout;
    /** By {@link System#nanoTime}; 0 while it is not written. */
    long sentAt;
    /** When its client's time for it is up, ms. */
    double until;
    /** When its answer was complete, ms; NaN while it is not. */
    double answered = Double.NaN;

    int status;
    /** After how many ms its answer lets the client come back; 0 for nothing said. */
    double retryAfter;

    Echo echo = Echo.UNKNOWN;
    /** Whether its answer has begun. */
    boolean begun;
    /** Whether it has ended for its client; its connection may still wait for a late answer. */
    boolean over;

    boolean sentAgain;
    boolean noted;
    ScheduledFuture<?> expiry;
    /** Null until it is sent. */
    ReplayConnection connection;

    ReplayAttempt(ReplayRequest request, String txn, ReplayTarget target, double timeout) {
        this.request = request;
        this.txn = txn;
        this.target = target;
        this.timeout = timeout;
    }
}
