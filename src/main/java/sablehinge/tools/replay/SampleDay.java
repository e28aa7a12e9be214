package sablehinge.tools.replay;

import java.io.IOException;
import java.io.Writer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A log made up by seed, with all that real ones have: a rise and a fall of the rate, keys of which few are common,
 * callers who try again, lines out of order and without time. What is true of it is known: each line's bytes are the
 * number of the request that it belongs to.
 */
public final class SampleDay {

    /** How its lines are written. */
    public static final String FORMAT = "$remote_addr [$msec] \"$request\" $status $body_bytes_sent "
            + "$request_time"
            + " \"$http_idempotency_key\"";

    private static final double START = 1_785_736_800_000.0;
    private static final int KEYS = 2_000;
    private static final double ZIPF = 0.8;
    private static final int CALLERS = 20_000;

    /** A class, its share of the requests, and whether callers name their requests. */
    private record Kind(String name, String method, double share, boolean named) {}

    private static final List<Kind> KINDS = List.of(
            new Kind("tile-order", "POST", 0.45, true),
            new Kind("credit-spend", "POST", 0.25, false),
            new Kind("tile", "GET", 0.3, false));

    /**
     * What the log is like.
     *
     * @param seconds that it covers
     * @param peak requests a second at its busiest, retries not counted
     * @param displaced the share of lines that stand too late by up to 3 s
     * @param timeless the share of lines without a time
     * @param retries the share of lines that are retries
     * @param again the share of requests that ask honestly once more after a success
     */
    public record Terms(
            double seconds, double peak, double displaced, double timeless, double retries, double again, long seed) {

        /** As the replay's measurement wants it. */
        public static Terms usual(double seconds, double peak, long seed) {
            return new Terms(seconds, peak, 0.05, 0.02, 0.08, 0.02, seed);
        }
    }

    /** A try, by when its line is written. */
    private record Line(
            double place,
            double ended,
            double took,
            String caller,
            String request,
            int status,
            long number,
            String name) {}

    private final Terms terms;
    private final SplittableRandom random;
    private final double[] zipf = new double[KEYS];
    private final PriorityQueue<Line> lines =
            new PriorityQueue<>(Comparator.comparingDouble(Line::place).thenComparingLong(Line::number));
    private final Map<String, Long> classes = new HashMap<>();
    private final Map<String, Long> keys = new HashMap<>();
    private long requests;
    private long tries;
    private long retried;

    /** A day that is not written yet. */
    public SampleDay(Terms terms) {
        this.terms = terms;
        random = new SplittableRandom(terms.seed());
        double sum = 0;
        for (int i = 0; i < KEYS; i++) {
            sum += Math.pow(i + 1, -ZIPF);
            zipf[i] = sum;
        }
    }

    /** Writes it. */
    public void write(Writer out) throws IOException {
        double time = 0;
        while (true) {
            double rate =
                    terms.peak() * (0.05 + 0.95 * Math.pow(Math.sin(Math.PI * time / terms.seconds() / 1_000), 2));
            time += -Math.log(1 - random.nextDouble()) / rate * 1_000;
            if (time >= terms.seconds() * 1_000) {
                break;
            }
            request(time);
            while (!lines.isEmpty() && lines.peek().place < time) {
                write(lines.poll(), out);
            }
        }
        while (!lines.isEmpty()) {
            write(lines.poll(), out);
        }
        out.flush();
    }

    private void request(double time) {
        double draw = random.nextDouble();
        Kind kind = KINDS.get(draw < KINDS.get(0).share ? 0 : draw < KINDS.get(0).share + KINDS.get(1).share ? 1 : 2);
        String key = kind.name.substring(0, 1) + key();
        int host = random.nextInt(CALLERS);
        String caller = "10." + host / 65_536 + "." + host / 256 % 256 + "." + host % 256;
        double next = ask(kind, key, caller, time);
        if (random.nextDouble() < terms.again()) {
            ask(kind, key, caller, next + random.nextDouble(200, 4_000));
        }
    }

    private int key() {
        int at = java.util.Arrays.binarySearch(zipf, random.nextDouble() * zipf[KEYS - 1]);
        return at < 0 ? -at - 1 : at;
    }

    /** One request with its tries; when the last has ended. */
    private double ask(Kind kind, String key, String caller, double time) {
        long number = ++requests;
        classes.merge(kind.name, 1L, Long::sum);
        keys.merge(key, 1L, Long::sum);
        String name = kind.named ? String.format(Locale.ROOT, "%016x", random.nextLong()) : "-";
        String target = kind.method + " /" + kind.name + "/" + key + " HTTP/1.1";
        // A chain of tries of mean m is m - 1 retries in m lines.
        double again = terms.retries();
        double at = time;
        for (int i = 0; i < 4; i++) {
            boolean fails = i < 3 && random.nextDouble() < again;
            int status = !fails ? 200 : new int[] {503, 504, 500, 499, 429}[random.nextInt(5)];
            double took = status == 504 || status == 499
                    ? random.nextDouble(400, 1_000)
                    : Math.max(1, -Math.log(1 - random.nextDouble()) * 30);
            double ended = at + took;
            boolean late = random.nextDouble() < terms.displaced();
            lines.add(new Line(
                    late ? ended + random.nextDouble(50, 3_000) : ended,
                    ended,
                    took,
                    caller,
                    target,
                    status,
                    number,
                    name));
            tries++;
            retried += i > 0 ? 1 : 0;
            if (!fails) {
                return ended;
            }
            at = ended + random.nextDouble(20, 400);
        }
        return at;
    }

    private void write(Line line, Writer out) throws IOException {
        boolean timeless = random.nextDouble() < terms.timeless();
        long millis = Math.round(START + line.ended);
        out.write(line.caller);
        out.write(" [");
        out.write(
                timeless
                        ? "-"
                        : millis / 1_000 + "."
                                + Long.toString(1_000 + millis % 1_000).substring(1));
        out.write("] \"");
        out.write(line.request);
        out.write("\" ");
        out.write(Integer.toString(line.status));
        out.write(" ");
        out.write(Long.toString(line.number));
        out.write(" ");
        long took = Math.round(line.took);
        out.write(took / 1_000 + "." + Long.toString(1_000 + took % 1_000).substring(1));
        out.write(" \"");
        out.write(line.name);
        out.write("\"\n");
    }

    /** Requests, each counted once. */
    public long requests() {
        return requests;
    }

    /** Lines. */
    public long tries() {
        return tries;
    }

    /** Lines that are retries. */
    public long retried() {
        return retried;
    }

    /** Requests by class. */
    public Map<String, Long> classes() {
        return Map.copyOf(classes);
    }

    /** Requests by key. */
    public Map<String, Long> keys() {
        return Map.copyOf(keys);
    }
}
