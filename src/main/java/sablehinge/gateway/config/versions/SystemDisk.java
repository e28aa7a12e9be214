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

/** A directory of the system, which one process at a time may have. */
final class SystemDisk implements Disk, AutoCloseable {

    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    /** Takes a directory, made if need be, for its owner only. */
    SystemDisk(Path folder) throws IOException {
        this.folder = folder;
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(
                    folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        }
        lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // Held in this very process.
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(folder + " is in use by another process");
        }
    }

    @Override
    public List<String> names() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, Files::isRegularFile)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        names.remove(LOCK);
        return names;
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.write(folder.resolve(name), bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
