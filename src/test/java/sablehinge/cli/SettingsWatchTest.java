package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** When a settings file is taken for changed. */
class SettingsWatchTest {

    private String file = "seeds = [\"10.1.0.14:8367\"]";
    private int changes;
    private final SettingsWatch watch = new SettingsWatch(
            () -> {
                if (file == null) {
                    throw new IOException("no such file");
                }
                return file.getBytes(StandardCharsets.UTF_8);
            },
            () -> changes++);

    private int looks() {
        watch.poll();
        return changes;
    }

    @Test
    void eachContentIsTakenOnceWithoutAnySignal() {
        assertEquals(1, looks(), "it may have changed since it was read at the start");
        assertEquals(1, looks());
        file = "seeds = [\"10.2.";
        assertEquals(2, looks(), "half written");
        file = "seeds = [\"10.2.0.37:8367\"]";
        assertEquals(3, looks());
        assertEquals(3, looks());
    }

    @Test
    void aFileThatIsAwayForAMomentChangesNothing() {
        assertEquals(1, looks());
        file = null;
        assertEquals(1, looks());
        file = "seeds = [\"10.1.0.14:8367\"]";
        assertEquals(1, looks());
        file = "seeds = [\"10.3.0.16:8367\"]";
        assertEquals(2, looks());
    }
}
