package sablehinge.torture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the watch inside the process sees in plays of the rig; {@code bench/run recorder} plays more. */
class StallTest {

    private static final int THREADS = 8;

    @Test
    void aSoundProcessGivesNoAlarm() throws Exception {
        List<String> found = Rig.watched(0, 800, THREADS, null, 5);
        assertEquals(1, found.size(), found.toString());
    }

    /** Two of the kinds here; the bench has all. */
    @Test
    void stallsAreSeen() throws Exception {
        for (Mutant stall : List.of(Mutant.STALLS.get(0), Mutant.STALLS.get(3))) {
            List<?> found = (List<?>) MutantLoader.of(stall, Path.of("src/main/java"))
                    .loadClass(Rig.class.getName())
                    .getMethod("watched", long.class, long.class, int.class, String.class, int.class)
                    .invoke(null, 0L, 400L, THREADS, stall.name().split(" ")[0], 1);
            assertTrue(found.size() > 1, stall.name());
        }
    }
}
