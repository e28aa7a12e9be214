package sablehinge.gateway.recorder;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The directory of the dumps. Each dump is written atomically, and the oldest dumps are deleted above a maximum number.
 */
public final class DumpDirectory {

    /** The suffix of the file names of dumps. */
    public static final String SUFFIX = ".flight";

    private static final String PARTIAL_SUFFIX = ".part";

    private final Path directory;
    private final int maxDumps;

    /** Retains at most {@code maxDumps} dumps, at least 1, in a directory that is created if it does not exist. */
    public DumpDirectory(Path directory, int maxDumps) {
        this.directory = directory;
        this.maxDumps = Math.max(1, maxDumps);
    }

    /** Writes a dump and returns its path. If the write fails, no part of it remains, and older dumps are unchanged. */
    Path write(Dump dump) throws IOException {
        Files.createDirectories(directory);
        // The name begins with the time, so that the order of the names is the order of the dumps.
        String name = String.format(
                java.util.Locale.ROOT,
                "%015d-%s",
                dump.atMillis(),
                dump.reason().toLowerCase(java.util.Locale.ROOT));
        Path partial = directory.resolve(name + PARTIAL_SUFFIX);
        Path complete = directory.resolve(name + SUFFIX);
        try (FileChannel out = FileChannel.open(
                partial, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(dump.bytes());
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        } catch (IOException e) {
            Files.deleteIfExists(partial);
            throw e;
        }
        Files.move(partial, complete, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        prune();
        return complete;
    }

    private void prune() throws IOException {
        List<Path> dumps = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.endsWith(SUFFIX)) {
                    dumps.add(file);
                } else if (name.endsWith(PARTIAL_SUFFIX)) {
                    // Left by a process that died during the write; the file of this process is already renamed.
                    Files.deleteIfExists(file);
                }
            }
        }
        Collections.sort(dumps);
        for (Path oldest : dumps.subList(0, Math.max(0, dumps.size() - maxDumps))) {
            Files.deleteIfExists(oldest);
        }
    }
}
