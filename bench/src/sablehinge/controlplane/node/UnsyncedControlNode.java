package sablehinge.controlplane.node;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import sablehinge.common.logging.LogTerms;
import sablehinge.common.logging.Logging;
import sablehinge.common.settings.LocalSettings;

/** A machine of the core as its daemon runs it, but on a disk that keeps nothing but what was synced. */
final class UnsyncedControlNode {

    private UnsyncedControlNode() {}

    /** Runs by the settings file that the environment names, until it is killed. */
    public static void main(String[] args) throws Exception {
        LocalSettings settings = LocalSettings.read(Path.of(System.getenv("SABLEHINGE_CONFIG")));
        Logging.apply(LogTerms.MESH);
        UnsyncedDisk disk = new UnsyncedDisk(Path.of(settings.dataDir()));
        ControlNode.start(settings, System.nanoTime(), () -> RaftStore.open(disk));
        new CountDownLatch(1).await();
    }
}
