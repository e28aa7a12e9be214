package sablehinge.controlplane.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;

/** Logs when the disk stops responding and when it responds again: a disk that hangs raises no error by itself. */
final class DiskHangDetector {

    /** A disk that has been busy with one batch for longer counts as hanging; also the interval between checks. */
    static final long HANG_MS = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(DiskHangDetector.class);

    private final Clock clock;
    private final DiskWriter diskWriter;
    private boolean hangs;

    DiskHangDetector(Clock clock, DiskWriter diskWriter) {
        this.clock = clock;
        this.diskWriter = diskWriter;
    }

    /** Called every {@link #HANG_MS}. */
    void check() {
        double busyMs = clock.now() - diskWriter.busySince();
        if (busyMs > HANG_MS && !hangs) {
            hangs = true;
            Log.warn(LOG, "disk-hangs").addKeyValue("ms", Math.round(busyMs)).log("the disk doesn't respond");
        } else if (busyMs <= HANG_MS && hangs) {
            hangs = false;
            Log.info(LOG, "disk-answers").log("the disk responds again");
        }
    }
}
