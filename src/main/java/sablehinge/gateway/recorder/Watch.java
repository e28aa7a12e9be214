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
 * Checks the invariants of a process at each tick. It has no clock and only observes, with one exception: it resumes a
 * body that does not progress, as this is the only way to find out whether both ends are ready.
 */
public final class Watch {

    /** Consecutive forced resumes with progress before an alarm; fewer may be bytes that arrived at that moment. */
    private static final int STALL_RESUMES = 3;

    /**
     * The thresholds of the alarms.
     *
     * @param tickMs the time between two ticks
     * @param stallMs the time that a body may make no progress although it could
     * @param maxTickDelayMs the delay of a tick that is tolerated
     * @param overdueMs the time that a request may exist after its deadline
     * @param idleMs the time without work after which all counters must be zero
     * @param idleMemoryBytes the direct memory that may be in use then
     */
    public record Terms(
            double tickMs,
            double stallMs,
            double maxTickDelayMs,
            double overdueMs,
            double idleMs,
            long idleMemoryBytes) {

        /** The defaults: 500 ms for a body, 250 ms for the delay of a tick. */
        public static final Terms DEFAULT = new Terms(50, 500, 250, 1_000, 5_000, 256 * 1024);
    }

    /** The progress of a relay at the last observation. */
    private static final class Progress {
        long bytesForwarded = -1;
        long unwrittenBytes = -1;
        double lastProgressMs;
        /** The time since which it is blocked although both ends are ready; NaN if it is not. */
        double blockedSinceMs = Double.NaN;

        int forcedResumes;
        boolean reported;
    }

    private final Terms terms;
    private final List<Alarm> alarms = new ArrayList<>();
    private Map<MonitoredRelay, Progress> progressByRelay = new IdentityHashMap<>();
    private Set<Long> reportedOverdue = Set.of();
    private double lastTickMs = Double.NaN;
    private double idleSinceMs = Double.NaN;
    private long lastRecoveredWakeUps;
    private boolean reportedNegative;
    private boolean reportedLeftOver;

    /** Creates a watch with the given thresholds. */
    public Watch(Terms terms) {
        this.terms = terms;
    }

    /** The thresholds. */
    public Terms terms() {
        return terms;
    }

    /** Checks all invariants; returns the new violations, each of them once. */
    public List<Alarm> tick(double nowMs, Vitals vitals) {
        alarms.clear();
        double delayMs = Double.isNaN(lastTickMs) ? 0 : nowMs - lastTickMs - terms.tickMs;
        if (delayMs > terms.maxTickDelayMs) {
            alarm(Kind.LONG_TURN, 0, 0, "the loop had no turn for " + Math.round(nowMs - lastTickMs) + " ms");
        }
        lastTickMs = nowMs;
        if (vitals.recoveredWakeUps() > lastRecoveredWakeUps) {
            alarm(
                    Kind.LOST_WAKE_UP,
                    0,
                    0,
                    vitals.recoveredWakeUps() - lastRecoveredWakeUps + " bodies had to be woken by the sweep");
            lastRecoveredWakeUps = vitals.recoveredWakeUps();
        }
        // Bodies can't progress while the event loop is delayed, so the delay does not count as a stall.
        checkRelays(nowMs, vitals, Math.max(0, delayMs));
        checkRequests(vitals);
        checkCounters(nowMs, vitals);
        return List.copyOf(alarms);
    }

    private void alarm(Kind kind, int connection, long exchange, String detail) {
        alarms.add(new Alarm(kind, connection, exchange, detail));
    }

    private void checkRelays(double nowMs, Vitals vitals, double delayMs) {
        Map<MonitoredRelay, Progress> previous = progressByRelay;
        progressByRelay = new IdentityHashMap<>();
        List<MonitoredRelay> relays = new ArrayList<>();
        vitals.forEachRelay(relays::add);
        for (MonitoredRelay relay : relays) {
            Progress progress = previous.get(relay);
            if (progress == null) {
                progress = new Progress();
                progress.lastProgressMs = nowMs;
            }
            progressByRelay.put(relay, progress);
            checkRelay(nowMs, relay, progress, delayMs);
        }
    }

