package sablehinge.gateway.node;

import java.io.IOException;
import java.util.Arrays;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.gateway.config.operator.OperatorConfig;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.versions.VersionStore;

/** The version that a process serves first. */
record FirstVersion(int number, OperatorConfig config) {

    private static final Logger LOG = LoggerFactory.getLogger(FirstVersion.class);

    /**
     * Chooses it: the one that was confirmed last, or the operator file where there is none.
     *
     * @param bytes of the operator file
     * @param given what the file says
     * @param adopt whether the file is to be served in any case
     */
    static FirstVersion choose(VersionStore store, byte[] bytes, OperatorConfig given, boolean adopt)
            throws IOException {
        undoTrial(store);
        if (store.confirmed() == 0 || adopt) {
            return new FirstVersion(store.stage(bytes), given);
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

    /** A version on whose trial the process before ended is undone. */
    private static void undoTrial(VersionStore store) throws IOException {
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
