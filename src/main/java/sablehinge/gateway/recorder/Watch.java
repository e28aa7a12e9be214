package sablehinge.gateway.recorder;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sablehinge.dataplane.proxy.MonitoredRelay;
import sablehinge.gateway.recorder.Alarm.Kind;

/**
 * Holds what a process does against what it promises, at each tick. It keeps no clock and does nothing but look, save
 * that a body that stands still is nudged: only so can it be seen whether its ends are ready.
 */
public final class Watch {

    /** Nudges in a row that moved something, before which bytes may have come in that very moment. */
    private static final int MOVED_BY_NUDGES = 3;

    /**
     * When something is wrong; times in ms.
     *
     * @param tick the time between two ticks
     * @param stall how long a body may stand still that could move
     * @param turn how late a tick may be
     * @param overdue how long past its deadline a request may be there
     * @param quiet how long nothing must have been at work before all counts must be zero
     * @param atRest bytes of direct memory that may be in use then
     */
    public record Terms(double tick, double stall, double turn, double overdue, double quiet, long atRest) {

        /** Half a second for a body, a quarter for a turn of the loop. */
        public static final Terms USUAL = new Terms(50, 500, 250, 1_000, 5_000, 256 * 1024);
    }

    /** A passage as it was when it last moved by itself. */
    private static final class Seen {
        long moved = -1;
        long unwritten = -1;
        double since;
        /** Since when it has been seen to be held up though both ends are ready; NaN while it isn't. */
        double heldSince = Double.NaN;

        int nudged;
        boolean reported;
    }

    private final Terms terms;
    private final List<Alarm> alarms = new ArrayList<>();
    private Map<MonitoredRelay, Seen> passages = new IdentityHashMap<>();
    private Set<Long> late = Set.of();
    private double last = Double.NaN;
    private double quietSince = Double.NaN;
    private long woken;
    private boolean below;
    private boolean left;

    /** A watch by the given terms. */
    public Watch(Terms terms) {
        this.terms = terms;
    }

    /** The terms. */
    public Terms terms() {
        return terms;
    }

    /** Looks at everything once; what is newly wrong, each thing once. */
    public List<Alarm> tick(double now, Vitals vitals) {
        alarms.clear();
        double lateness = Double.isNaN(last) ? 0 : now - last - terms.tick;
        if (lateness > terms.turn) {
            alarm(Kind.LONG_TURN, 0, 0, "the loop had no turn for " + Math.round(now - last) + " ms");
        }
        last = now;
        if (vitals.woken() > woken) {
            alarm(Kind.LOST_WAKE_UP, 0, 0, vitals.woken() - woken + " bodies had to be woken by the sweep");
            woken = vitals.woken();
        }
        // Who had no turn has not stood still by itself.
        lookAtPassages(now, vitals, Math.max(0, lateness));
        lookAtRequests(vitals);
        lookAtCounts(now, vitals);
        return List.copyOf(alarms);
    }

    private void alarm(Kind kind, int connection, long exchange, String detail) {
        alarms.add(new Alarm(kind, connection, exchange, detail));
    }

    private void lookAtPassages(double now, Vitals vitals, double lateness) {
        Map<MonitoredRelay, Seen> before = passages;
        passages = new IdentityHashMap<>();
        List<MonitoredRelay> present = new ArrayList<>();
        vitals.passages(present::add);
        for (MonitoredRelay one : present) {
            Seen seen = before.get(one);
            if (seen == null) {
                seen = new Seen();
                seen.since = now;
            }
            passages.put(one, seen);
            look(now, one, seen, lateness);
        }
    }

    private void look(double now, MonitoredRelay one, Seen seen, double lateness) {
        seen.since += lateness;
        seen.heldSince += lateness;
        if (one.bytesForwarded() != seen.moved || one.unwrittenBytes() != seen.unwritten) {
            seen.moved = one.bytesForwarded();
            seen.unwritten = one.unwrittenBytes();
            seen.since = now;
            seen.heldSince = Double.NaN;
            seen.nudged = 0;
            return;
        }
        boolean unread = one.isPaused() && one.isWritable();
        if (!unread && !one.isUnflushed()) {
            seen.heldSince = Double.NaN;
        } else if (Double.isNaN(seen.heldSince)) {
            seen.heldSince = now;
        }
        if (seen.reported) {
            return;
        }
        if (now - seen.heldSince >= terms.stall) {
            seen.reported = true;
            alarm(
                    unread ? Kind.LOST_WAKE_UP : Kind.UNWRITTEN,
                    one.connection(),
                    0,
                    (unread
                                    ? "nothing is read for it, though it can take more, "
                                    : "nobody has flushed " + one.unwrittenBytes() + " bytes ")
                            + "for "
                            + Math.round(now - seen.heldSince) + " ms");
        } else if (now - seen.since >= terms.stall) {
            nudge(now, one, seen);
        }
    }

    private void nudge(double now, MonitoredRelay one, Seen seen) {
        long moved = one.bytesForwarded();
        long unwritten = one.unwrittenBytes();
        one.resume();
        if (one.bytesForwarded() == moved && one.unwrittenBytes() >= unwritten) {
            seen.nudged = 0;
            return;
        }
        seen.nudged++;
        if (seen.nudged >= MOVED_BY_NUDGES) {
            seen.reported = true;
            boolean unread = one.bytesForwarded() > moved;
            alarm(
                    unread ? Kind.UNREAD : Kind.UNWRITTEN,
                    one.connection(),
                    0,
                    (unread
                                    ? one.bytesForwarded() - moved + " bytes had come and were not read"
                                    : unwritten - one.unwrittenBytes() + " bytes could be written and were not")
                            + " for "
                            + Math.round(now - seen.since) + " ms");
        }
        // Only what moves by itself clears the count.
        seen.moved = one.bytesForwarded();
        seen.unwritten = one.unwrittenBytes();
        seen.since = now;
    }

    private void lookAtRequests(Vitals vitals) {
        Set<Long> still = new HashSet<>();
        vitals.overdue(terms.overdue, id -> {
            still.add(id);
            if (!late.contains(id)) {
                alarm(Kind.OVERDUE, 0, id, "it is past its deadline by over " + Math.round(terms.overdue) + " ms");
            }
        });
        late = still;
    }

    private void lookAtCounts(double now, Vitals vitals) {
        boolean isBelow = vitals.kept() < 0 || vitals.descriptors() < 0;
        if (isBelow && !below) {
            alarm(Kind.BELOW_ZERO, 0, 0, counts(vitals));
        }
        below = isBelow;
        if (vitals.busy() != 0) {
            quietSince = Double.NaN;
            left = false;
            return;
        }
        if (Double.isNaN(quietSince)) {
            quietSince = now;
        }
        if (!left && now - quietSince >= terms.quiet) {
            if (vitals.kept() != 0) {
                left = true;
                alarm(Kind.LEFT_OVER, 0, 0, "nothing is at work; " + counts(vitals));
            }
            if (vitals.memory() > terms.atRest) {
                left = true;
                alarm(Kind.LEAK, 0, 0, "nothing is at work; " + vitals.memory() + " B of buffers are in use");
            }
        }
    }

    private static String counts(Vitals vitals) {
        return "bytes kept " + vitals.kept() + ", connections " + vitals.descriptors() + ", busy " + vitals.busy();
    }
}
