package sablehinge.tools.standin.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short soak run with a fixed seed; {@code bench/run soak} plays many. */
@Timeout(300)
class SoakTest {

    private static final long SEED = 49;
    private static final int SECONDS = 12;
    private static final int PROCESSES = 8;
    /** A schedule in which a process that never heard its upstream acknowledges its sign-off. */
    private static final long SIGN_OFF_SEED = 37;

    private static final int SIGN_OFF_SECONDS = 10;

    /** Returns the command of a daemon with the classes under test. */
    private static List<String> command(String role, int place, int start) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=64m",
                "-cp",
                System.getProperty("java.class.path"),
                "sablehinge.cli.Main",
                role));
        return command;
    }

    @Test
    void whenSignalsRestartsAndChangesOverlapThenNoRuleIsBroken() throws Exception {
        SoakRun.Result result =
                SoakRun.play(SoakSchedule.draw(SEED, SECONDS, PROCESSES), SoakTest::command, Path.of("target/soak"));
        assertNull(result.failure());
        // If the processes lacked CPU time, only the rules that do not depend on time are checked.
        List<SoakFinding> judged = result.findings().stream()
                .filter(one -> !result.isBusy()
                        || !one.rule().equals("END") && !one.rule().equals("LATE"))
                .toList();
        assertEquals(List.of(), judged);
        assertTrue(result.served() > 0);
    }

    /** DRAIN, LOST: a sign-off is forgotten when the leader changes; a response that ends its connection is cut. */
    @Test
    void whenUpstreamsSignOffFirstThenNoRuleIsBroken() throws Exception {
        SoakSchedule schedule =
                SoakSchedule.draw(SIGN_OFF_SEED, SIGN_OFF_SECONDS, PROCESSES).withSignOffs(SIGN_OFF_SECONDS);
        SoakRun.Result result = SoakRun.play(schedule, SoakTest::command, Path.of("target/soak"));
        assertNull(result.failure());
        assertEquals(
                List.of(),
                result.findings().stream()
                        .filter(one ->
                                !result.isBusy() || !List.of("END", "LATE").contains(one.rule()))
                        .toList());
        assertTrue(result.served() > 0);
    }

    /** Shows that the soak detects a fault; the other faults are run manually. */
    @Test
    void whenRequestsAreTakenUntilTheProcessEndsThenItIsFound() throws Exception {
        String classPath = System.getProperty("java.class.path");
        try (FaultyCommands commands = new FaultyCommands(SoakTest::command, classPath, FaultyCommands.FAULTS.get(0))) {
            SoakRun.Result result = SoakRun.play(SoakSchedule.draw(SEED, SECONDS, PROCESSES), commands, null);
            assertNull(result.failure());
            assertTrue(
                    result.findings().stream().anyMatch(one -> one.rule().equals("LATE")),
                    () -> "found: " + result.findings());
        }
    }

    @Test
    void whenTheSeedIsTheSameThenTheScheduleIs() {
        assertEquals(SoakSchedule.draw(SEED, SECONDS, PROCESSES), SoakSchedule.draw(SEED, SECONDS, PROCESSES));
        assertNotEquals(SoakSchedule.draw(SEED, SECONDS, PROCESSES), SoakSchedule.draw(SEED + 1, SECONDS, PROCESSES));
    }
}
