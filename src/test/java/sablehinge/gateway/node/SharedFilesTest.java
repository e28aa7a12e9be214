package sablehinge.gateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the state shared by two processes of one balancer. */
class SharedFilesTest {

    @TempDir
    private Path folder;

    @Test
    void processIsAliveUntilItClosesOrDies() throws Exception {
        Path directory = folder.resolve("s");
        try (SharedFiles first = new SharedFiles(directory)) {
            assertFalse(first.hasOtherProcess(false));
            SharedFiles second = new SharedFiles(directory);
            assertTrue(first.hasOtherProcess(false));
            assertFalse(first.hasOtherProcess(true), "the second process does not serve yet");
            second.markServing();
            assertTrue(first.hasOtherProcess(true));
            second.close();
            assertFalse(first.hasOtherProcess(false));
            // A killed process leaves its file without a lock.
            Path stale = Files.writeString(directory.resolve("processes").resolve("dead"), "r");
            assertFalse(first.hasOtherProcess(true));
            assertFalse(Files.exists(stale));
        }
    }

    @Test
    void suspensionIsVisibleToOtherProcess() throws Exception {
        try (SharedFiles first = new SharedFiles(folder);
                SharedFiles second = new SharedFiles(folder)) {
            first.setSuspended("../a b/é", true);
            first.setSuspended("s-1", true);
            first.setSuspended("s-1", true);
            assertEquals(Set.of("../a b/é", "s-1"), second.suspendedIds());
            second.setSuspended("s-1", false);
            second.setSuspended("s-1", false);
            assertEquals(Set.of("../a b/é"), first.suspendedIds());
            // Without the directory a suspension can't be confirmed.
            Files.walk(folder.resolve("out")).sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile()
                    .delete());
            assertThrows(UncheckedIOException.class, () -> first.setSuspended("s-2", true));
        }
    }
}
