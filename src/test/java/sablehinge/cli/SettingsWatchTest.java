package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests when {@link SettingsWatch} reports a change of the settings file. */
class SettingsWatchTest {

    private String content = "seeds = [\"10.1.0.14:8367\"]";
    private int changes;
    private final SettingsWatch watch = new SettingsWatch(
            () -> {
                if (content == null) {
                    throw new IOException("no such file");
                }
                return content.getBytes(StandardCharsets.UTF_8);
            },
            () -> changes++);

    private int changesAfterPoll() {
        watch.poll();
        return changes;
    }

    @Test
    void reportsEachContentOnceWithoutSignal() {
        assertEquals(1, changesAfterPoll(), "the first poll reports a change");
        assertEquals(1, changesAfterPoll());
        content = "seeds = [\"10.2.";
        assertEquals(2, changesAfterPoll(), "half written");
        content = "seeds = [\"10.2.0.37:8367\"]";
        assertEquals(3, changesAfterPoll());
        assertEquals(3, changesAfterPoll());
    }

    @Test
    void reportsNoChangeWhileFileIsMissing() {
        assertEquals(1, changesAfterPoll());
        content = null;
        assertEquals(1, changesAfterPoll());
        content = "seeds = [\"10.1.0.14:8367\"]";
        assertEquals(1, changesAfterPoll());
        content = "seeds = [\"10.3.0.16:8367\"]";
        assertEquals(2, changesAfterPoll());
    }
}
