package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Version;

/** Tests rotation of the access log and its behaviour on a failing disk. */
class AccessLogTest {

    private static final Version VERSION = new Version(1, null, List.of("tile"), List.of(), false);

    private static void logResponses(AccessLog log, int count) {
        for (int i = 0; i < count; i++) {
            log.logResponse(0, "r" + i, VERSION, 0, Answer.Kind.SERVED, 1, 2);
        }
    }

    @Test
    void rotatesAtMaximumSizeAndRetainsOneFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("access.log");
        AccessLog log = new AccessLog(file, 5_000);
        logResponses(log, 200);
        log.close();
        assertTrue(Files.size(file) <= 5_000 && Files.size(file) > 0, Files.size(file) + " bytes");
        assertTrue(Files.size(folder.resolve("access.log.1")) <= 5_000);
        List<String> lines = Files.readAllLines(file);
        assertTrue(lines.get(lines.size() - 1).contains("\"r199\""));
        try (var files = Files.list(folder)) {
            assertEquals(2, files.count());
        }
    }

    /** While rotation fails, lines are dropped and counted; logging continues once rotation succeeds again. */
    @Test
    void dropsAndCountsLinesWhileDiskFails(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("access.log");
        Path rotated = folder.resolve("access.log.1");
        // A directory that is not empty can't be replaced by a file.
        Files.createDirectories(rotated.resolve("in the way"));
        AccessLog log = new AccessLog(file, 1_000);
        logResponses(log, 100);
        // Wait until each line is written or dropped: the file must not be removed during a successful write.
        while (log.dropped() + Files.readAllLines(file).size() < 100) {
            Thread.onSpinWait();
        }
        assertEquals(100, log.dropped() + Files.readAllLines(file).size(), "each line is written or dropped");
        Files.delete(rotated.resolve("in the way"));
        Files.delete(rotated);
        // Simulates a rotation that failed half way as well.
        Files.delete(file);
        logResponses(log, 3);
        log.close();
        List<String> lines = Files.readAllLines(file);
        assertTrue(lines.get(lines.size() - 1).contains("\"r2\""), lines::toString);
    }
}
