package sablehinge.gateway.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.gateway.rollout.OutcomeShares.Outcome;

/**
 * Decides on changes of the configuration: what may be staged and applied, when a change is undone, when it is kept.
 * Events go in with their time, in ms; what is to be done comes out of {@link Actions}. It has no clock, thread or file
 * of its own.
 *
 * <p>A version goes through these states: staged; then, once applied, <em>marked</em> on disk, so that a crash finds it
 * unconfirmed; <em>preparing</em>, while its listeners are bound and its servers reached, with all traffic still under
 * the version before; <em>on trial</em>, while requests arrive under it and it is watched; then <em>confirming</em>,
 * while that is written down, and confirmed. Out of any of these but the last it can be undone, which needs no disk.
 */
public final class ChangeDecider {

    /** Versions that may be staged at once. */
    public static final int MAX_STAGED = 8;
    /** Ended changes that are remembered. */
    public static final int MAX_PAST = 100;
    /** Seconds before a change over which its shares of answers are compared with. */
    private static final int BEFORE = 60;

    /** Where the change under way stands. */
    public enum Phase {
        NONE,
        MARKING,
        PREPARING,
        TRIAL,
        CONFIRMING
    }

    /** What the decider requests; the ends of the first three come back as events. */
    public interface Actions {

        /** Writes down that a version is on trial; ends with {@link #marked}. */
        void mark(int version);

        /** Binds listeners and reaches servers, all beside the traffic; ends with {@link #prepared}. */
        void prepare(int version);

        /** Writes down that a version is confirmed; ends with {@link #written}. */
        void writeConfirmed(int version);

        /** Lets requests arrive under a version. */
        void begin(int version);

        /** Lets requests arrive under {@code to} again, if they didn't, and gives up what was prepared. */
        void undo(int version, int to, String reason);

        /** A version is confirmed: gives up what only the one before had. */
        void keep(int version, int before);
    }

    /**
     * How changes are watched, by the version on trial.
     *
     * @param confirmWithin ms after which an unconfirmed change is undone
     * @param readyWithin ms by which it must be prepared
     * @param failedRise by how much the share of failed answers may rise
     * @param refusedRise likewise of refused ones
     * @param leastCount answers below which a share proves nothing
     * @param automatic whether a change that stood its trial is confirmed by itself
     */
    public record Terms(
            double confirmWithin,
            double readyWithin,
            double failedRise,
            double refusedRise,
            int leastCount,
            boolean automatic) {}

    /** An ended change; {@code reason} is empty where it was confirmed. */
    public record Past(int version, double at, boolean kept, String reason) {}

    /** What an operator is answered: done, or why not. */
    public record Reply(boolean done, String message) {

        static Reply yes(String message) {
            return new Reply(true, message);
        }

        static Reply no(String message) {
            return new Reply(false, message);
        }
    }

    private final Actions actions;
    private final OutcomeShares before = new OutcomeShares();
    private final Map<Integer, Integer> staged = new LinkedHashMap<>();
    private final ArrayDeque<Past> past = new ArrayDeque<>();
    private OutcomeShares during = new OutcomeShares();
    private Phase phase = Phase.NONE;
    private int confirmed;
    private int candidate;
    private Terms terms;
    private double deadline;
    private List<ErrorRateGuard> guards = List.of();

    /** Begins with a version that is confirmed. */
    public ChangeDecider(int confirmed, Actions actions) {
        this.confirmed = confirmed;
        this.actions = actions;
    }

    // ---- What operators ask for ---------------------------------------------------------------------

    /** Whether one more version may be staged over a base; called before it gets its number. */
    public Reply mayStage(int base) {
        if (base != confirmed) {
            return Reply.no("it is based on version " + base + ", but version " + confirmed + " is current");
        }
        if (staged.size() >= MAX_STAGED) {
            // Nobody can apply those any more.
            staged.values().removeIf(over -> over != confirmed);
        }
        return staged.size() < MAX_STAGED
                ? Reply.yes("")
                : Reply.no(MAX_STAGED + " versions are staged already; apply or drop one of " + staged.keySet());
    }

    /** A version was staged over a base. */
    public void staged(int version, int base) {
        staged.put(version, base);
    }

    /** Forgets a staged version. */
    public Reply drop(int version) {
        if (version == candidate) {
            return Reply.no(busy());
        }
        return staged.remove(version) == null
                ? Reply.no("version " + version + " is not staged")
                : Reply.yes("version " + version + " is dropped");
    }

    /** Applies a staged version under the given terms. */
    public Reply apply(double now, int version, Terms given) {
        if (phase != Phase.NONE) {
            return Reply.no(busy());
        }
        Integer base = staged.get(version);
        if (base == null) {
            return Reply.no("version " + version + " is not staged");
        }
        if (base != confirmed) {
            return Reply.no("version " + version + " was staged over version " + base + ", but version " + confirmed
                    + " is current");
        }
        staged.remove(version);
        candidate = version;
        terms = given;
        phase = Phase.MARKING;
        deadline = now + given.readyWithin();
        actions.mark(version);
        return Reply.yes("version " + version + " is applied");
    }

