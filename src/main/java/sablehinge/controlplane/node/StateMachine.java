package sablehinge.controlplane.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.controlplane.raft.Entry;
import sablehinge.controlplane.raft.Snapshot;
import sablehinge.controlplane.state.ConfigurationState;

/**
 * Applies committed entries to the state of a control node, and triggers a snapshot after a number of entries. An entry
 * that can't be applied ends the process: skipping it would make the state differ from all other replicas.
 */
final class StateMachine {

    private static final Logger LOG = LoggerFactory.getLogger(StateMachine.class);
    /** The log is compacted to a snapshot after this number of entries. */
    private static final int MAX_LOG_ENTRIES = 48;
    /** The log is also compacted after this size of entries, which bounds the file and the data read at a start. */
    private static final long MAX_LOG_BYTES = 4 << 20;

    /** Compacts the log. */
    interface Compaction {

        /** Replaces the log up to and including an index by the state after that entry. */
        void compact(long index, byte[] state);
    }

    private final ChangeCoordinator changes;
    private final FailStopExecutor executor;
    private final Runnable onConfigurationChanged;
    private final Compaction compaction;
    private int entriesSinceSnapshot;
    private long bytesSinceSnapshot;

    /**
     * A state machine that applies commands through a coordinator.
     *
     * @param onConfigurationChanged called after a new configuration has taken effect
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
            executor.runFailStop("entry", () -> applyCommand(entry));
        }
        if (entriesSinceSnapshot >= MAX_LOG_ENTRIES || bytesSinceSnapshot >= MAX_LOG_BYTES) {
            entriesSinceSnapshot = 0;
            bytesSinceSnapshot = 0;
            compaction.compact(entry.index(), configurations().state());
        }
    }

    private void applyCommand(Entry entry) {
        if (changes.apply(entry) == ConfigurationState.Outcome.TAKEN) {
            executor.runTolerant("configuration", onConfigurationChanged);
            Log.info(LOG, "configuration")
                    .addKeyValue("edition", configurations().edition())
                    .addKeyValue("index", entry.index())
                    .log("a new configuration has taken effect");
        }
    }

    /** Replaces the state by that of a snapshot. */
    void restore(Snapshot snapshot) {
        executor.runFailStop("snapshot", () -> configurations().restore(snapshot.state()));
        executor.runTolerant("configuration", onConfigurationChanged);
    }

    private ConfigurationState configurations() {
        return changes.configurations();
    }
}
