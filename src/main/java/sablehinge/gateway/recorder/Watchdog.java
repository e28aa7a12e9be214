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
 * The thread beside the loop: it notices that the loop stands still, while it does, and writes dumps, for which the
 * loop never waits. It gives up at most one dump a minute of its own accord.
 */
public final class Watchdog {

    private static final long LOOK_MS = 50;
    private static final long BETWEEN_MS = 60_000;
    private static final int MAX_REQUESTED = 4;
    private static final int MAX_FRAMES = 60;
    private static final int IN_SHORT = 12;
    private static final long NANOS_PER_MS = 1_000_000;

    /** A dump that is to be made; {@code done} is called with its place or, as a text, why there is none. */
    private record Wanted(String reason, String detail, BiConsumer<Path, String> done) {}

    private final Ring ring;
    private final String node;
    private final LongSupplier nanos;
    private final double turn;
    private final DumpFolder folder;
    private final Consumer<String> log;
    private final ArrayBlockingQueue<Wanted> wanted = new ArrayBlockingQueue<>(MAX_REQUESTED);
    private final Thread thread = new Thread(this::run, "recorder");
    private Thread loop;
    private volatile long lastTick;
    private volatile boolean ends;
    private long lastDump;
    private boolean dumped;
    private int passedOver;
    /** Alarms for which there was no room; by the loop. */
    private final AtomicInteger crowded = new AtomicInteger();

    private boolean reported;

    /**
     * A watchdog that is not yet running.
     *
     * @param nanos the clock of the ring
     * @param turn for how many ms a tick may stay out before the loop counts as hung
     * @param folder null for none: a dump is then summarized in the log
     * @param log takes a line
     */
    public Watchdog(Ring ring, String node, LongSupplier nanos, double turn, DumpFolder folder, Consumer<String> log) {
        this.ring = ring;
        this.node = node;
        this.nanos = nanos;
        this.turn = turn;
        this.folder = folder;
        this.log = log;
        thread.setDaemon(true);
    }

    /** Begins; called by the loop's thread. */
    public void start() {
        loop = Thread.currentThread();
        tick();
        thread.start();
    }

    /** The loop has run; called on it. */
    public void tick() {
        lastTick = nanos.getAsLong();
    }

    /** Something is wrong: it is logged, and dumped unless that was done within the last minute. */
    public void alarm(Alarm alarm) {
        String detail = (alarm.connection() == 0 ? "" : "connection " + alarm.connection() + ": ")
                + (alarm.exchange() == 0 ? "" : "request " + alarm.exchange() + ": ")
                + alarm.detail();
        if (!wanted.offer(new Wanted(alarm.kind().name(), detail, null))) {
            crowded.incrementAndGet();
        }
    }

    /** Makes a dump because an operator asks for one; refused, by a text, while too many wait. */
    public void dump(BiConsumer<Path, String> done) {
        if (folder == null) {
            done.accept(null, "the recorder has no directory");
        } else if (!wanted.offer(new Wanted("ASKED", "an operator asked for it", done))) {
            done.accept(null, "other dumps are being written");
        }
    }

    /** Ends, with what was requested before. */
    public void end() throws InterruptedException {
        ends = true;
        thread.join(TimeUnit.SECONDS.toMillis(2));
    }

    private void run() {
        long looked = nanos.getAsLong();
        while (true) {
            try {
                Wanted next = wanted.poll(LOOK_MS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    make(next);
                    // To write a dump takes its time, which is nobody's pause.
                    looked = nanos.getAsLong();
                } else if (ends || !loop.isAlive()) {
                    return;
                }
                looked = lookAtLoop(looked);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long lookAtLoop(long before) {
        long now = nanos.getAsLong();
        double still = (double) (now - lastTick) / NANOS_PER_MS;
        double own = (double) (now - before) / NANOS_PER_MS - LOOK_MS;
        if (still <= turn || !loop.isAlive()) {
            reported = false;
        } else if (!reported) {
            reported = true;
            String stack = Stream.of(loop.getStackTrace())
                    .limit(MAX_FRAMES)
                    .map(StackTraceElement::toString)
                    .collect(Collectors.joining("\n"));
            // Whoever had no turn either can't tell a busy loop from a process that got no CPU.
            keep(
                    "HUNG",
                    "the loop has stood still for " + Math.round(still) + " ms, " + loop.getState()
                            + (own > turn / 2
                                    ? "; so has this thread, for " + Math.round(own)
                                            + " ms: the process had no CPU or was stopped"
                                    : ""),
                    stack);
        }
        return now;
    }

    private void make(Wanted one) {
        if (one.done == null) {
            keep(one.reason, one.detail, "");
            return;
        }
        Path path = null;
        String why = null;
        try {
            path = folder.write(dump(one.reason, one.detail, ""));
        } catch (IOException | RuntimeException e) {
            why = "the dump can't be written: " + e.getMessage();
        }
        try {
            one.done.accept(path, why);
        } catch (RuntimeException e) {
            // The loop may have ended meanwhile; this thread must live on.
            log.accept("recorder: nobody hears of a dump that was asked for: " + e.getMessage());
        }
    }

    private Dump dump(String reason, String detail, String stack) {
        return Dump.of(ring, node, System.currentTimeMillis(), nanos.getAsLong() / 1_000, reason, detail, stack);
    }

    private void keep(String reason, String detail, String stack) {
        long now = nanos.getAsLong();
        if (dumped && now - lastDump < BETWEEN_MS * NANOS_PER_MS) {
            passedOver++;
            return;
        }
        dumped = true;
        lastDump = now;
        passedOver += crowded.getAndSet(0);
        String words = "recorder: " + reason + ": " + detail
                + (passedOver == 0 ? "" : " (" + passedOver + " alarms before this one were passed over)");
        passedOver = 0;
        Dump dump = dump(reason, detail, stack);
        if (folder == null) {
            log.accept(words + inShort(dump, stack));
            return;
        }
        try {
            log.accept(words + "; see " + folder.write(dump));
        } catch (IOException | RuntimeException e) {
            log.accept(words + "; the dump can't be written: " + e.getMessage() + inShort(dump, stack));
        }
    }

    /** The last events in a line, where there is no place for all of them. */
    private static String inShort(Dump dump, String stack) {
        int count = dump.events().size();
        return "; "
                + dump.events().subList(Math.max(0, count - IN_SHORT), count).stream()
                        .map(e -> (e.micros() - dump.atMicros()) / 1_000 + " ms " + e.name()
                                + (e.connection() == 0 ? "" : " c" + e.connection())
                                + (e.exchange() == 0 ? "" : " r" + e.exchange())
                                + (e.of().isEmpty() ? "" : " " + e.value()))
                        .collect(Collectors.joining(", "))
                + (stack.isEmpty() ? "" : "; in " + stack.lines().limit(6).collect(Collectors.joining(" < ")));
    }
}
