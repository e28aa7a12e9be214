package sablehinge.controlplane.node;

import java.io.EOFException;
import java.io.IOException;
import java.util.Map;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/** Decides what a {@link RaftStore} that was opened, or could not be, has on disk. */
final class RaftStoreRecovery {

    private RaftStoreRecovery() {}

    /** What an error at the opening means: corruption is returned, all else thrown. */
    static CorruptStoreException classify(String file, boolean isRecovering, Exception e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof CorruptStoreException corrupt) {
                return corrupt;
            }
        }
        int code = e instanceof MVStoreException error ? error.getErrorCode() : 0;
        if (code == DataUtils.ERROR_FILE_LOCKED) {
            throw new StoreException(StoreException.Code.LOCKED, file + " is open in another process", e);
        }
        if (isRecovering || code == DataUtils.ERROR_WRITING_FAILED) {
            throw new StoreException(StoreException.Code.REFUSED, e.getMessage(), e);
        }
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof IOException && !(cause instanceof EOFException)) {
                throw new StoreException(StoreException.Code.UNREADABLE, file + ": " + cause, e);
            }
        }
        return new CorruptStoreException(e.toString());
    }

    /** MVStore may fall back to an older commit by itself; and of what is live, all must be as written. */
    static void check(MVStore store, VerifyingFileChannel channel) throws IOException {
        if (channel.version() < 0) {
            return;
        }
        if (store.getCurrentVersion() != channel.version()) {
            throw new CorruptStoreException(
                    "commit " + channel.version() + " can't be read, only " + store.getCurrentVersion());
        }
        for (Map.Entry<String, String> chunk : store.getLayoutMap().entrySet()) {
            String fields = chunk.getValue();
            if (chunk.getKey().startsWith("chunk.")
                    && ChunkFooter.field(fields, "livePages") != 0
                    && !channel.isIntact(
                            ChunkFooter.field(fields, "block"), (int) ChunkFooter.field(fields, "len"), (int)
                                    ChunkFooter.field(fields, "chunk"))) {
                throw new CorruptStoreException(chunk.getKey() + " is not as it was written");
            }
        }
    }
}
