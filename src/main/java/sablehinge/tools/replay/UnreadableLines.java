package sablehinge.tools.replay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What could not be read of the logs: counted, and the first of it kept to be shown. */
final class UnreadableLines {

    /** How many are shown. */
    static final int SHOWN = 10;

    private final boolean strict;
    private final List<String> first = new ArrayList<>();
    private long count;

    /** Of a reading that goes on, or that stops at the first one. */
    UnreadableLines(boolean strict) {
        this.strict = strict;
    }

    /** The first that could not be read, where that ends the reading. */
    static final class StrictException extends IOException {

        private static final long serialVersionUID = 1;

        StrictException(String message) {
            super(message);
        }
    }

    /** Notes a place and what is wrong there. */
    void note(String file, long line, String message) throws StrictException {
        String complete = file + ":" + line + ": " + message;
        if (strict) {
            throw new StrictException(complete);
        }
        count++;
        if (first.size() < SHOWN) {
            first.add(complete);
        }
    }

    long count() {
        return count;
    }

    List<String> first() {
        return List.copyOf(first);
    }
}
