package sablehinge.gateway.config.versions;

import java.io.IOException;
import java.util.List;

/** File operations in one directory; the process can crash between any two of them. Names are plain file names. */
interface Disk {

    /** Returns the names of all files. */
    List<String> names() throws IOException;

    byte[] read(String name) throws IOException;

    /** Writes a complete file and replaces an existing one. The content is durable only after {@link #sync}. */
    void write(String name, byte[] bytes) throws IOException;

    void sync(String name) throws IOException;

    /** Renames a file atomically and replaces an existing one. Durable only after {@link #syncDirectory}. */
    void rename(String from, String to) throws IOException;

    void syncDirectory() throws IOException;

    void delete(String name) throws IOException;
}
