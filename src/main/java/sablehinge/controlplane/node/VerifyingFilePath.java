package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * Puts a {@link VerifyingFileChannel} between MVStore and each file whose name begins with {@code sealed:}. The class
 * is public because H2 creates instances by reflection.
 */
public final class VerifyingFilePath extends FilePathWrapper {

    static final String SCHEME = "sealed";
    private static final Map<String, VerifyingFileChannel> OPEN = new ConcurrentHashMap<>();

    static {
        FilePath.register(new VerifyingFilePath());
    }

    /** Called by H2. */
    public VerifyingFilePath() {}

    /** The name by which H2 opens a file through this class. */
    static String h2Name(String file) {
        return SCHEME + ":" + file;
    }

    /** Returns the channel that was opened for a name and forgets it; null if there is none. */
    static VerifyingFileChannel removeChannel(String name) {
        return OPEN.remove(name);
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        VerifyingFileChannel channel = new VerifyingFileChannel(getBase().open(mode));
        OPEN.put(name, channel);
        return channel;
    }
}
