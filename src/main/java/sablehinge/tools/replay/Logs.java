package sablehinge.tools.replay;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import sablehinge.tools.replay.OrderedLog.Held;
import sablehinge.tools.replay.OrderedLog.Placed;
import sablehinge.tools.replay.folding.RetryFolder;

/**
 * Several logs as one: new requests in the order of time, with logged retries folded. What is held is bounded, whatever
 * the logs' size.
 */
public final class Logs implements Closeable {

    /** Files that are open at a time. */
    public static final int MAX_FILES = 500;

    private static final int MIN_HELD = 500;

    /** Called with each logged try, in the order of time; for measuring the folding on logs whose truth is known. */
    public interface Tries {

        /**
         * A try.
         *
         * @param number counted from 0
         * @param first the number of the first try that it was folded under; its own for a first try
         * @param bytes of its answer, as logged
         */
        void tried(long number, long first, long bytes);
    }

    private record Head(OrderedLog log, int place, double time) {}

    private final List<OrderedLog> logs = new ArrayList<>();
    private final PriorityQueue<Head> heads =
            new PriorityQueue<>(Comparator.comparingDouble(Head::time).thenComparingInt(Head::place));
    private final RetryFolder folder;
    private final UnreadableLines unreadable;
    private Tries listener = (number, under, bytes) -> {};
    private long tries;
    private long requests;
    private long unmatched;
    private double first = Double.NaN;
    private double last = Double.NaN;

    private Logs(LogOptions options) {
        folder = new RetryFolder(options.folding());
        unreadable = new UnreadableLines(options.strict());
    }

    /**
     * Opens logs.
     *
     * @param names of files; {@code -} for standard input, once
     * @throws IOException with the file's name and what is wrong with it
     * @throws IllegalArgumentException if there are too many, or the format is of no use
     */
    public static Logs open(List<String> names, InputStream standard, LogOptions options) throws IOException {
        if (names.size() > MAX_FILES) {
            throw new IllegalArgumentException(names.size() + " files, expected " + MAX_FILES + " at most");
        }
        Set<String> once = new HashSet<>();
        for (String name : names) {
            if (!once.add(name)) {
                throw new IllegalArgumentException(name + " is given twice");
            }
        }
        Logs all = new Logs(options);
        int held = Math.max(MIN_HELD, options.mostHeld() / names.size());
        try {
            for (String name : names) {
                all.add(name, standard, options, held);
            }
        } catch (IOException | RuntimeException e) {
            all.close();
            throw e;
        }
        return all;
    }

    private void add(String name, InputStream standard, LogOptions options, int held) throws IOException {
        EntryReader reader;
        try {
            Inputs.Peekable in = Inputs.open(name, standard);
            try {
                reader = Formats.reader(name, in, options, unreadable);
            } catch (IOException | RuntimeException e) {
                in.close();
                throw e;
            }
        } catch (UnreadableLines.StrictException e) {
            throw e;
        } catch (IOException e) {
            throw new IOException(name + ": " + message(e), e);
        }
        // Browsers write a page's entries together, whenever they began: only a bound on their number helps.
        double window = reader instanceof HarEntries ? Double.POSITIVE_INFINITY : options.window();
        OrderedLog log = new OrderedLog(reader, options, window, held, options.seed() + logs.size());
        logs.add(log);
        offer(log, logs.size() - 1);
    }

    private void offer(OrderedLog log, int place) throws IOException {
        Placed next = log.peek();
        if (next != null) {
            heads.add(new Head(log, place, next.time()));
        }
    }

    /** The next new request; null after the last. */
    public Demand next() throws IOException {
        while (!heads.isEmpty()) {
            Head head = heads.poll();
            Placed placed = head.log.poll();
            offer(head.log, head.place);
            Held held = placed.held();
            double time = placed.time();
            long number = tries++;
            double ended = time + (held.duration() >= 0 ? held.duration() : 0);
            long under = folder.fold(new RetryFolder.Attempt(
                    time, ended, held.id(), held.sure(), held.caller(), held.method(), held.target(), held.status()));
            listener.tried(number, under, held.bytes());
            if (under != number) {
                continue;
            }
            requests++;
            unmatched += held.mapped() == null ? 1 : 0;
            first = Double.isNaN(first) ? time : first;
            last = time;
            return new Demand(time, held.method(), held.target(), held.mapped(), held.shape(), held.body());
        }
        return null;
    }

    /** Sets the listener to each logged try. */
    public void listen(Tries listener) {
        this.listener = listener;
    }

    /** What a reading has come to so far; see {@link #counts}. */
    public record Counts(
            long requests,
            long folded,
            long missingTime,
            long outOfOrder,
            long late,
            long clockJumps,
            long unmatched,
            long unreadable,
            List<String> firstUnreadable,
            double from,
            double to) {}

    /**
     * The counts so far. Requests are first tries, of which some are unmatched; {@code late} ones came so late that
     * their place had passed; {@code from} and {@code to} are NaN where no time is known.
     */
    public Counts counts() {
        long missing = logs.stream().mapToLong(OrderedLog::missing).sum();
        boolean timed = missing < tries;
        return new Counts(
                requests,
                folder.folded(),
                missing,
                logs.stream().mapToLong(OrderedLog::outOfOrder).sum(),
                logs.stream().mapToLong(OrderedLog::late).sum(),
                logs.stream().mapToLong(OrderedLog::jumps).sum(),
                unmatched,
                unreadable.count(),
                unreadable.first(),
                timed ? first : Double.NaN,
                timed ? last : Double.NaN);
    }

    /** An exception's words, or its kind where it has none. */
    static String message(Throwable e) {
        String text =
                e.getMessage() == null ? "" : e.getMessage().lines().findFirst().orElse("");
        return text.isEmpty() ? e.getClass().getSimpleName() : text;
    }

    @Override
    public void close() throws IOException {
        for (OrderedLog log : logs) {
            log.close();
        }
    }
}