    private void checkRelay(double nowMs, MonitoredRelay relay, Progress progress, double delayMs) {
        progress.lastProgressMs += delayMs;
        progress.blockedSinceMs += delayMs;
        if (relay.bytesForwarded() != progress.bytesForwarded || relay.unwrittenBytes() != progress.unwrittenBytes) {
            progress.bytesForwarded = relay.bytesForwarded();
            progress.unwrittenBytes = relay.unwrittenBytes();
            progress.lastProgressMs = nowMs;
            progress.blockedSinceMs = Double.NaN;
            progress.forcedResumes = 0;
            return;
        }
        boolean unread = relay.isPaused() && relay.isWritable();
        if (!unread && !relay.isUnflushed()) {
            progress.blockedSinceMs = Double.NaN;
        } else if (Double.isNaN(progress.blockedSinceMs)) {
            progress.blockedSinceMs = nowMs;
        }
        if (progress.reported) {
            return;
        }
        if (nowMs - progress.blockedSinceMs >= terms.stallMs) {
            progress.reported = true;
            alarm(
                    unread ? Kind.LOST_WAKE_UP : Kind.UNWRITTEN,
                    relay.connection(),
                    0,
                    (unread
                                    ? "nothing is read for it, though it can take more, "
                                    : "nobody has flushed " + relay.unwrittenBytes() + " bytes ")
                            + "for "
                            + Math.round(nowMs - progress.blockedSinceMs) + " ms");
        } else if (nowMs - progress.lastProgressMs >= terms.stallMs) {
            forceResume(nowMs, relay, progress);
        }
    }

    private void forceResume(double nowMs, MonitoredRelay relay, Progress progress) {
        long forwardedBefore = relay.bytesForwarded();
        long unwrittenBefore = relay.unwrittenBytes();
        relay.resume();
        if (relay.bytesForwarded() == forwardedBefore && relay.unwrittenBytes() >= unwrittenBefore) {
            progress.forcedResumes = 0;
            return;
        }
        progress.forcedResumes++;
        if (progress.forcedResumes >= STALL_RESUMES) {
            progress.reported = true;
            boolean unread = relay.bytesForwarded() > forwardedBefore;
            alarm(
                    unread ? Kind.UNREAD : Kind.UNWRITTEN,
                    relay.connection(),
                    0,
                    (unread
                                    ? relay.bytesForwarded() - forwardedBefore + " bytes had come and were not read"
                                    : unwrittenBefore - relay.unwrittenBytes() + " bytes could be written and were not")
                            + " for "
                            + Math.round(nowMs - progress.lastProgressMs) + " ms");
        }
        // Progress by a forced resume does not reset the count.
        progress.bytesForwarded = relay.bytesForwarded();
        progress.unwrittenBytes = relay.unwrittenBytes();
        progress.lastProgressMs = nowMs;
    }

    private void checkRequests(Vitals vitals) {
        Set<Long> overdue = new HashSet<>();
        vitals.forEachOverdue(terms.overdueMs, id -> {
            overdue.add(id);
            if (!reportedOverdue.contains(id)) {
                alarm(Kind.OVERDUE, 0, id, "it is past its deadline by over " + Math.round(terms.overdueMs) + " ms");
            }
        });
        reportedOverdue = overdue;
    }

    private void checkCounters(double nowMs, Vitals vitals) {
        boolean negative = vitals.reservedBytes() < 0 || vitals.descriptors() < 0;
        if (negative && !reportedNegative) {
            alarm(Kind.BELOW_ZERO, 0, 0, counts(vitals));
        }
        reportedNegative = negative;
        if (vitals.activeCount() != 0) {
            idleSinceMs = Double.NaN;
            reportedLeftOver = false;
            return;
        }
        if (Double.isNaN(idleSinceMs)) {
            idleSinceMs = nowMs;
        }
        if (!reportedLeftOver && nowMs - idleSinceMs >= terms.idleMs) {
            if (vitals.reservedBytes() != 0) {
                reportedLeftOver = true;
                alarm(Kind.LEFT_OVER, 0, 0, "nothing is at work; " + counts(vitals));
            }
            if (vitals.usedMemory() > terms.idleMemoryBytes) {
                reportedLeftOver = true;
                alarm(Kind.LEAK, 0, 0, "nothing is at work; " + vitals.usedMemory() + " B of buffers are in use");
            }
        }
    }

    private static String counts(Vitals vitals) {
        return "bytes kept " + vitals.reservedBytes() + ", connections " + vitals.descriptors() + ", busy "
                + vitals.activeCount();
    }
}
