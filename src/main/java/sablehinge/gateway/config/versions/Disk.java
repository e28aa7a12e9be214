package sablehinge.gateway.config.versions;

import java.io.IOException;
import java.util.List;

/** A directory's files, by the calls that a crash can fall between. Names are plain file names. */
interface Disk {

    /** The names of all files. */
    List<String> names() throws IOException;

    byte[] read(String name) throws IOException;

    /** Writes a complete file, anew if there is one. It need not survive a crash before {@link #sync}. */
    void write(String name, byte[] bytes) throws IOException;

    void sync(String name) throws IOException;

    /** Replaces one name by another at once. It need not survive a crash before {@link #syncDirectory}. */
    void rename(String from, String to) throws IOException;

    void syncDirectory() throws IOException;

    void delete(String name) throws IOException;
}
