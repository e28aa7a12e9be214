package sablehinge.gateway.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.gateway.rollout.OutcomeCounts.Outcome;

/**
 * State machine of configuration changes: decides which versions may be staged and applied, and when a change is
 * confirmed or rolled back. It receives events with their time in ms and issues {@link Actions}; it has no clock,
 * thread or file of its own.
 *
 * <p>A version is first staged. Once applied, it is <em>marked</em> on disk, so that a restart after a crash finds it
 * unconfirmed. While <em>preparing</em>, its listeners are bound and its servers connected, with all traffic still
 * under the previous version. While <em>on trial</em>, new requests use it and their outcomes are monitored. While
 * <em>confirming</em>, the confirmation is written to disk; then it is confirmed. In every state except the last a
 * version can be rolled back, which does not depend on the disk.
 */
public final class ChangeDecider {

    /** The maximum number of staged versions. */
    public static final int MAX_STAGED = 8;
    /** The maximum number of finished changes in the history. */
    public static final int MAX_HISTORY = 100;
    /** The window before a change that its shares of responses are compared with. */
    private static final int BASELINE_SECONDS = 60;

    /** The phase of the current change. */
    public enum Phase {
        NONE,
        MARKING,
        PREPARING,
        TRIAL,
        CONFIRMING
    }

    /** Actions that the decider issues; the first three report their completion as events. */
    public interface Actions {

        /** Records on disk that a version is on trial; completes with {@link #marked}. */
        void mark(int version);

        /** Binds listeners and connects to servers without affecting traffic; completes with {@link #prepared}. */
        void prepare(int version);

        /** Records on disk that a version is confirmed; completes with {@link #confirmationWritten}. */
        void writeConfirmed(int version);

        /** Makes new requests use a version. */
        void begin(int version);

        /** Makes new requests use {@code restored} again, if they did not, and releases what was prepared. */
        void undo(int version, int restored, String reason);

        /** A version is confirmed: releases what only the previous version used. */
        void releasePrevious(int version, int previous);
    }

    /**
     * The limits of a trial, set by the version on trial.
     *
     * @param confirmWithinMs time after which an unconfirmed change is rolled back
     * @param readyWithinMs time within which the version must be prepared
     * @param maxFailedRise the rise of the share of failed responses that is tolerated
     * @param maxRefusedRise the rise of the share of refused responses that is tolerated
     * @param minCount responses below which a share is not evaluated
     * @param automatic whether a change is confirmed automatically at the end of its trial
     */
    public record TrialTerms(
            double confirmWithinMs,
            double readyWithinMs,
            double maxFailedRise,
            double maxRefusedRise,
            int minCount,
            boolean automatic) {}

    /** A finished change; {@code reason} is empty if it was confirmed. */
    public record FinishedChange(int version, double finishedAtMs, boolean isConfirmed, String reason) {}

    /** The reply to an operator: accepted, or rejected with the reason. */
    public record Reply(boolean accepted, String message) {

        static Reply accept(String message) {
            return new Reply(true, message);
        }

        static Reply reject(String message) {
            return new Reply(false, message);
        }
    }

    private final Actions actions;
    private final OutcomeCounts baselineCounts = new OutcomeCounts();
    private final Map<Integer, Integer> staged = new LinkedHashMap<>();
    private final ArrayDeque<FinishedChange> history = new ArrayDeque<>();
    private OutcomeCounts trialCounts = new OutcomeCounts();
    private Phase phase = Phase.NONE;
    private int confirmed;
    private int candidate;
    private TrialTerms terms;
    private double deadlineMs;
    private List<ErrorRateGuard> guards = List.of();

    /** Creates a decider whose current version is confirmed. */
    public ChangeDecider(int confirmed, Actions actions) {
        this.confirmed = confirmed;
        this.actions = actions;
    }

    // ---- Requests of operators ----------------------------------------------------------------------

    /** Whether another version may be staged on top of a base; called before the version gets its number. */
    public Reply checkStaging(int base) {
        if (base != confirmed) {
            return Reply.reject("it is based on version " + base + ", but version " + confirmed + " is current");
        }
        if (staged.size() >= MAX_STAGED) {
            // Versions with another base can no longer be applied.
            staged.values().removeIf(stagedBase -> stagedBase != confirmed);
        }
        return staged.size() < MAX_STAGED
                ? Reply.accept("")
                : Reply.reject(MAX_STAGED + " versions are staged already; apply or drop one of " + staged.keySet());
    }

    /** Adds a staged version with its base. */
    public void staged(int version, int base) {
        staged.put(version, base);
    }

    /** Removes a staged version. */
    public Reply drop(int version) {
        if (version == candidate) {
            return Reply.reject(progress());
        }
        return staged.remove(version) == null
                ? Reply.reject("version " + version + " is not staged")
                : Reply.accept("version " + version + " is dropped");
    }

    /** Applies a staged version with the given limits of its trial. */
    public Reply apply(double nowMs, int version, TrialTerms newTerms) {
        if (phase != Phase.NONE) {
            return Reply.reject(progress());
        }
        Integer base = staged.get(version);
        if (base == null) {
            return Reply.reject("version " + version + " is not staged");
        }
        if (base != confirmed) {
            return Reply.reject("version " + version + " was staged over version " + base + ", but version " + confirmed
                    + " is current");
        }
        staged.remove(version);
        candidate = version;
        terms = newTerms;
        phase = Phase.MARKING;
        deadlineMs = nowMs + newTerms.readyWithinMs();
        actions.mark(version);
        return Reply.accept("version " + version + " is applied");
    }

