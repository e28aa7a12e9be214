package sablehinge.gateway.recorder;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A thread that detects a blocked event loop while it is blocked, and writes dumps so that the event loop never waits
 * for them. It writes at most one dump per minute by itself; dumps requested by operators are not limited.
 */
public final class Watchdog {

    private static final long CHECK_INTERVAL_MS = 50;
    private static final long MIN_DUMP_INTERVAL_MS = 60_000;
    private static final int MAX_PENDING_DUMPS = 4;
    private static final int MAX_STACK_FRAMES = 60;
    private static final int SUMMARY_EVENTS = 12;
    private static final long NANOS_PER_MS = 1_000_000;

    /** A requested dump; {@code callback} gets its path or the failure, and is null for alarms. */
    private record DumpRequest(String reason, String detail, BiConsumer<Path, String> callback) {}

    private final Ring ring;
    private final String node;
    private final LongSupplier nanoClock;
    private final double maxTickDelayMs;
    private final DumpDirectory directory;
    private final Consumer<String> log;
    private final ArrayBlockingQueue<DumpRequest> requests = new ArrayBlockingQueue<>(MAX_PENDING_DUMPS);
    private final Thread thread = new Thread(this::run, "recorder");
    private Thread loop;
    private volatile long lastTickNanos;
    private volatile boolean stopping;
    private long lastDumpNanos;
    private boolean dumped;
    private int suppressedAlarms;
    /** The number of alarms rejected by the full queue; incremented on the event loop. */
    private final AtomicInteger rejectedAlarms = new AtomicInteger();

    private boolean reported;

    /**
     * Creates a watchdog that is not started.
     *
     * @param nanoClock the clock of the ring
     * @param maxTickDelayMs the time without a tick after which the event loop counts as blocked
     * @param directory the directory of the dumps; null for none, then a dump is summarized in the log
     * @param log receives log messages
     */
    public Watchdog(
            Ring ring,
            String node,
            LongSupplier nanoClock,
            double maxTickDelayMs,
            DumpDirectory directory,
            Consumer<String> log) {
        this.ring = ring;
        this.node = node;
        this.nanoClock = nanoClock;
        this.maxTickDelayMs = maxTickDelayMs;
        this.directory = directory;
        this.log = log;
        thread.setDaemon(true);
    }

    /** Starts the watchdog; called by the event loop's thread. */
    public void start() {
        loop = Thread.currentThread();
        tick();
        thread.start();
    }

    /** Reports that the event loop is running; called on the event loop. */
    public void tick() {
        lastTickNanos = nanoClock.getAsLong();
    }

    /** Logs an alarm with a dump, unless one was written within the last minute. */
    public void alarm(Alarm alarm) {
        String detail = (alarm.connection() == 0 ? "" : "connection " + alarm.connection() + ": ")
                + (alarm.exchange() == 0 ? "" : "request " + alarm.exchange() + ": ")
                + alarm.detail();
        if (!requests.offer(new DumpRequest(alarm.kind().name(), detail, null))) {
            rejectedAlarms.incrementAndGet();
        }
    }

    /** Writes a dump for an operator; fails while too many dumps are pending. */
    public void dump(BiConsumer<Path, String> callback) {
        if (directory == null) {
            callback.accept(null, "the recorder has no directory");
        } else if (!requests.offer(new DumpRequest("ASKED", "an operator asked for it", callback))) {
            callback.accept(null, "other dumps are being written");
        }
    }

    /** Stops the watchdog after the pending dumps. */
    public void stop() throws InterruptedException {
        stopping = true;
        thread.join(TimeUnit.SECONDS.toMillis(2));
    }

    private void run() {
        long lastCheckNanos = nanoClock.getAsLong();
        while (true) {
            try {
                DumpRequest next = requests.poll(CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    process(next);
                    // The time that writing the dump took does not count as a delay of this thread.
                    lastCheckNanos = nanoClock.getAsLong();
                } else if (stopping || !loop.isAlive()) {
                    return;
                }
                lastCheckNanos = checkLoop(lastCheckNanos);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long checkLoop(long lastCheckNanos) {
        long nowNanos = nanoClock.getAsLong();
        double blockedMs = (double) (nowNanos - lastTickNanos) / NANOS_PER_MS;
        double ownDelayMs = (double) (nowNanos - lastCheckNanos) / NANOS_PER_MS - CHECK_INTERVAL_MS;
        if (blockedMs <= maxTickDelayMs || !loop.isAlive()) {
            reported = false;
        } else if (!reported) {
            reported = true;
            String stack = Stream.of(loop.getStackTrace())
                    .limit(MAX_STACK_FRAMES)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining("\n"));
            // If this thread was delayed as well, the process had no CPU time or was stopped.
            report(
                    "HUNG",
                    "the loop has stood still for " + Math.round(blockedMs) + " ms, " + loop.getState()
                            + (ownDelayMs > maxTickDelayMs / 2
                                    ? "; so has this thread, for " + Math.round(ownDelayMs)
                                            + " ms: the process had no CPU or was stopped"
                                    : ""),
                    stack);
        }
        return nowNanos;
    }

    private void process(DumpRequest request) {
        if (request.callback == null) {
            report(request.reason, request.detail, "");
            return;
        }
        Path path = null;
        String failure = null;
        try {
            path = directory.write(dump(request.reason, request.detail, ""));
        } catch (IOException | RuntimeException e) {
            failure = "the dump can't be written: " + e.getMessage();
        }
        try {
            request.callback.accept(path, failure);
        } catch (RuntimeException e) {
            // The event loop may have shut down; this thread must continue.
            log.accept("recorder: the result of a requested dump could not be delivered: " + e.getMessage());
        }
    }

    private Dump dump(String reason, String detail, String stack) {
        return Dump.of(ring, node, System.currentTimeMillis(), nanoClock.getAsLong() / 1_000, reason, detail, stack);
    }

    private void report(String reason, String detail, String stack) {
        long nowNanos = nanoClock.getAsLong();
        if (dumped && nowNanos - lastDumpNanos < MIN_DUMP_INTERVAL_MS * NANOS_PER_MS) {
            suppressedAlarms++;
            return;
        }
        dumped = true;
        lastDumpNanos = nowNanos;
        suppressedAlarms += rejectedAlarms.getAndSet(0);
        String message = "recorder: " + reason + ": " + detail
                + (suppressedAlarms == 0 ? "" : " (" + suppressedAlarms + " earlier alarms were suppressed)");
        suppressedAlarms = 0;
        Dump dump = dump(reason, detail, stack);
        if (directory == null) {
            log.accept(message + summary(dump, stack));
            return;
        }
        try {
            log.accept(message + "; see " + directory.write(dump));
        } catch (IOException | RuntimeException e) {
            log.accept(message + "; the dump can't be written: " + e.getMessage() + summary(dump, stack));
        }
    }

    /** Summarizes the latest events in one line, for dumps that are not written to a file. */
    private static String summary(Dump dump, String stack) {
        int count = dump.events().size();
        return "; "
                + dump.events().subList(Math.max(0, count - SUMMARY_EVENTS), count).stream()
                        .map(event -> (event.micros() - dump.atMicros()) / 1_000 + " ms " + event.name()
                                + (event.connection() == 0 ? "" : " c" + event.connection())
                                + (event.exchange() == 0 ? "" : " r" + event.exchange())
                                + (event.of().isEmpty() ? "" : " " + event.value()))
                        .collect(Collectors.joining(", "))
                + (stack.isEmpty() ? "" : "; in " + stack.lines().limit(6).collect(Collectors.joining(" < ")));
    }
}
