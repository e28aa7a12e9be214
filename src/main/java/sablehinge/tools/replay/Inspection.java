package sablehinge.tools.replay;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import sablehinge.common.mapping.MappedRequest;
import sablehinge.tools.replay.statistics.DistinctCounter;
import sablehinge.tools.replay.statistics.RateMeter;
import sablehinge.tools.replay.statistics.TopValues;

/** What is in logs, counted within bounds. */
public final class Inspection {

    /** Keys in an answer of JSON. */
    private static final int TOP_KEYS = 100;

    private static final int TOP_SHAPES = 10;
    private static final int MAX_KEYS = 100_000;
    private static final int MAX_CLASSES = 10_000;
    private static final int MAX_DISTINCT = 1 << 20;
    private static final int SLICES = 4_096;
    private static final int ROWS = 24;
    private static final int BAR = 50;
    private static final int MAX_KEY = 200;

    private final TopValues classes = new TopValues(MAX_CLASSES);
    private final TopValues topKeys = new TopValues(MAX_KEYS);
    private final DistinctCounter keys = new DistinctCounter(MAX_DISTINCT);
    private final TopValues shapes = new TopValues(MAX_CLASSES);
    private final RateMeter rates = new RateMeter(SLICES);
    private Logs.Counts counts;

    /** Reads logs to their end. */
    public static Inspection of(Logs logs) throws IOException {
        Inspection inspection = new Inspection();
        for (Demand demand = logs.next(); demand != null; demand = logs.next()) {
            inspection.take(demand);
        }
        inspection.counts = logs.counts();
        return inspection;
    }

    private void take(Demand demand) {
        rates.add(demand.time());
        MappedRequest mapped = demand.mapped();
        if (mapped == null) {
            shapes.add(demand.shape());
            return;
        }
        classes.add(mapped.serviceClass());
        if (!mapped.key().isEmpty()) {
            keys.add(mapped.key());
            // What a log has as a key may be as long as a line.
            topKeys.add(mapped.key().length() > MAX_KEY ? mapped.key().substring(0, MAX_KEY) : mapped.key());
        }
    }

    /** The counts of the logs. */
    public Logs.Counts counts() {
        return counts;
    }

    /** All of it, as JSON. */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("requests", counts.requests())
                .put("folded", counts.folded())
                .put("missing_time", counts.missingTime())
                .put("out_of_order", counts.outOfOrder())
                .put("unplaced", counts.late())
                .put("clock_jumps", counts.clockJumps())
                .put("unmatched", counts.unmatched())
                .put("unreadable", counts.unreadable());
        object(json.putObject("classes"), classes.top(Integer.MAX_VALUE));
        json.put("keys", keys.count()).put("keys_exact", keys.isExact());
        object(json.putObject("top_keys"), topKeys.top(TOP_KEYS));
        json.put("top_keys_error", topKeys.error());
        object(json.putObject("unmatched_shapes"), shapes.top(TOP_SHAPES));
        counts.firstUnreadable().forEach(json.putArray("first_unreadable")::add);
        json.put("from", time(counts.from())).put("to", time(counts.to()));
        ObjectNode rate = json.putObject("rate");
        rate.put("slice_s", rates.width() / 1_000)
                .put("from", time(counts.requests() == 0 ? Double.NaN : rates.from()));
        for (long count : rates.counts()) {
            rate.withArray("requests").add(count);
        }
        return json;
    }

    private static void object(ObjectNode into, Map<String, Long> values) {
        values.forEach(into::put);
    }

    /** ISO 8601 in UTC with ms; null for NaN. */
    static String time(double millis) {
        return Double.isNaN(millis) ? null : Instant.ofEpochMilli((long) millis).toString();
    }

    /** All of it, for people. */
    public void print(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "requests      %,d, from %s to %s%n",
                counts.requests(),
                time(counts.from()),
                time(counts.to()));
        out.printf(Locale.ROOT, "folded        %,d retries, which are no demand of their own%n", counts.folded());
        out.printf(Locale.ROOT, "missing time  %,d, placed between their neighbours%n", counts.missingTime());
        out.printf(
                Locale.ROOT,
                "out of order  %,d, of which %,d came too late for their place%n",
                counts.outOfOrder(),
                counts.late());
        if (counts.clockJumps() > 0) {
            out.printf(Locale.ROOT, "clock         was set back %,d times%n", counts.clockJumps());
        }
        out.printf(Locale.ROOT, "unmatched     %,d requests that no rule is for%n", counts.unmatched());
        shapes.top(TOP_SHAPES)
                .forEach((shape, count) -> out.printf(Locale.ROOT, "    %,12d  %s%n", count, printable(shape)));
        out.printf(Locale.ROOT, "unreadable    %,d%n", counts.unreadable());
        counts.firstUnreadable().forEach(line -> out.println("    " + printable(line)));
        out.println("classes");
        classes.top(Integer.MAX_VALUE)
                .forEach((name, count) -> out.printf(Locale.ROOT, "    %,12d  %s%n", count, printable(name)));
        out.printf(Locale.ROOT, "keys          %s%,d%n", keys.isExact() ? "" : "about ", keys.count());
        topKeys.top(TOP_SHAPES)
                .forEach((key, count) -> out.printf(Locale.ROOT, "    %,12d  %s%n", count, printable(key)));
        long[] slices = rates.counts(ROWS);
        long most = 0;
        for (long slice : slices) {
            most = Math.max(most, slice);
        }
        double seconds = rates.width() / 1_000 * Math.max(1, (rates.counts().length + ROWS - 1) / ROWS);
        out.println("rate, a second");
        for (int i = 0; i < slices.length; i++) {
            out.printf(
                    Locale.ROOT,
                    "    %s  %,10.1f  %s%n",
                    time(rates.from() + i * seconds * 1_000),
                    slices[i] / seconds,
                    "#".repeat((int) (BAR * slices[i] / Math.max(1, most))));
        }
        out.flush();
    }

    /** A terminal obeys what logs may hold. */
    private static String printable(String text) {
        return text.codePoints()
                .map(c -> Character.isISOControl(c) ? '?' : c)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
