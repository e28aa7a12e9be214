package sablehinge.core;

import java.util.function.DoubleSupplier;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/** Lets a few lines through in a while: what peers do wrong must not fill the log, which is memory here. */
public final class LogLimit implements Filter {

    private static final int LINES = 10;
    private static final double WHILE_MS = 5_000;

    private final DoubleSupplier clock;
    private double begun = Double.NEGATIVE_INFINITY;
    private int lines;
    private int dropped;

    /** A limit that reads the time, in ms, off the given clock. */
    public LogLimit(DoubleSupplier clock) {
        this.clock = clock;
    }

    /** Counts what is dropped and says so with the first line that is not. */
    @Override
    public boolean isLoggable(LogRecord line) {
        double now = clock.getAsDouble();
        if (now - begun >= WHILE_MS) {
            if (dropped > 0) {
                line.setMessage(line.getMessage() + " (" + dropped + " lines before this one were dropped)");
            }
            begun = now;
            lines = 0;
            dropped = 0;
        }
        if (lines >= LINES) {
            dropped++;
            return false;
        }
        lines++;
        return true;
    }
}
