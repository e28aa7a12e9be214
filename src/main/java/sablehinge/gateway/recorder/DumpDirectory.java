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
 * The directory where dumps are kept: each is there complete or not at all, and the oldest go so that there are never
 * more than so many.
 */
public final class DumpFolder {

    /** How the names of dumps end. */
    public static final String SUFFIX = ".flight";

    private static final String PART = ".part";

    private final Path folder;
    private final int most;

    /** Keeps at most so many dumps, at least 1, in a directory that is made if it isn't there. */
    public DumpFolder(Path folder, int most) {
        this.folder = folder;
        this.most = Math.max(1, most);
    }

    /** Writes a dump; where it is. If that fails, nothing of it is left and what was there still is. */
    Path write(Dump dump) throws IOException {
        Files.createDirectories(folder);
        // By time, so that the names' order is that of the dumps.
        String name = String.format(
                java.util.Locale.ROOT,
                "%015d-%s",
                dump.atMillis(),
                dump.reason().toLowerCase(java.util.Locale.ROOT));
        Path part = folder.resolve(name + PART);
        Path complete = folder.resolve(name + SUFFIX);
        try (FileChannel out = FileChannel.open(
                part, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(dump.bytes());
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        } catch (IOException e) {
            Files.deleteIfExists(part);
            throw e;
        }
        Files.move(part, complete, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        prune();
        return complete;
    }

    private void prune() throws IOException {
        List<Path> dumps = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (name.endsWith(SUFFIX)) {
                    dumps.add(file);
                } else if (name.endsWith(PART)) {
                    // Of a process that died in the middle; the own one is complete by now.
                    Files.deleteIfExists(file);
                }
            }
        }
        Collections.sort(dumps);
        for (Path old : dumps.subList(0, Math.max(0, dumps.size() - most))) {
            Files.deleteIfExists(old);
        }
    }
}
