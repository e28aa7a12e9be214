package sablehinge.gateway.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import java.util.UUID;

/**
 * State that two processes of one balancer share while one takes over from the other: the live processes and the
 * suspended upstreams. Each process holds a lock on a file of its own, so that its end is visible however it ends; each
 * suspended upstream is represented by the existence of a file, so that no content can be read partially.
 */
final class SharedFiles implements AutoCloseable {

    private static final byte[] SERVING = {'r'};

    private final Path processes;
    private final Path upstreams;
    private final Path ownFile;
    private final FileChannel channel;

    /** Registers this process in a directory. */
    SharedFiles(Path directory) throws IOException {
        processes = Files.createDirectories(directory.resolve("processes"));
        upstreams = Files.createDirectories(directory.resolve("out"));
        ownFile = processes.resolve(UUID.randomUUID().toString());
        channel = FileChannel.open(ownFile, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        if (channel.tryLock() == null) {
            throw new IOException(ownFile + " is locked");
        }
    }

    /** Marks this process as serving. */
    void markServing() throws IOException {
        channel.write(ByteBuffer.wrap(SERVING), 0);
    }

    /** Whether another process is alive; with {@code serving}, whether another process is serving. */
    boolean hasOtherProcess(boolean serving) throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(processes)) {
            for (Path file : files) {
                if (!file.equals(ownFile) && isAlive(file)) {
                    found |= !serving || Files.size(file) > 0;
                }
            }
        }
        return found;
    }

    /** Whether the process of a file is alive; removes the file of a dead process. */
    private static boolean isAlive(Path file) throws IOException {
        try (FileChannel lockedFile = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = lockedFile.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    /** The ids of the suspended upstreams. */
    Set<String> suspendedIds() throws IOException {
        Set<String> ids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(upstreams)) {
            for (Path file : files) {
                ids.add(new String(
                        Base64.getUrlDecoder().decode(file.getFileName().toString()), StandardCharsets.UTF_8));
            }
        }
        return ids;
    }

    /** Records whether an upstream is suspended. */
    void setSuspended(String id, boolean suspended) {
        // The id is encoded, as it may contain path separators.
        Path file = upstreams.resolve(
                Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
        try {
            if (!suspended) {
                Files.deleteIfExists(file);
            } else if (!Files.exists(file)) {
                Files.createFile(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot be noted: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(ownFile);
        channel.close();
    }
}
