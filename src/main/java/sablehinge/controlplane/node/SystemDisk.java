package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A folder of the system's file system, made if need be. */
final class SystemDisk implements Disk {

    private final Path folder;

    SystemDisk(Path folder) throws IOException {
        this.folder = folder.toAbsolutePath().normalize();
        make(this.folder);
    }

    /** The name of a folder that is made stands in the one above it, which is synced. */
    private static void make(Path folder) throws IOException {
        if (folder == null || Files.isDirectory(folder)) {
            return;
        }
        make(folder.getParent());
        Files.createDirectory(folder);
        try {
            sync(folder.getParent());
        } catch (IOException e) {
            // Who finds it there takes it for synced.
            Files.deleteIfExists(folder);
            throw e;
        }
    }

    @Override
    public String file(String name) {
        return folder.resolve(name).toString();
    }

    @Override
    public boolean has(String name) {
        return Files.exists(folder.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        sync(folder);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
