package sablehinge.dataplane.sidecar;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.dataplane.proxy.ShutdownDeadlines;

/**
 * The stages of a sidecar's graceful shutdown after SIGTERM: it reports that it is not ready, then withdraws its
 * upstream from load balancing, then stops admitting requests and answers those in flight, until all are answered or
 * the grace period is nearly over. The deadline of each stage is known from the time of the signal.
 */
final class GracefulShutdown {

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    /** How long it may take until clients know that this sidecar is not ready. */
    private static final double READINESS_NOTICE_MS = 2_300;
    /** Limits the readiness notice to this share of the available time, for short grace periods. */
    private static final double READINESS_NOTICE_SHARE = 0.45;
    /** The last part of the notice, during which the other sidecars are told not to select this upstream. */
    private static final double DRAIN_NOTICE_SHARE = 500 / READINESS_NOTICE_MS;
    /** The part of the grace period reserved for the end of the process. */
    private static final double SHUTDOWN_RESERVE_MS = 600;
    /** The part of the reserve for writing the last answers. */
    private static final double LAST_ANSWERS_MS = 200;

    private static final long DRAIN_CHECK_MS = 20;

    /** The actions of the stages; each returns when its action is complete. */
    interface Stages {

        /**
         * How long, in ms, the process was paused before it saw the signal: the signal may have arrived that much
         * earlier.
         */
        double pausedMs() throws InterruptedException;

        /** Reports to clients that this sidecar is not ready, and sets the deadlines of the next stages. */
        void reportNotReady(ShutdownDeadlines deadlines) throws InterruptedException;

        /** Tells the other sidecars not to select the local upstream any more. */
        void withdrawUpstream() throws InterruptedException;

        /** Stops accepting connections and admitting requests on existing connections. */
        void stopAdmitting(ShutdownDeadlines deadlines) throws InterruptedException;

        /** Closes idle connections; returns whether no connection is left. */
        boolean isDrained() throws InterruptedException;

        /** Answers all open requests; returns their number. */
        int abortAll() throws InterruptedException;

        /** Whether all answers are written completely. */
        boolean isWrittenOut() throws InterruptedException;

        /** The number of requests whose turn came after {@link #stopAdmitting}. */
        int lateRequests() throws InterruptedException;

        /** When the last attempt was sent to another sidecar or to the local upstream, in ms; NaN if none was sent. */
        double lastAttemptAt() throws InterruptedException;
    }

    private GracefulShutdown() {}

    /**
     * The deadlines of a process that received SIGTERM and is killed at the end of the grace period; all times in ms.
     */
    static ShutdownDeadlines deadlines(double signalledAt, double graceMs) {
        double timeMs = Math.max(0, graceMs - SHUTDOWN_RESERVE_MS);
        double noticeMs = Math.min(READINESS_NOTICE_MS, READINESS_NOTICE_SHARE * timeMs);
        return ShutdownDeadlines.between(signalledAt + noticeMs, signalledAt + timeMs);
    }

    /**
     * Runs all stages; blocks the calling thread.
     *
     * @param graceMs the grace period in ms
     * @param elapsedMs the part of the grace period that is over, in ms: the signal may have arrived during the start
     *     of the process
     */
    static void run(Clock clock, double graceMs, double elapsedMs, Stages stages) throws InterruptedException {
        double pausedMs = stages.pausedMs();
        if (pausedMs > 0) {
            Log.info(LOG, "paused")
                    .addKeyValue("ms", Math.round(pausedMs))
                    .log("the process was paused before it received the signal");
        }
        double signalledAt = clock.now() - elapsedMs - pausedMs;
        ShutdownDeadlines deadlines = deadlines(signalledAt, graceMs);
        double noticeMs = deadlines.admitUntil() - signalledAt;
        stages.reportNotReady(deadlines);
        // The upstream is healthy and serves the other sidecars until shortly before admission stops: in a rolling
        // restart each sidecar is down for longer than the next one waits.
        sleepUntil(clock, signalledAt + noticeMs * (1 - DRAIN_NOTICE_SHARE));
        stages.withdrawUpstream();
        sleepUntil(clock, deadlines.admitUntil());
        // Later clients find the port closed instead of a sidecar that has no time left to answer: if few sidecars of a
        // zone are up, clients keep connecting to one that reports that it is not ready.
        stages.stopAdmitting(deadlines);
        boolean done = await(clock, deadlines.answerUntil(), stages::isDrained);
        int aborted = 0;
        if (!done) {
            aborted = stages.abortAll();
            // Does not wait for clients that are slow to close: the rest of the grace period is left for the JVM to
            // exit.
            await(clock, clock.now() + LAST_ANSWERS_MS, stages::isWrittenOut);
        }
        Log.info(LOG, "ends")
                .addKeyValue("done", done)
                .addKeyValue("ms", Math.round(clock.now() - signalledAt))
                .addKeyValue("late", stages.lateRequests())
                .addKeyValue("given-up", aborted)
                .addKeyValue("last-attempt-ms", Math.round(stages.lastAttemptAt() - signalledAt))
                .log("graceful shutdown finished");
    }

    private static void sleepUntil(Clock clock, double at) throws InterruptedException {
        double remainingMs = at - clock.now();
        if (remainingMs > 0) {
            TimeUnit.MILLISECONDS.sleep((long) Math.ceil(remainingMs));
        }
    }

    private interface Condition {

        boolean holds() throws InterruptedException;
    }

    /** Polls a condition until it holds or the deadline passes; returns whether it holds. */
    private static boolean await(Clock clock, double deadline, Condition condition) throws InterruptedException {
        boolean holds = condition.holds();
        while (!holds && clock.now() < deadline) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MS);
            holds = condition.holds();
        }
        return holds;
    }
}
