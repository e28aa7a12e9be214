package sablehinge.controlplane.node;

import java.io.EOFException;
import java.io.IOException;
import java.util.Map;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/** Classifies errors at the opening of a {@link RaftStore}, and verifies the content of an opened one. */
final class RaftStoreRecovery {

    private RaftStoreRecovery() {}

    /** Classifies an error at the opening: returns corruption, throws every other error. */
    static CorruptStoreException classify(String file, boolean isRecovering, Exception e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            if (cause instanceof CorruptStoreException corrupt) {
                return corrupt;
            }
        }
        int code = e instanceof MVStoreException error ? error.getErrorCode() : 0;
        if (code == DataUtils.ERROR_FILE_LOCKED) {
            throw new StoreException(StoreException.Code.LOCKED, file + " is locked by another process", e);
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

    /** Checks that MVStore has not fallen back to an older commit, and that every live chunk is intact. */
    static void check(MVStore store, VerifyingFileChannel channel) throws IOException {
        if (channel.version() < 0) {
            return;
        }
        if (store.getCurrentVersion() != channel.version()) {
            throw new CorruptStoreException("commit " + channel.version() + " is unreadable; MVStore opened commit "
                    + store.getCurrentVersion());
        }
        for (Map.Entry<String, String> chunk : store.getLayoutMap().entrySet()) {
            String fields = chunk.getValue();
            if (chunk.getKey().startsWith("chunk.")
                    && ChunkFooter.field(fields, "livePages") != 0
                    && !channel.isIntact(
                            ChunkFooter.field(fields, "block"), (int) ChunkFooter.field(fields, "len"), (int)
                                    ChunkFooter.field(fields, "chunk"))) {
                throw new CorruptStoreException(chunk.getKey() + " fails its checksum");
            }
        }
    }
}
