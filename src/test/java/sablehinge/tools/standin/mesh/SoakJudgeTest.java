package sablehinge.tools.standin.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sablehinge.tools.standin.mesh.SoakTry.End;

/** Tests which faults of a balancer the soak judge reports, and which outcomes it excuses. */
class SoakJudgeTest {

    private static final int MACHINE = 0;
    private static final int BESIDE = 1;
    private static final double START = 1_000;
    private static final double STOP = 20_000;
    private static final double TIMEOUT_MS = 4_000;

    private final SoakLives lives = new SoakLives(2);
    private final TrafficLog trafficLog = new TrafficLog();

    SoakJudgeTest() {
        lives.startsAt(MACHINE, START).stoppedAt = STOP;
        lives.current(MACHINE).endedAt = STOP + 5_900;
        lives.startsAt(BESIDE, START);
    }

    private List<String> found(SoakTry... tries) {
        return new SoakJudge(lives, trafficLog)
                .judge(List.of(tries), 2).findings().stream()
                        .map(SoakFinding::rule)
                        .toList();
    }

    /** Records the run of an attempt in an upstream. */
    private void ran(String id, double at, double until) {
        trafficLog.ran(
                new TrafficLog.Run(id, "basalt", "i-1-x", "GET", "/", 0, "basalt", "tenant-1", "stamp-" + id, 0, at));
        trafficLog.finished(new TrafficLog.Finished("stamp-" + id, until));
    }

    private static SoakTry one(String id, double from, double until, End end, int status) {
        return new SoakTry(
                id,
                TrafficLog.Kind.UNSAFE,
                MACHINE,
                0,
                from,
                from,
                end,
                end == End.ANSWERED,
                status,
                status / 100 == 2,
                until,
                TIMEOUT_MS,
                0);
    }

    private static SoakTry begunAndCut(String id, double from, double until) {
        return new SoakTry(
                id, TrafficLog.Kind.SAFE, MACHINE, 0, from, from, End.CUT, true, 0, false, until, TIMEOUT_MS, 0);
    }

    /** The incident of issue 49. */
    @Test
    void reportsRequestAdmittedLateAndAbandoned() {
        ran("a", STOP + 4_700, STOP + 5_600);
        assertEquals(List.of("LATE", "LOST"), found(one("a", STOP + 4_000, STOP + 5_413, End.ANSWERED, 504)));
    }

    @Test
    void reportsConnectionCutDuringRequest() {
        ran("a", STOP + 1_000, STOP + 1_200);
        assertEquals(List.of("LOST"), found(one("a", STOP + 990, STOP + 1_100, End.CUT, 0)));
    }

    @Test
    void reportsDroppedRequestThatWasRead() {
        assertEquals(List.of("LOST"), found(one("a", STOP + 990, STOP + 1_300, End.CUT, 0)));
    }

    @Test
    void reportsConnectionClosedAfterForwarding() {
        ran("a", 9_000, 9_100);
        assertEquals(List.of("LOST"), found(one("a", 8_990, 9_050, End.UNREAD, 0)));
    }

    @Test
    void reportsProcessThatExceedsGracePeriod() {
        lives.current(MACHINE).endedAt = STOP + 6_100;
        assertEquals(List.of("END"), found());
    }

    @Test
    void reportsUnexpectedExit() {
        lives.current(BESIDE).endedAt = STOP;
        assertEquals(List.of("EXIT"), found());
    }

    @Test
    void shutdownOfUpstreamSidecarExcusesNoLoss() {
        lives.current(BESIDE).stoppedAt = STOP - 3_000;
        lives.current(BESIDE).endedAt = STOP + 2_900;
        ran("a", STOP, STOP + 2_400);
        assertEquals(List.of("LOST"), found(one("a", STOP - 10, STOP + 2_400, End.ANSWERED, 502)));
    }

    @Test
    void killBeforeRequestExcusesNoLoss() {
        lives.startsAt(BESIDE, STOP + 100);
        lives.of(BESIDE).get(0).killedAt = STOP;
        ran("a", STOP + 1_000, STOP + 1_200);
        assertEquals(List.of("LOST"), found(one("a", STOP + 990, STOP + 1_100, End.ANSWERED, 502)));
    }

    @Test
    void killOfUpstreamMachineExcusesNoCutClientConnection() {
        ran("a", 9_000, 9_900);
        lives.current(BESIDE).killedAt = 9_500;
        assertEquals(List.of("LOST"), found(one("a", 8_990, 9_501, End.CUT, 0)));
    }

    /** An answer that had begun can only be cut; without a kill that is a loss too. */
    @Test
    void killOfUpstreamMachineExcusesCutOfBegunAnswer() {
        ran("a", 9_000, 9_900);
        SoakTry cut = begunAndCut("a", 8_990, 9_501);
        assertEquals(List.of("LOST"), found(cut));
        lives.current(BESIDE).killedAt = 9_500;
        assertEquals(List.of(), found(cut));
    }

    @Test
    void reportsDroppedRequestsWithoutAnySignal() {
        assertEquals(
                List.of("LOST", "LOST"),
                found(one("a", 9_000, 9_300, End.CUT, 0), one("b", 9_000, 12_700, End.SILENT, 0)));
    }

    @Test
    void countsExcusedEndings() {
        ran("slow", STOP + 2_000, STOP + 5_500);
        ran("killed", STOP + 200, STOP + 900);
        lives.current(BESIDE).killedAt = STOP + 800;
        SoakJudge.Report report = new SoakJudge(lives, trafficLog)
                .judge(
                        List.of(
                                one("slow", STOP + 1_900, STOP + 5_410, End.ANSWERED, 504),
                                one("killed", STOP + 190, STOP + 810, End.ANSWERED, 502),
                                one("late", STOP - 3_900, STOP + 10, End.CUT, 0),
                                one("before", STOP - 200, STOP - 100, End.ANSWERED, 200)),
                        2);
        assertEquals(3, report.endings());
        assertEquals(
                Map.of(
                        SoakJudge.Excuse.LAST_SIXTH, 1,
                        SoakJudge.Excuse.UPSTREAM_STRUCK, 1,
                        SoakJudge.Excuse.DEADLINE, 1),
                report.excused());
    }

    @Test
    void reportsNothingForAllowedEndings() {
        // The upstream worked in the last sixth of the grace period, and the request was sent in time.
        ran("slow", STOP + 2_000, STOP + 5_500);
        // The request waited at a process that had not started to read.
        lives.startsAt(MACHINE, STOP + 30_000).stoppedAt = STOP + 31_000;
        lives.current(MACHINE).endedAt = STOP + 33_000;
        // The machine of the upstream was killed.
        ran("killed", STOP + 200, STOP + 900);
        lives.current(BESIDE).killedAt = STOP + 800;
        assertEquals(
                List.of(),
                found(
                        one("slow", STOP + 1_900, STOP + 5_410, End.ANSWERED, 504),
                        one("killed", STOP + 190, STOP + 810, End.ANSWERED, 502),
                        one("crossed", STOP + 2_400, STOP + 2_401, End.CUT, 0),
                        one("refused", STOP + 4_000, STOP + 4_001, End.ANSWERED, 503),
                        one("unread", STOP + 30_500, STOP + 32_900, End.CUT, 0),
                        one("served", STOP + 100, STOP + 300, End.ANSWERED, 200)));
    }
}
