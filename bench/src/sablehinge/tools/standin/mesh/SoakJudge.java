package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Holds what clients and upstreams saw in a soak run against the rules on ends in order (RULES and NEWS-18, LOST),
 * beside those of {@link MeshJudge}. It lets pass no more than those rules do, and counts what it lets pass.
 */
final class SoakJudge {

    /** How long a process may take to end after SIGTERM, ms; the default of the daemons' settings. */
    static final double GRACE_MS = 6_000;
    /** How long after SIGTERM a request may still be taken, ms. */
    private static final double TAKEN_MS = 3_000;
    /** What an upstream still works on in this last part of the grace may be given up. */
    private static final double LAST_PART_MS = GRACE_MS / 6;
    /** For how long after the grace a connection's end is laid to a process's end, ms. */
    private static final double AFTER_MS = 1_000;
    /** By when a request that was read is to be answered or passed on, ms. */
    private static final double READ_MS = 200;
    /** By when a process reads what comes, ms after its start. */
    private static final double STARTED_MS = 3_000;
    /** A signal is noted a little before it is sent; what was written since then may have met it, ms. */
    private static final double SIGNAL_MS = 50;

    private static final Set<Integer> FAILURES = Set.of(500, 502, 504);

    /** Why an end that would break a rule does not. */
    enum Excuse {
        /** The process that took it was killed under it. */
        KILLED,
        /** It was told to end before it had come to read. */
        UNSTARTED,
        /** Its time was over. */
        DEADLINE,
        /** Its upstream broke off or crashed under it, or the process beside that was killed. */
        UPSTREAM_STRUCK,
        /** Its upstream was at work in the last sixth of its process's grace. */
        LAST_SIXTH
    }

    /**
     * What was judged.
     *
     * @param endings tries that were under way at, or begun after, SIGTERM of the process that took them
     * @param heardAfterMs the longest that a process took to say that it leaves
     * @param crossed tries that crossed the close of their connection and were not passed on
     * @param excused those of all tries whose end would break a rule, by why it does not
     */
    record Report(
            List<SoakFinding> findings, int endings, int crossed, double heardAfterMs, Map<Excuse, Integer> excused) {}

    private final SoakLives lives;
    private final TrafficLog trafficLog;
    private final Map<String, List<TrafficLog.Run>> runs = new HashMap<>();
    private final List<SoakFinding> findings = new ArrayList<>();
    private final Map<Excuse, Integer> excused = new EnumMap<>(Excuse.class);
    private int endings;
    private int crossed;
    private double heardAfterMs;

    /** A judge of one run. */
    SoakJudge(SoakLives lives, TrafficLog trafficLog) {
        this.lives = lives;
        this.trafficLog = trafficLog;
        trafficLog.runs().forEach(run -> runs.computeIfAbsent(run.id(), id -> new ArrayList<>())
                .add(run));
    }

    /** What breaks a rule; to be called once. */
    Report judge(List<SoakTry> tries, int machines) {
        tries.forEach(this::judge);
        for (int machine = 0; machine < machines; machine++) {
            lives.of(machine).forEach(this::judgeEnd);
        }
        return new Report(List.copyOf(findings), endings, crossed, heardAfterMs, Map.copyOf(excused));
    }

    private void judgeEnd(SoakLives.Life life) {
        // NaN compares false: it was not stopped, or had not come so far as to say so.
        heardAfterMs = life.heardAfterMs > heardAfterMs ? life.heardAfterMs : heardAfterMs;
        boolean ended = !Double.isNaN(life.endedAt);
        if (ended && !life.wasToEnd()) {
            found("EXIT", life.machine, life.endedAt, "ended by itself");
        } else if (!Double.isNaN(life.stoppedAt) && Double.isNaN(life.killedAt)) {
            double took = (ended ? life.endedAt : TrafficLog.now()) - life.stoppedAt;
            if (took > GRACE_MS) {
                found("END", life.machine, life.stoppedAt, String.format(Locale.ROOT, "took %.0f ms to end", took));
            }
        }
    }

    private void found(String rule, int machine, double at, String words) {
        findings.add(new SoakFinding(rule, machine, at, words));
    }

    private void judge(SoakTry one) {
        SoakLives.Life life = lives.at(one.machine(), one.startedAt());
        if (life == null) {
            return;
        }
        List<TrafficLog.Run> ran = runs.getOrDefault(one.id(), List.of());
        endings += one.endedAt() >= life.stoppedAt ? 1 : 0;
        double sinceStop = one.startedAt() - life.stoppedAt;
        if (!ran.isEmpty() && sinceStop > TAKEN_MS) {
            found("LATE", one.machine(), one.startedAt(), one + " was taken late" + described(one, life, ran));
        }
        crossed += one.end() == SoakTry.End.CUT && ran.isEmpty() && one.ahead() == 0 && !wasRead(one) ? 1 : 0;
        String loss = loss(one, life, ran);
        if (loss == null) {
            return;
        }
        Excuse excuse = excuse(one, life, ran);
        if (excuse == null) {
            found("LOST", one.machine(), one.endedAt(), one + loss + described(one, life, ran));
        } else {
            excused.merge(excuse, 1, Integer::sum);
        }
    }