    /** Confirms the version on trial; version 0 stands for any. */
    public Reply confirm(double nowMs, int version) {
        if (phase == Phase.NONE) {
            return Reply.reject("no version is on trial" + lastChange());
        }
        if (version != 0 && version != candidate) {
            return Reply.reject("version " + candidate + " is on trial, not version " + version);
        }
        if (phase != Phase.TRIAL) {
            return Reply.reject(progress());
        }
        phase = Phase.CONFIRMING;
        actions.writeConfirmed(candidate);
        return Reply.accept("version " + candidate + " is being confirmed");
    }

    /** Rolls the current change back. */
    public Reply rollback(double nowMs) {
        if (phase == Phase.NONE) {
            return Reply.reject("no version is on trial" + lastChange());
        }
        if (phase == Phase.CONFIRMING) {
            return Reply.reject(progress());
        }
        int rolledBack = candidate;
        undo(nowMs, "rolled back by an operator");
        return Reply.accept("version " + rolledBack + " is undone, version " + confirmed + " is current");
    }

    private String progress() {
        return switch (phase) {
            case NONE -> "nothing is under way";
            case MARKING, PREPARING -> "version " + candidate + " is being prepared";
            case TRIAL -> "version " + candidate + " is on trial; confirm it or roll it back first";
            case CONFIRMING -> "version " + candidate + " is being confirmed";
        };
    }

    private String lastChange() {
        return history.isEmpty()
                ? ""
                : "; version " + history.peekLast().version()
                        + (history.peekLast().isConfirmed()
                                ? " was confirmed"
                                : " was undone: " + history.peekLast().reason());
    }

    // ---- Events -------------------------------------------------------------------------------------

    /** The trial mark of a version is on disk, or the write failed with {@code failure}. */
    public void marked(double nowMs, int version, String failure) {
        if (phase != Phase.MARKING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(nowMs, "the trial could not be written down: " + failure);
            return;
        }
        phase = Phase.PREPARING;
        actions.prepare(version);
    }

    /** A version is prepared, or its preparation failed with {@code failure}. */
    public void prepared(double nowMs, int version, String failure) {
        if (phase != Phase.PREPARING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(nowMs, failure);
            return;
        }
        phase = Phase.TRIAL;
        deadlineMs = nowMs + terms.confirmWithinMs();
        trialCounts = new OutcomeCounts();
        guards = List.of(
                guard(nowMs, Outcome.FAILED, terms.maxFailedRise()),
                guard(nowMs, Outcome.REFUSED, terms.maxRefusedRise()));
        actions.begin(version);
    }

    private ErrorRateGuard guard(double nowMs, Outcome outcome, double maxRise) {
        double share = (double) baselineCounts.count(nowMs, BASELINE_SECONDS, outcome)
                / Math.max(1, baselineCounts.total(nowMs, BASELINE_SECONDS));
        return new ErrorRateGuard(outcome, share, maxRise, terms.minCount());
    }

    /** The confirmation of a version is on disk, or the write failed with {@code failure}. */
    public void confirmationWritten(double nowMs, int version, String failure) {
        if (phase != Phase.CONFIRMING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(nowMs, "the confirmation could not be written down: " + failure);
            return;
        }
        int previous = confirmed;
        confirmed = version;
        finish(new FinishedChange(version, nowMs, true, ""));
        actions.releasePrevious(version, previous);
    }

    /** The version that is being prepared or on trial has failed. */
    public void versionFailed(double nowMs, int version, String reason) {
        if (version == candidate && (phase == Phase.PREPARING || phase == Phase.TRIAL)) {
            undo(nowMs, reason);
        }
    }

    /** A response was sent to a request that was received under a version. */
    public void responseSent(double nowMs, int version, Outcome outcome) {
        if (phase == Phase.TRIAL && version == candidate) {
            trialCounts.add(nowMs, outcome);
        } else if (version == confirmed) {
            baselineCounts.add(nowMs, outcome);
        }
    }

    /** Checks deadlines and shares; to be called several times a second while a change is in progress. */
    public void tick(double nowMs) {
        if (phase == Phase.MARKING || phase == Phase.PREPARING) {
            if (nowMs >= deadlineMs) {
                undo(nowMs, "it was not ready within " + (long) terms.readyWithinMs() + " ms");
            }
            return;
        }
        if (phase != Phase.TRIAL) {
            return;
        }
        for (ErrorRateGuard guard : guards) {
            String reason = guard.check(nowMs, trialCounts);
            if (reason != null) {
                undo(nowMs, reason);
                return;
            }
        }
        if (nowMs >= deadlineMs) {
            if (terms.automatic()) {
                confirm(nowMs, candidate);
            } else {
                undo(nowMs, "nobody confirmed it within " + (long) terms.confirmWithinMs() + " ms");
            }
        }
    }

    private void undo(double nowMs, String reason) {
        int version = candidate;
        finish(new FinishedChange(version, nowMs, false, reason));
        actions.undo(version, confirmed, reason);
    }

    private void finish(FinishedChange change) {
        phase = Phase.NONE;
        candidate = 0;
        guards = List.of();
        history.addLast(change);
        if (history.size() > MAX_HISTORY) {
            history.removeFirst();
        }
    }

    // ---- Status -------------------------------------------------------------------------------------

    /** The phase of the current change. */
    public Phase phase() {
        return phase;
    }

    /** The confirmed version, which a rollback restores. */
    public int confirmed() {
        return confirmed;
    }

    /** The version of the current change; 0 for none. */
    public int candidate() {
        return candidate;
    }

    /** The time at which the current phase times out. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** The staged versions, each with its base. */
    public Map<Integer, Integer> stagedVersions() {
        return Map.copyOf(staged);
    }

    /** The finished changes, the oldest first. */
    public List<FinishedChange> history() {
        return new ArrayList<>(history);
    }
}
