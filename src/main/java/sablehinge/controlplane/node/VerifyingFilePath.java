package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * H2's way to put one's own channel between MVStore and a file: names that begin with {@code sealed:}. It is public
 * only because H2 makes it by reflection.
 */
public final class VerifyingFilePath extends FilePathWrapper {

    static final String SCHEME = "sealed";
    private static final Map<String, VerifyingFileChannel> OPEN = new ConcurrentHashMap<>();

    static {
        FilePath.register(new VerifyingFilePath());
    }

    /** For H2. */
    public VerifyingFilePath() {}

    /** The name for H2 of a file by its plain name. */
    static String name(String file) {
        return SCHEME + ":" + file;
    }

    /** The channel that was opened for a name, once; null if there's none. */
    static VerifyingFileChannel taken(String name) {
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
