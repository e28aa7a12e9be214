package sablehinge.tools.replay;

/** How the lines of an access log are read. */
public interface LogFormat {

    /** Reads one line; the error says what was expected, and at which character, counted from 1. */
    LogEntry parse(String line) throws UnreadableLineException;

    /** Whether its times are when requests ended, not when they began. */
    default boolean timeIsEnd() {
        return false;
    }

    /** A line that is not of the format. */
    final class UnreadableLineException extends Exception {

        private static final long serialVersionUID = 1;

        UnreadableLineException(int at, String expected) {
            // Millions of these may be made: no stack trace.
            super("character " + (at + 1) + ": expected " + expected, null, false, false);
        }
    }
}
