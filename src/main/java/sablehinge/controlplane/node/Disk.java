package sablehinge.controlplane.node;

import java.io.IOException;

/** A directory of files. */
interface Disk {

    /** The name by which H2 opens a file of this directory. */
    String file(String name);

    /** Whether the file exists. */
    boolean has(String name) throws IOException;

    /** Renames a file and replaces any file that has the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Syncs the directory: returns once its file names are on disk. */
    void sync() throws IOException;
}
