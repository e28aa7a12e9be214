package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.state.ConfigurationState;

/** The application of committed entries, and the triggers of snapshots. */
class StateMachineTest {

    private static final int MAX_LOG_ENTRIES = 48;
    private static final int MAX_LOG_BYTES = 4 << 20;

    private final List<String> events = new ArrayList<>();
    private final ConfigurationState configurations = new ConfigurationState();
    private final StateMachine machine = new StateMachine(
            new ChangeCoordinator(null, configurations, Runnable::run),
            new FailStopExecutor(() -> events.add("halt")),
            () -> events.add("configuration " + configurations.edition()),
            (index, state) -> events.add("snapshot at " + index));

    @Test
    void appliesCommittedConfigurationAndNotifies() {
        machine.apply(command(1, 0, 5));

        assertEquals(5, configurations.edition());
        assertEquals(List.of("configuration 5"), events);
    }

    @Test
    void ignoresConfigurationOnStaleBase() {
        machine.apply(command(1, 0, 5));
        events.clear();

        machine.apply(command(2, 0, 6));

        assertEquals(5, configurations.edition());
        assertEquals(List.of(), events);
    }

    @Test
    void haltsOnEntryThatCannotBeApplied() {
        machine.apply(new Entry(1, 1, Entry.Kind.COMMAND, new byte[] {99}));

        assertEquals(List.of("halt"), events);
    }

    @Test
    void compactsAfterMaximumNumberOfEntries() {
        for (int index = 1; index <= 2 * MAX_LOG_ENTRIES; index++) {
            machine.apply(new Entry(index, 1, Entry.Kind.NOOP, new byte[0]));
        }

        assertEquals(List.of("snapshot at 48", "snapshot at 96"), events);
    }

    @Test
    void compactsAfterMaximumSizeOfEntries() {
        machine.apply(new Entry(1, 1, Entry.Kind.MEMBERS, new byte[MAX_LOG_BYTES - 1]));
        machine.apply(new Entry(2, 1, Entry.Kind.MEMBERS, new byte[1]));

        assertEquals(List.of("snapshot at 2"), events);
    }

    private static Entry command(long index, long basedOn, long edition) {
        byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
        return new Entry(index, 1, Entry.Kind.COMMAND, ConfigurationState.replace(basedOn, edition, body, 0));
    }
}
