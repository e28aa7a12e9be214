package sablehinge.gateway.config.versions;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;

/** A directory of the file system, locked by one process at a time. */
final class SystemDisk implements Disk, AutoCloseable {

    private static final String LOCK_FILE_NAME = "lock";

    private final Path path;
    private final FileChannel lockFile;

    /** Locks a directory; creates it with access for its owner only if it does not exist. */
    SystemDisk(Path path) throws IOException {
        this.path = path;
        if (!Files.isDirectory(path)) {
            Files.createDirectories(
                    path, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
        lockFile = FileChannel.open(path.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process already holds the lock.
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(path + " is in use by another process");
        }
    }

    @Override
    public List<String> names() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(path, Files::isRegularFile)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        names.remove(LOCK_FILE_NAME);
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(path.resolve(name));
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(path.resolve(name), bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                path.resolve(from),
                path.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(path, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
