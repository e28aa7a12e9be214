package sablehinge.tools.replay;

import java.io.Closeable;
import java.io.IOException;

/** The requests of one log, in its order. What can't be read is noted and passed over. */
interface EntryReader extends Closeable {

    /** The next request; null after the last. */
    LogEntry next() throws IOException;

    /** Whether the times are when requests ended. */
    boolean timeIsEnd();
}
