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
 * What two processes of one balancer tell each other while one takes over from the other: who is there and which
 * upstreams are out. A process is a file that it holds locked, so that its death shows whatever kills it; an upstream
 * is a file that is there or not, so that nothing is ever read half.
 */
final class SharedFiles implements AutoCloseable {

    private static final byte[] READY = {'r'};

    private final Path processes;
    private final Path upstreams;
    private final Path own;
    private final FileChannel channel;

    /** Joins those that share a folder. */
    SharedFiles(Path folder) throws IOException {
        processes = Files.createDirectories(folder.resolve("processes"));
        upstreams = Files.createDirectories(folder.resolve("out"));
        own = processes.resolve(UUID.randomUUID().toString());
        channel = FileChannel.open(own, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        if (channel.tryLock() == null) {
            throw new IOException(own + " is locked");
        }
    }

    /** Tells the others that this process serves. */
    void ready() throws IOException {
        channel.write(ByteBuffer.wrap(READY), 0);
    }

    /** Whether another process is alive there; with {@code serving}, whether one serves. */
    boolean another(boolean serving) throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(processes)) {
            for (Path file : files) {
                if (!file.equals(own) && running(file)) {
                    found |= !serving || Files.size(file) > 0;
                }
            }
        }
        return found;
    }

    /** Removes what a dead process left behind. */
    private static boolean running(Path file) throws IOException {
        try (FileChannel other = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = other.tryLock()) {
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

    /** The ids of the upstreams that are out. */
    Set<String> out() throws IOException {
        Set<String> ids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(upstreams)) {
            for (Path file : files) {
                ids.add(new String(
                        Base64.getUrlDecoder().decode(file.getFileName().toString()), StandardCharsets.UTF_8));
            }
        }
        return ids;
    }

    /** Notes that an upstream is out, or no more. */
    void out(String id, boolean out) {
        // An id never becomes part of a path as it is.
        Path file = upstreams.resolve(
                Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8)));
        try {
            if (!out) {
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
        Files.deleteIfExists(own);
        channel.close();
    }
}
