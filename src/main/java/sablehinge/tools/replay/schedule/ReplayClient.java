package sablehinge.tools.replay.schedule;

import java.util.SplittableRandom;

/**
 * What a client does about one request: how long it waits for each try, and whether it tries again. It never tries
 * again what may have run and must not run twice.
 */
public final class ReplayClient {

    /**
     * How clients behave. Times in ms.
     *
     * @param retries further tries at most
     * @param leastShare of the deadline after which a try is given up; drawn evenly for each client
     * @param mostShare its upper end
     * @param backoff the wait before a further try
     * @param honour the chance, 0 to 1, that a client does as Retry-After says
     * @param mostRetryAfter how long it waits at most if it does
     */
    public record Terms(
            int retries, double leastShare, double mostShare, double backoff, double honour, double mostRetryAfter) {

        /** As the clients of the deployment are. */
        public static Terms usual() {
            return new Terms(2, 0.4, 0.55, 100, 0.4, 2_000);
        }
    }

    /** May a try be made again although it may have run? */
    public enum Repeat {
        ALWAYS,
        WITHIN_WINDOW,
        NEVER
    }

    /** How a try came out. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        /** Nobody took it. */
        UNREACHABLE
    }

    private final Terms terms;
    private final Repeat repeat;
    private final double deadline;
    private final double window;
    private final double timeout;
    private int tries;

    /**
     * A client of a request that waits so many ms in all.
     *
     * @param window ms from the first try on within which a repeat is dropped; for {@link Repeat#WITHIN_WINDOW}
     */
    public ReplayClient(Terms terms, Repeat repeat, double deadline, double window, SplittableRandom random) {
        this.terms = terms;
        this.repeat = repeat;
        this.deadline = deadline;
        this.window = window;
        double share = terms.mostShare() > terms.leastShare()
                ? random.nextDouble(terms.leastShare(), terms.mostShare())
                : terms.leastShare();
        timeout = terms.retries() == 0 ? deadline : deadline * share;
    }

    /** A try begins, so many ms after the first was due; how long it is waited for. */
    public double begin(double elapsed) {
        tries++;
        return Math.max(1, Math.min(timeout, deadline - elapsed));
    }

    /**
     * A try has come out.
     *
     * @param elapsed ms since the first was due
     * @param retryAfter advice in ms; 0 for none
     * @return the wait before the next try, in ms; NaN if there is none
     */
    public double next(double elapsed, Outcome outcome, double retryAfter, SplittableRandom random) {
        if (outcome == Outcome.SERVED || tries > terms.retries()) {
            return Double.NaN;
        }
        double wait = terms.backoff();
        if (outcome == Outcome.REFUSED && retryAfter > 0 && random.nextDouble() < terms.honour()) {
            wait = Math.max(wait, Math.min(retryAfter, terms.mostRetryAfter()));
        }
        boolean harmless = outcome == Outcome.REFUSED
                || outcome == Outcome.UNREACHABLE
                || repeat == Repeat.ALWAYS
                || repeat == Repeat.WITHIN_WINDOW && elapsed + wait < window;
        return harmless && elapsed + wait < deadline ? wait : Double.NaN;
    }

    /** Tries that were made. */
    public int tries() {
        return tries;
    }
}
