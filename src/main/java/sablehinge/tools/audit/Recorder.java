package sablehinge.tools.audit;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.GZIPOutputStream;
import sablehinge.tools.audit.judge.Evidence;

/**
 * Writes down what parties saw, packed, on a thread of its own: who records never waits for the disk. What comes faster
 * than it can be written is dropped and counted, and so is all after the disk has failed.
 */
public final class Recorder implements AutoCloseable {

    /** Evidence that waits to be written at most. */
    public static final int MAX_WAITING = 1 << 17;

    private static final int BATCH = 4_096;

    private final ArrayBlockingQueue<Evidence> waiting;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread;
    private volatile boolean closed;
    private volatile long cpu;
    private volatile String failure;

    /** A record in a file, which is begun anew. */
    public Recorder(Path file) throws IOException {
        this(Files.newOutputStream(file), MAX_WAITING);
    }

    Recorder(OutputStream file, int mostWaiting) throws IOException {
        waiting = new ArrayBlockingQueue<>(mostWaiting);
        Writer out = new BufferedWriter(
                new OutputStreamWriter(
                        new GZIPOutputStream(file, 1 << 16) {
                            {
                                // Fast rather than small: a day's record is written while the day is played.
                                def.setLevel(1);
                            }
                        },
                        StandardCharsets.UTF_8),
                1 << 16);
        thread = new Thread(() -> write(out), "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes what was seen, on any thread. */
    public void note(Evidence one) {
        if (failure != null || !waiting.offer(one)) {
            dropped.incrementAndGet();
        }
    }

    /** What could not be written. */
    public long dropped() {
        return dropped.get();
    }

    /** Why the file can't be written; null while it can. */
    public String failure() {
        return failure;
    }

    private void write(Writer out) {
        List<Evidence> batch = new ArrayList<>(BATCH);
        try (out) {
            while (!closed || !waiting.isEmpty()) {
                Evidence first = waiting.poll(20, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                batch.add(first);
                waiting.drainTo(batch, BATCH);
                for (Evidence one : batch) {
                    EvidenceLines.write(one, out);
                }
                batch.clear();
                cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            }
        } catch (IOException e) {
            failure = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            dropped.addAndGet(batch.size() + waiting.size());
            waiting.clear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** CPU that the writing has used so far, in ns; 0 where that is not known. */
    public long cpuNanos() {
        return cpu;
    }

    /** Writes what waits, and ends. */
    @Override
    public void close() {
        closed = true;
        boolean interrupted = false;
        while (thread.isAlive()) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
