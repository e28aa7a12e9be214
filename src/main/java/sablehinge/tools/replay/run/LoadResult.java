package sablehinge.tools.replay.run;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sablehinge.tools.replay.run.RequestCounts.Outcome;

/** What came of a replay, and whether its figures count. */
public final class LoadResult {

    /** A generator that was later than this, in ms at p99, has not sent what it says. */
    private static final double MAX_LATE = 5;
    /** Half a core for so many requests a second is what the generator may use. */
    private static final double RATE_OF_HALF_A_CORE = 1_700;

    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private final Load.Options options;
    private final RequestCounts counts;
    private final long unmatched;
    private final double start;
    private final double millis;
    private final double cpuMillis;
    private final boolean stopped;

    LoadResult(
            Load.Options options,
            RequestCounts counts,
            long unmatched,
            double start,
            double millis,
            double cpuMillis,
            boolean stopped) {
        this.options = options;
        this.counts = counts;
        this.unmatched = unmatched;
        this.start = start;
        this.millis = millis;
        this.cpuMillis = cpuMillis;
        this.stopped = stopped;
    }

    RequestCounts counts() {
        return counts;
    }

    double millis() {
        return millis;
    }

    /** Requests that were sent, their retries not counted. */
    public long requests() {
        return counts.requests;
    }

    /** By how much requests were sent late, in ms, so that so many of 100 were not later. */
    public double sendError(double percent) {
        return counts.sendError.getValueAtPercentile(percent) / 1e3;
    }

    /** Requests a second. */
    public double rate() {
        return millis <= 0 ? 0 : counts.requests / millis * 1_000;
    }

    /** Cores that the generator kept busy. */
    public double cores() {
        return millis <= 0 ? 0 : cpuMillis / millis;
    }

    /** Why the figures don't count; empty if they do. */
    public List<String> doubts() {
        List<String> doubts = new ArrayList<>();
        if (sendError(99) > MAX_LATE) {
            doubts.add(String.format(
                    Locale.ROOT,
                    "the generator ran late: by %.1f ms at p99, %.0f ms is allowed",
                    sendError(99),
                    MAX_LATE));
        }
        double allowed = 0.5 * Math.max(1, rate() / RATE_OF_HALF_A_CORE);
        if (cores() > allowed) {
            doubts.add(String.format(
                    Locale.ROOT,
                    "the generator kept %.2f cores busy at %.0f requests a second, " + "%.2f are allowed",
                    cores(),
                    rate(),
                    allowed));
        }
        if (counts.waited > 0) {
            doubts.add(String.format(
                    Locale.ROOT,
                    "%d tries waited for a connection, of which %d may be open",
                    counts.waited,
                    options.connections()));
        }
        return doubts;
    }

    static String name(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    /** All of it, as JSON; latencies in ms from when a request was due to its last byte. */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("requests", counts.requests)
                .put("tries", counts.tries)
                .put("unmatched", unmatched)
                .put("started", Instant.ofEpochMilli((long) start).toString())
                .put("seconds", millis / 1_000)
                .put("rate_per_s", rate())
                .put("stopped", stopped);
        json.put("figures_count", doubts().isEmpty());
        doubts().forEach(json.putArray("doubts")::add);
        json.put("send_error_p50_ms", sendError(50))
                .put("send_error_p99_ms", sendError(99))
                .put("send_error_max_ms", sendError(100))
                .put("generator_cores", cores())
                .put("connections", counts.connections)
                .put("sent_again", counts.again)
                .put("answers_unasked", counts.unasked)
                .put("bodies_of_others", counts.wrongBodies);
        ObjectNode settings = json.putObject("settings");
        settings.put("compress", options.schedule().compress())
                .put("rate_scale", options.schedule().rateScale())
                .put("seed", options.seed())
                .put("retries", options.clients().retries())
                .put("deadlines_compressed", false);
        options.targets()
                .forEach(target -> settings.withArray("targets").add(target.getHostString() + ":" + target.getPort()));
        ObjectNode classes = json.putObject("classes");
        Histogram all = new Histogram(3_600_000_000L, 3);
        for (Map.Entry<String, RequestCounts.OfClass> one : counts.classes.entrySet()) {
            ObjectNode own = classes.putObject(one.getKey());
            outcomes(own, one.getValue().outcomes);
            latency(own.putObject("latency_ms"), one.getValue().latency);
            all.add(one.getValue().latency);
        }
        latency(json.putObject("latency_ms"), all);
        ArrayNode slices = json.putArray("slices");
        for (int i = 0; i < RequestCounts.SLICES; i++) {
            RequestCounts.Slice slice = counts.slices[i];
            if (slice != null) {
                ObjectNode own = slices.addObject()
                        .put("from_s", i * counts.sliceWidth / 1_000)
                        .put("seconds", counts.sliceWidth / 1_000)
                        .put("asked", slice.requested);
                outcomes(own, slice.outcomes);
                if (slice.latency != null) {
                    latency(own.putObject("latency_ms"), slice.latency);
                }
            }
        }
        return json;
    }

    private static void outcomes(ObjectNode into, long[] outcomes) {
        for (Outcome outcome : Outcome.values()) {
            into.put(name(outcome), outcomes[outcome.ordinal()]);
        }
    }

    private static void latency(ObjectNode into, Histogram latency) {
        for (double percentile : PERCENTILES) {
            String name =
                    percentile == 100 ? "max" : "p" + (percentile == 99.9 ? "999" : String.valueOf((int) percentile));
            into.put(name, latency.getTotalCount() == 0 ? null : latency.getValueAtPercentile(percentile) / 1e3);
        }
    }

    /** The main figures, for people. */
    public void print(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "%,d requests in %,d tries, %.1f s, %.0f a second%s%n",
                counts.requests,
                counts.tries,
                millis / 1_000,
                rate(),
                stopped ? ", stopped before the end" : "");
        out.printf(
                "%-20s %10s %8s %8s %8s %10s %11s %9s %9s%n",
                "class", "in time", "late", "refused", "failed", "unanswered", "unreachable", "p50 ms", "p99 ms");
        counts.classes.forEach((name, own) -> {
            out.printf(
                    Locale.ROOT,
                    "%-20s %,10d %,8d %,8d %,8d %,10d %,11d",
                    name,
                    own.outcomes[0],
                    own.outcomes[1],
                    own.outcomes[2],
                    own.outcomes[3],
                    own.outcomes[4],
                    own.outcomes[5]);
            out.printf(
                    Locale.ROOT,
                    " %9.1f %9.1f%n",
                    own.latency.getValueAtPercentile(50) / 1e3,
                    own.latency.getValueAtPercentile(99) / 1e3);
        });
        out.printf(
                Locale.ROOT,
                "sent late by %.2f ms at p99, %.1f ms at most; the generator kept %.2f cores busy%n",
                sendError(99),
                sendError(100),
                cores());
        if (unmatched > 0) {
            out.printf(Locale.ROOT, "%,d requests were not sent, as no rule is for them%n", unmatched);
        }
        doubts().forEach(doubt -> out.println("THESE FIGURES DON'T COUNT: " + doubt));
        out.flush();
    }
}
