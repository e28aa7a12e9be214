package sablehinge.dataplane.sidecar;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/**
 * The stages in which a balancer ends after SIGTERM: it says that it is not ready, then that its upstream is to be
 * selected no more, then it takes nothing new and answers what it has, until that is done or its grace is nearly over.
 * When each stage ends is known from the signal on.
 */
final class GracefulShutdown {

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    /** How long clients may not have heard yet that it is not ready. */
    private static final double READINESS_NOTICE_MS = 2_300;
    /** The share of its time that this may take at most, where the grace is short. */
    private static final double READINESS_NOTICE_SHARE = 0.45;
    /** The last part of the notice, in which the other balancers are notified to select this upstream no more. */
    private static final double DRAIN_NOTICE_SHARE = 500 / READINESS_NOTICE_MS;
    /** What is kept of the grace to end. */
    private static final double SHUTDOWN_RESERVE_MS = 600;
    /** The part of that which the last answers may take to be written out. */
    private static final double LAST_ANSWERS_MS = 200;

    private static final long DRAIN_CHECK_MS = 20;

    /** What the stages do; each returns once it is done. */
    interface Stages {

        /** For how long the process stood still before it saw the signal, which may have come as much earlier; ms. */
        double pausedMs() throws InterruptedException;

        /** Clients are notified to go elsewhere; the times of what follows are known. */
        void reportNotReady(ShutdownDeadlines deadlines) throws InterruptedException;

        /** The other balancers are notified to select the upstream beside no more. */
        void withdrawUpstream() throws InterruptedException;

        /** Nobody is let in any more, and nothing new is taken from those who are. */
        void stopAdmitting(ShutdownDeadlines deadlines) throws InterruptedException;

        /** Closes what is idle; whether nothing is left. */
        boolean isDrained() throws InterruptedException;

        /** Gives up what still waits for an answer; how many requests that were. */
        int abortAll() throws InterruptedException;

        /** Whether every answer that was begun is written out. */
        boolean isWrittenOut() throws InterruptedException;

        /** How many requests came to their turn after {@link #stopAdmitting}. */
        int lateRequests() throws InterruptedException;

        /** When the last attempt went out, to another balancer or to the upstream beside, ms; NaN if none ever did. */
        double lastAttemptAt() throws InterruptedException;
    }

    private GracefulShutdown() {}

    /** The times for a process that was told to end and is killed after the grace; both in ms. */
    static ShutdownDeadlines deadlines(double signalledAt, double graceMs) {
        double timeMs = Math.max(0, graceMs - SHUTDOWN_RESERVE_MS);
        double noticeMs = Math.min(READINESS_NOTICE_MS, READINESS_NOTICE_SHARE * timeMs);
        return ShutdownDeadlines.between(signalledAt + noticeMs, signalledAt + timeMs);
    }

    /**
     * Goes through the stages; blocks its thread.
     *
     * @param graceMs how long the process may take to end, ms
     * @param elapsedMs how much of that is over, ms: it may have been told to end while it started
     */
    static void run(Clock clock, double graceMs, double elapsedMs, Stages stages) throws InterruptedException {
        double pausedMs = stages.pausedMs();
        if (pausedMs > 0) {
            Log.info(LOG, "paused").addKeyValue("ms", Math.round(pausedMs)).log("it stood still before its signal");
        }
        double signalledAt = clock.now() - elapsedMs - pausedMs;
        ShutdownDeadlines deadlines = deadlines(signalledAt, graceMs);
        double noticeMs = deadlines.admitUntil() - signalledAt;
        stages.reportNotReady(deadlines);
        // Its upstream is well: it serves the others until the door is about to shut, since while balancers
        // are stopped in turn each of them is out for longer than the next one waits.
        sleepUntil(clock, signalledAt + noticeMs * (1 - DRAIN_NOTICE_SHARE));
        stages.withdrawUpstream();
        sleepUntil(clock, deadlines.admitUntil());
        // Whoever comes from here on finds no one, rather than someone who has no time left to answer: where
        // few balancers of a zone are in, clients keep coming to one that says it is not ready.
        stages.stopAdmitting(deadlines);
        boolean done = await(clock, deadlines.answerUntil(), stages::isDrained);
        int givenUp = 0;
        if (!done) {
            givenUp = stages.abortAll();
            // Not for callers that are slow to close: the rest of the grace is the virtual machine's, to end in.
            await(clock, clock.now() + LAST_ANSWERS_MS, stages::isWrittenOut);
        }
        Log.info(LOG, "ends")
                .addKeyValue("done", done)
                .addKeyValue("ms", Math.round(clock.now() - signalledAt))
                .addKeyValue("late", stages.lateRequests())
                .addKeyValue("given-up", givenUp)
                .addKeyValue("last-attempt-ms", Math.round(stages.lastAttemptAt() - signalledAt))
                .log("ends");
    }

    private static void sleepUntil(Clock clock, double at) throws InterruptedException {
        double left = at - clock.now();
        if (left > 0) {
            TimeUnit.MILLISECONDS.sleep((long) Math.ceil(left));
        }
    }

    private interface Condition {

        boolean holds() throws InterruptedException;
    }

    /** Looks at a condition until it holds or the time is up; whether it holds. */
    private static boolean await(Clock clock, double end, Condition condition) throws InterruptedException {
        boolean holds = condition.holds();
        while (!holds && clock.now() < end) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MS);
            holds = condition.holds();
        }
        return holds;
    }
}
