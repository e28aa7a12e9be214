package sablehinge.controlplane.node;

import java.io.IOException;

/** A folder of files. */
interface Disk {

    /** The name by which H2 opens a file of this folder. */
    String file(String name);

    /** Whether there is such a file. */
    boolean has(String name) throws IOException;

    /** Gives a file another name, in place of what had that name. */
    void rename(String from, String to) throws IOException;

    /** Removes a file if it is there. */
    void delete(String name) throws IOException;

    /** Returns when the names in the folder are on disk. */
    void sync() throws IOException;
}
