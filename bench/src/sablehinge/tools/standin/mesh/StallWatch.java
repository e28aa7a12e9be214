package sablehinge.tools.standin.mesh;

import java.util.concurrent.TimeUnit;

/** Tells for how long this process could not run when it wanted to, as a machine that is too busy lets nobody. */
final class StallWatch implements AutoCloseable {

    private static final long EVERY_MS = 10;

    private final Thread thread = new Thread(this::look, "stalls");
    private volatile boolean watches;
    private volatile boolean ended;
    private volatile double longestMs;

    StallWatch() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Counts from now on. */
    void begin() {
        watches = true;
    }

    /** The longest stall since it began to count, ms. */
    double longestMs() {
        return longestMs;
    }

    private void look() {
        try {
            while (!ended) {
                double before = TrafficLog.now();
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
                double stall = TrafficLog.now() - before - EVERY_MS;
                if (watches && stall > longestMs) {
                    longestMs = stall;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        ended = true;
    }
}