    /** How a request was lost, in words; null if it was not. */
    private static String loss(SoakTry one, SoakLives.Life life, List<TrafficLog.Run> ran) {
        return switch (one.end()) {
            case CUT ->
                !ran.isEmpty()
                        ? " has no answer, and ran"
                        : wasRead(one) ? " has no answer, long after it was written" : null;
            case UNREAD -> ran.isEmpty() ? null : " ran, and its connection was closed before its answer";
            case SILENT -> ran.isEmpty() && !wasRead(one) ? null : " was never answered";
            case ANSWERED -> !ran.isEmpty() && isBrokenOff(one, life) ? " ran, and was broken off" : null;
        };
    }

    /** Whether it was written completely, as the first on its connection, long before that ended. */
    private static boolean wasRead(SoakTry one) {
        return one.ahead() == 0 && !Double.isNaN(one.writtenAt()) && one.endedAt() - one.writtenAt() > READ_MS;
    }

    /** Whether it ends, around the end of its process, with a failure that is none of its upstream's. */
    private static boolean isBrokenOff(SoakTry one, SoakLives.Life life) {
        return FAILURES.contains(one.status())
                && !one.stamped()
                && one.endedAt() >= life.stoppedAt
                && one.endedAt() <= life.stoppedAt + GRACE_MS + AFTER_MS;
    }

    /** When it was sent, what ran, and when it ended, relative to SIGTERM of the process that took it. */
    private String described(SoakTry one, SoakLives.Life life, List<TrafficLog.Run> ran) {
        StringBuilder words = new StringBuilder();
        words.append(String.format(
                Locale.ROOT,
                " (after SIGTERM, ms: heard %.0f, sent %.0f, written %.0f, ended %.0f",
                life.heardAfterMs,
                one.startedAt() - life.stoppedAt,
                one.writtenAt() - life.stoppedAt,
                one.endedAt() - life.stoppedAt));
        for (TrafficLog.Run run : ran) {
            words.append(String.format(
                    Locale.ROOT,
                    ", at %s from %.0f to %.0f",
                    run.upstream(),
                    run.at() - life.stoppedAt,
                    trafficLog.finishedAt(run.stamp()) - life.stoppedAt));
        }
        return words.append(')').toString();
    }

    /** Why a loss breaks no rule; null if it does. */
    private Excuse excuse(SoakTry one, SoakLives.Life life, List<TrafficLog.Run> ran) {
        if (lives.wasKilled(one.machine(), one.startedAt() - SIGNAL_MS, one.endedAt())) {
            return Excuse.KILLED;
        }
        if (ran.isEmpty() && Math.min(one.endedAt(), life.stoppedAt) - life.startedAt <= STARTED_MS) {
            return Excuse.UNSTARTED;
        }
        double waitsFrom = Double.isNaN(one.writtenAt()) ? one.startedAt() : one.writtenAt();
        if (one.endedAt() - waitsFrom - one.readMs() >= one.leftMs() - READ_MS) {
            return Excuse.DEADLINE;
        }
        // A struck upstream is a failure, which is to be told; it is no reason to close a caller's connection, unless
        // its answer has begun, which can then only be cut.
        boolean told = one.end() == SoakTry.End.ANSWERED || one.end() == SoakTry.End.CUT && one.begun();
        if (told && ran.stream().anyMatch(run -> wasStruck(run, one.endedAt()))) {
            return Excuse.UPSTREAM_STRUCK;
        }
        return ran.stream().anyMatch(run -> workedToTheEnd(one, life, run)) ? Excuse.LAST_SIXTH : null;
    }

    private boolean wasStruck(TrafficLog.Run run, double until) {
        int machine = machine(run);
        double from = run.at() - SIGNAL_MS;
        return trafficLog.isAborted(run.stamp())
                || lives.wasKilled(machine, from, until)
                || lives.hasCrashed(machine, from, until);
    }

    /** Whether an upstream was at work on it in the last part of its process's grace, and it was sent in time. */
    private boolean workedToTheEnd(SoakTry one, SoakLives.Life life, TrafficLog.Run run) {
        double finishedAt = trafficLog.finishedAt(run.stamp());
        double until = (Double.isNaN(finishedAt) ? one.endedAt() : finishedAt) + one.readMs();
        return one.startedAt() <= life.stoppedAt + TAKEN_MS && until >= life.stoppedAt + GRACE_MS - LAST_PART_MS;
    }

    private static int machine(TrafficLog.Run run) {
        return Integer.parseInt(run.upstream().split("-")[1]);
    }
}
