package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A directory of the file system, created if it doesn't exist. */
final class SystemDisk implements Disk {

    private final Path directory;

    SystemDisk(Path directory) throws IOException {
        this.directory = directory.toAbsolutePath().normalize();
        createDirectories(this.directory);
    }

    /** Creates a directory and its parents, and syncs each parent, which holds the new directory's name. */
    private static void createDirectories(Path directory) throws IOException {
        if (directory == null || Files.isDirectory(directory)) {
            return;
        }
        createDirectories(directory.getParent());
        Files.createDirectory(directory);
        try {
            sync(directory.getParent());
        } catch (IOException e) {
            // A later call that finds the directory assumes that its name is synced.
            Files.deleteIfExists(directory);
            throw e;
        }
    }

    @Override
    public String file(String name) {
        return directory.resolve(name).toString();
    }

    @Override
    public boolean has(String name) {
        return Files.exists(directory.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        sync(directory);
    }

    private static void sync(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
