package sablehinge.gateway.node;

import java.io.IOException;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.versions.VersionStore;

/** The configuration version that a process serves first. */
record FirstVersion(int number, OperatorConfig config) {

    private static final Logger LOG = LoggerFactory.getLogger(FirstVersion.class);

    /**
     * Chooses the last confirmed version, or the operator file if no version was confirmed.
     *
     * @param bytes the content of the operator file
     * @param fileConfig the configuration in the operator file
     * @param adopt whether to serve the operator file even if a version was confirmed
     */
    static FirstVersion choose(VersionStore store, byte[] bytes, OperatorConfig fileConfig, boolean adopt)
            throws IOException {
        rollBackInterruptedTrial(store);
        if (store.confirmed() == 0 || adopt) {
            return new FirstVersion(store.stage(bytes), fileConfig);
        }
        byte[] confirmed = store.content(store.confirmed());
        if (!Arrays.equals(confirmed, bytes)) {
            Log.warn(LOG, "file-differs")
                    .addKeyValue("current", store.confirmed())
                    .log(
                            "configuration: the operator file is not version {}, which serves;"
                                    + " `config apply` or SIGHUP would try it, --adopt at the start takes it"
                                    + " as it is",
                            store.confirmed());
        }
        OperatorFile.Checked checked = OperatorFile.parse(confirmed);
        if (checked.config() == null) {
            throw new IOException("version " + store.confirmed() + " can't be served by this program: "
                    + checked.problems().get(0).in("its file") + "; --adopt takes the operator file instead");
        }
        return new FirstVersion(store.confirmed(), checked.config());
    }

    /** Rolls back a version that was on trial when the previous process ended. */
    private static void rollBackInterruptedTrial(VersionStore store) throws IOException {
        if (store.interruptedTrial() == 0) {
            return;
        }
        Log.warn(LOG, "version-cut-off")
                .addKeyValue("version", store.interruptedTrial())
                .addKeyValue("current", store.confirmed())
                .log(
                        "configuration: version {} was on trial when the process ended"
                                + " and is undone; version {} serves",
                        store.interruptedTrial(),
                        store.confirmed());
        store.markOnTrial(0);
    }
}