    /** Keeps the version on trial. */
    public Reply confirm(double now, int version) {
        if (phase == Phase.NONE) {
            return Reply.no("no version is on trial" + last());
        }
        if (version != 0 && version != candidate) {
            return Reply.no("version " + candidate + " is on trial, not version " + version);
        }
        if (phase != Phase.TRIAL) {
            return Reply.no(busy());
        }
        phase = Phase.CONFIRMING;
        actions.writeConfirmed(candidate);
        return Reply.yes("version " + candidate + " is being confirmed");
    }

    /** Undoes the change under way. */
    public Reply rollback(double now) {
        if (phase == Phase.NONE) {
            return Reply.no("no version is on trial" + last());
        }
        if (phase == Phase.CONFIRMING) {
            return Reply.no(busy());
        }
        int undone = candidate;
        undo(now, "rolled back by an operator");
        return Reply.yes("version " + undone + " is undone, version " + confirmed + " is current");
    }

    private String busy() {
        return switch (phase) {
            case NONE -> "nothing is under way";
            case MARKING, PREPARING -> "version " + candidate + " is being prepared";
            case TRIAL -> "version " + candidate + " is on trial; confirm it or roll it back first";
            case CONFIRMING -> "version " + candidate + " is being confirmed";
        };
    }

    private String last() {
        return past.isEmpty()
                ? ""
                : "; version " + past.peekLast().version()
                        + (past.peekLast().kept()
                                ? " was confirmed"
                                : " was undone: " + past.peekLast().reason());
    }

    // ---- What happens -------------------------------------------------------------------------------

    /** The mark of a version is on disk, or {@code failure} says why not. */
    public void marked(double now, int version, String failure) {
        if (phase != Phase.MARKING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(now, "the trial could not be written down: " + failure);
            return;
        }
        phase = Phase.PREPARING;
        actions.prepare(version);
    }

    /** A version is prepared, or {@code failure} says why not. */
    public void prepared(double now, int version, String failure) {
        if (phase != Phase.PREPARING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(now, failure);
            return;
        }
        phase = Phase.TRIAL;
        deadline = now + terms.confirmWithin();
        during = new OutcomeShares();
        guards = List.of(
                guard(now, Outcome.FAILED, terms.failedRise()), guard(now, Outcome.REFUSED, terms.refusedRise()));
        actions.begin(version);
    }

    private ErrorRateGuard guard(double now, Outcome outcome, double rise) {
        double share = (double) before.of(now, BEFORE, outcome) / Math.max(1, before.all(now, BEFORE));
        return new ErrorRateGuard(outcome, share, rise, terms.leastCount());
    }

    /** The confirmation of a version is on disk, or {@code failure} says why not. */
    public void written(double now, int version, String failure) {
        if (phase != Phase.CONFIRMING || version != candidate) {
            return;
        }
        if (failure != null) {
            undo(now, "the confirmation could not be written down: " + failure);
            return;
        }
        int old = confirmed;
        confirmed = version;
        end(new Past(version, now, true, ""));
        actions.keep(version, old);
    }

    /** A part of the version under way has failed by itself. */
    public void partFailed(double now, int version, String reason) {
        if (version == candidate && (phase == Phase.PREPARING || phase == Phase.TRIAL)) {
            undo(now, reason);
        }
    }

    /** An answer was given to a request that had arrived under a version. */
    public void answered(double now, int version, Outcome outcome) {
        if (phase == Phase.TRIAL && version == candidate) {
            during.count(now, outcome);
        } else if (version == confirmed) {
            before.count(now, outcome);
        }
    }

    /** Time has passed: to be called some times a second while a change is under way. */
    public void tick(double now) {
        if (phase == Phase.MARKING || phase == Phase.PREPARING) {
            if (now >= deadline) {
                undo(now, "it was not ready within " + (long) terms.readyWithin() + " ms");
            }
            return;
        }
        if (phase != Phase.TRIAL) {
            return;
        }
        for (ErrorRateGuard guard : guards) {
            String reason = guard.check(now, during);
            if (reason != null) {
                undo(now, reason);
                return;
            }
        }
        if (now >= deadline) {
            if (terms.automatic()) {
                confirm(now, candidate);
            } else {
                undo(now, "nobody confirmed it within " + (long) terms.confirmWithin() + " ms");
            }
        }
    }

    private void undo(double now, String reason) {
        int version = candidate;
        end(new Past(version, now, false, reason));
        actions.undo(version, confirmed, reason);
    }

    private void end(Past how) {
        phase = Phase.NONE;
        candidate = 0;
        guards = List.of();
        past.addLast(how);
        if (past.size() > MAX_PAST) {
            past.removeFirst();
        }
    }

    // ---- What operators see -------------------------------------------------------------------------

    /** What stage the change is in. */
    public Phase phase() {
        return phase;
    }

    /** The version to which an undoing leads. */
    public int confirmed() {
        return confirmed;
    }

    /** The version under way; 0 for none. */
    public int candidate() {
        return candidate;
    }

    /** When the present phase ends by itself, in ms. */
    public double deadline() {
        return deadline;
    }

    /** Staged versions and what each is based on. */
    public Map<Integer, Integer> stagedVersions() {
        return Map.copyOf(staged);
    }

    /** Ended changes, the oldest first. */
    public List<Past> past() {
        return new ArrayList<>(past);
    }
}
