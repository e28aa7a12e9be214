package sablehinge.controlplane.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.state.ConfigurationState;

/**
 * Applies committed entries to the state of a control node, and asks for a snapshot once enough of them have come. An
 * entry that can't be applied ends the process: to pass over it would leave a state that is no other replica's.
 */
final class StateMachine {

    private static final Logger LOG = LoggerFactory.getLogger(StateMachine.class);
    /** The log is cut to a snapshot after so many entries. */
    private static final int MAX_LOG_ENTRIES = 48;
    /** Or after so many bytes of entries, which bounds the file and what a start reads. */
    private static final long MAX_LOG_BYTES = 4 << 20;

    /** Cuts the log to a snapshot. */
    interface Compaction {

        /** Replaces the log up to and with the entry of the given index by the state after it. */
        void compact(long index, byte[] state);
    }

    private final ChangeCoordinator changes;
    private final FailStopExecutor executor;
    private final Runnable onConfigurationChanged;
    private final Compaction compaction;
    private int entriesSinceSnapshot;
    private long bytesSinceSnapshot;

    /**
     * A state machine over the state of a coordinator.
     *
     * @param onConfigurationChanged called after another configuration has come into force
     */
    StateMachine(
            ChangeCoordinator changes,
            FailStopExecutor executor,
            Runnable onConfigurationChanged,
            Compaction compaction) {
        this.changes = changes;
        this.executor = executor;
        this.onConfigurationChanged = onConfigurationChanged;
        this.compaction = compaction;
    }

    /** Applies the next committed entry. */
    void apply(Entry entry) {
        entriesSinceSnapshot++;
        bytesSinceSnapshot += entry.data().length;
        if (entry.kind() == Entry.Kind.COMMAND) {
            executor.failStop("entry", () -> applyCommand(entry));
        }
        if (entriesSinceSnapshot >= MAX_LOG_ENTRIES || bytesSinceSnapshot >= MAX_LOG_BYTES) {
            entriesSinceSnapshot = 0;
            bytesSinceSnapshot = 0;
            compaction.compact(entry.index(), configurations().state());
        }
    }

    private void applyCommand(Entry entry) {
        if (changes.applied(entry) == ConfigurationState.Outcome.TAKEN) {
            executor.runTolerant("configuration", onConfigurationChanged);
            Log.info(LOG, "configuration")
                    .addKeyValue("edition", configurations().edition())
                    .addKeyValue("index", entry.index())
                    .log("a configuration is in force");
        }
    }

    /** Takes over the state of a snapshot in place of its own. */
    void restore(Snapshot snapshot) {
        executor.failStop("snapshot", () -> configurations().restore(snapshot.state()));
        executor.runTolerant("configuration", onConfigurationChanged);
    }

    private ConfigurationState configurations() {
        return changes.configurations();
    }
}
