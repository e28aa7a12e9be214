package sablehinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.bench.ReplayRehearsal.Result;
import sablehinge.tools.replay.SampleDay;

/** The replay's measurement at a size that CI can play; see docs/design/replay.md for all of it. */
class ReplayRehearsalTest {

    @TempDir
    private Path folder;

    @Test
    void aDayArrivesAsItWasAskedFor() throws Exception {
        SampleDay day = ReplayRehearsal.write(folder, SampleDay.Terms.usual(90, 60, 3));
        ReplayRehearsal.play(folder, 3, 12, 2, 1);
        Result result = ReplayRehearsal.judge(folder, day);
        assertEquals(0, result.audit().breaches(), () -> result.audit().json().toString());
        assertEquals(0, result.audit().unexplained());
        // So small a day has few of each key: one that is folded wrongly shows.
        assertTrue(result.classError() <= 0.01, "classes: " + result.classError());
        assertTrue(result.foldedTrue() >= 0.98 * day.retried(), result.foldedTrue() + " of " + day.retried());
        assertTrue(result.foldedFalse() <= 0.01 * day.retried(), result.foldedFalse() + " wrongly");
    }

    @Test
    void theSameSeedMakesTheSameDay() throws Exception {
        SampleDay one = ReplayRehearsal.write(folder, SampleDay.Terms.usual(60, 50, 8));
        byte[] first = java.nio.file.Files.readAllBytes(folder.resolve("day.log"));
        SampleDay two = ReplayRehearsal.write(folder, SampleDay.Terms.usual(60, 50, 8));
        org.junit.jupiter.api.Assertions.assertArrayEquals(
                first, java.nio.file.Files.readAllBytes(folder.resolve("day.log")));
        assertEquals(one.keys(), two.keys());
        assertEquals(0.08, one.retried() / (double) one.tries(), 0.02);
    }
}
