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

/** The access log at its bounds, and with a disk that fails. */
class AccessLogTest {

    private static final Version VERSION = new Version(1, null, List.of("tile"), List.of(), false);

    private static void note(AccessLog log, int count) {
        for (int i = 0; i < count; i++) {
            log.note(0, "r" + i, VERSION, 0, Answer.Kind.SERVED, 1, 2);
        }
    }

    @Test
    void atItsLengthItIsBegunAnewAndOneOldOneIsKept(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("access.log");
        AccessLog log = new AccessLog(file, 5_000);
        note(log, 200);
        log.close();
        assertTrue(Files.size(file) <= 5_000 && Files.size(file) > 0, Files.size(file) + " bytes");
        assertTrue(Files.size(folder.resolve("access.log.1")) <= 5_000);
        List<String> lines = Files.readAllLines(file);
        assertTrue(lines.get(lines.size() - 1).contains("\"r199\""));
        try (var files = Files.list(folder)) {
            assertEquals(2, files.count());
        }
    }

    /** What can't be begun anew for a while costs lines, is counted, and goes on when it can. */
    @Test
    void aDiskThatFailsForAWhileCostsLinesOnly(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("access.log");
        Path old = folder.resolve("access.log.1");
        // A directory with something in it can't be replaced by a file.
        Files.createDirectories(old.resolve("in the way"));
        AccessLog log = new AccessLog(file, 1_000);
        note(log, 100);
        // Until each is written or dropped: a file must not be taken away in the middle of one that succeeds.
        while (log.dropped() + Files.readAllLines(file).size() < 100) {
            Thread.onSpinWait();
        }
        assertEquals(100, log.dropped() + Files.readAllLines(file).size(), "each line is written or dropped");
        Files.delete(old.resolve("in the way"));
        Files.delete(old);
        // As if a beginning anew had failed half way, too.
        Files.delete(file);
        note(log, 3);
        log.close();
        List<String> lines = Files.readAllLines(file);
        assertTrue(lines.get(lines.size() - 1).contains("\"r2\""), lines::toString);
    }
}
