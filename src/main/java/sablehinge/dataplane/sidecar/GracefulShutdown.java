package sablehinge.dataplane.sidecar;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;

/**
 * The stages in which a balancer ends after SIGTERM: it says that it is not ready, then that its upstream is to be
 * selected no more, then it lets in nobody and answers what it has, until that is done or its grace is nearly over.
 */
final class GracefulShutdown {

    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    /** How long clients may not have heard yet that it is not ready. */
    private static final double READINESS_NOTICE_MS = 2_300;
    /** Of that, the last part, in which the other balancers are notified to select this upstream no more. */
    private static final double DRAIN_NOTICE_MS = 500;
    /** What is kept of the grace to end. */
    private static final double SHUTDOWN_RESERVE_MS = 600;

    private static final long DRAIN_CHECK_MS = 20;
    private static final double MS_PER_S = 1_000;

    /** What the stages do; each returns once it is done. */
    interface Stages {

        /** Clients are notified to go elsewhere. */
        void reportNotReady() throws InterruptedException;

        /** The other balancers are notified to select the upstream beside no more. */
        void withdrawUpstream() throws InterruptedException;

        /** Nobody is let in any more. */
        void stopAccepting() throws InterruptedException;

        /** Closes what is idle; whether nothing is left. */
        boolean isDrained() throws InterruptedException;

        /** Fails what still waits for an answer; how many requests that were. */
        int giveUpAll() throws InterruptedException;

        /** How many requests came to their turn after {@link #stopAccepting}. */
        int lateRequests() throws InterruptedException;
    }

    private GracefulShutdown() {}

    /**
     * Goes through the stages; blocks its thread.
     *
     * @param graceS how long the process may take to end, s
     */
    static void run(Clock clock, double graceS, Stages stages) throws InterruptedException {
        double begun = clock.now();
        stages.reportNotReady();
        // Its upstream is well: it serves the others until the door is about to shut, since while balancers
        // are stopped in turn each of them is out for longer than the next one waits.
        TimeUnit.MILLISECONDS.sleep((long) (READINESS_NOTICE_MS - DRAIN_NOTICE_MS));
        stages.withdrawUpstream();
        TimeUnit.MILLISECONDS.sleep((long) DRAIN_NOTICE_MS);
        // Whoever comes from here on finds no one, rather than someone who has no time left to answer: where
        // few balancers of a zone are in, clients keep coming to one that says it is not ready.
        stages.stopAccepting();
        boolean done = awaitDrained(clock, begun + graceS * MS_PER_S - SHUTDOWN_RESERVE_MS, stages);
        int givenUp = 0;
        if (!done) {
            givenUp = stages.giveUpAll();
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MS);
        }
        Log.info(LOG, "ends")
                .addKeyValue("done", done)
                .addKeyValue("ms", Math.round(clock.now() - begun))
                .addKeyValue("late", stages.lateRequests())
                .addKeyValue("given-up", givenUp)
                .log("ends");
    }

    private static boolean awaitDrained(Clock clock, double end, Stages stages) throws InterruptedException {
        boolean done = false;
        while (!done && clock.now() < end) {
            done = stages.isDrained();
            TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MS);
        }
        return done;
    }
}
