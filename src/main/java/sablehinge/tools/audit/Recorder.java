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
 * Writes evidence to a gzip-compressed file on a separate thread, so that callers never wait for the disk. Evidence
 * that arrives faster than it can be written is dropped and counted, as is all evidence after a disk failure.
 */
public final class Recorder implements AutoCloseable {

    /** Maximum number of evidence records queued for writing. */
    public static final int MAX_WAITING = 1 << 17;

    private static final int BATCH = 4_096;

    private final ArrayBlockingQueue<Evidence> waiting;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread;
    private volatile boolean closed;
    private volatile long cpuNanos;
    private volatile String failure;

    /** Creates a recorder that writes to a file; an existing file is truncated. */
    public Recorder(Path file) throws IOException {
        this(Files.newOutputStream(file), MAX_WAITING);
    }

    Recorder(OutputStream file, int maxWaiting) throws IOException {
        waiting = new ArrayBlockingQueue<>(maxWaiting);
        Writer out = new BufferedWriter(
                new OutputStreamWriter(
                        new GZIPOutputStream(file, 1 << 16) {
                            {
                                // Favors speed over size: the record is written while the load runs.
                                def.setLevel(1);
                            }
                        },
                        StandardCharsets.UTF_8),
                1 << 16);
        thread = new Thread(() -> write(out), "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues evidence for writing; may be called from any thread. */
    public void note(Evidence evidence) {
        if (failure != null || !waiting.offer(evidence)) {
            dropped.incrementAndGet();
        }
    }

    /** The number of evidence records that were not written. */
    public long dropped() {
        return dropped.get();
    }

    /** Why the file can't be written; null if writing has not failed. */
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
                for (Evidence evidence : batch) {
                    EvidenceLines.write(evidence, out);
                }
                batch.clear();
                cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            }
        } catch (IOException e) {
            failure = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            dropped.addAndGet(batch.size() + waiting.size());
            waiting.clear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** CPU time that the writer thread has used so far, in nanoseconds; 0 if not known yet. */
    public long cpuNanos() {
        return cpuNanos;
    }

    /** Writes the queued evidence and stops the writer thread. */
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
