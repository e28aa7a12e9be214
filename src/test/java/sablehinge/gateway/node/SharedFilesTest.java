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

/** What two processes of one balancer tell each other. */
class SharedFilesTest {

    @TempDir
    private Path folder;

    @Test
    void aProcessIsThereUntilItLeavesOrDies() throws Exception {
        Path place = folder.resolve("s");
        try (SharedFiles first = new SharedFiles(place)) {
            assertFalse(first.another(false));
            SharedFiles second = new SharedFiles(place);
            assertTrue(first.another(false));
            assertFalse(first.another(true), "it doesn't serve yet");
            second.ready();
            assertTrue(first.another(true));
            second.close();
            assertFalse(first.another(false));
            // One that was killed leaves its file, which nobody holds.
            Path left = Files.writeString(place.resolve("processes").resolve("dead"), "r");
            assertFalse(first.another(true));
            assertFalse(Files.exists(left));
        }
    }

    @Test
    void whoIsOutIsSeenByTheOther() throws Exception {
        try (SharedFiles first = new SharedFiles(folder);
                SharedFiles second = new SharedFiles(folder)) {
            first.out("../a b/é", true);
            first.out("s-1", true);
            first.out("s-1", true);
            assertEquals(Set.of("../a b/é", "s-1"), second.out());
            second.out("s-1", false);
            second.out("s-1", false);
            assertEquals(Set.of("../a b/é"), first.out());
            // No folder, no yes.
            Files.walk(folder.resolve("out")).sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile()
                    .delete());
            assertThrows(UncheckedIOException.class, () -> first.out("s-2", true));
        }
    }
}
