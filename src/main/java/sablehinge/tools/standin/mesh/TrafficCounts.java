package sablehinge.tools.standin.mesh;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts the outcomes of attempts by kind of request, and the runs by upstream. */
public final class TrafficCounts {

    /** The minimum share of the attempts that a healthy small mesh serves. */
    public static final double ENOUGH = 0.9;

    private final Map<TrafficLog.Kind, List<Double>> served = new EnumMap<>(TrafficLog.Kind.class);
    private final Map<TrafficLog.Kind, int[]> counts = new EnumMap<>(TrafficLog.Kind.class);
    private final Map<String, Integer> runsByUpstream = new TreeMap<>();
    private int attempts;
    private int servedAttempts;

    private TrafficCounts() {}

    /** Returns the counts of a traffic log. */
    public static TrafficCounts of(TrafficLog trafficLog) {
        TrafficCounts counts = new TrafficCounts();
        Map<String, TrafficLog.Sent> sent = new HashMap<>();
        trafficLog.sent().forEach(request -> sent.put(request.id(), request));
        trafficLog.answered().forEach(answer -> {
            TrafficLog.Sent request = sent.get(answer.requestId());
            if (request != null) {
                counts.count(request, answer);
            }
        });
        trafficLog
                .runs()
                .forEach(run -> counts.runsByUpstream.merge(run.service() + " " + run.upstream(), 1, Integer::sum));
        return counts;
    }

    private void count(TrafficLog.Sent request, TrafficLog.Answered answer) {
        int[] counters = counts.computeIfAbsent(request.kind(), kind -> new int[3]);
        attempts++;
        counters[0]++;
        if (answer.status() / 100 == 2) {
            servedAttempts++;
            served.computeIfAbsent(request.kind(), kind -> new ArrayList<>()).add(answer.at() - request.at());
        } else if (answer.status() == 503 || answer.status() == 429) {
            counters[1]++;
        } else {
            counters[2]++;
        }
    }

    /** Returns the share of the attempts that were served. */
    public double share() {
        return attempts == 0 ? 0 : (double) servedAttempts / attempts;
    }

    /** Prints a line for each kind of request and for each upstream. */
    public void print(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%-8s %7s %7s %8s %7s %10s %10s%n",
                "kind",
                "tries",
                "served",
                "refused",
                "failed",
                "median ms",
                "99% ms");
        counts.forEach((kind, counters) -> {
            double[] timesMs = served.getOrDefault(kind, List.of()).stream()
                    .mapToDouble(t -> t)
                    .toArray();
            Arrays.sort(timesMs);
            out.printf(
                    Locale.ROOT,
                    "%-8s %7d %7d %8d %7d %10.1f %10.1f%n",
                    kind.name().toLowerCase(Locale.ROOT),
                    counters[0],
                    timesMs.length,
                    counters[1],
                    counters[2],
                    quantile(timesMs, 0.5),
                    quantile(timesMs, 0.99));
        });
        runsByUpstream.forEach((upstream, number) -> out.printf(Locale.ROOT, "ran at %-32s %7d%n", upstream, number));
    }

    private static double quantile(double[] timesMs, double quantile) {
        return timesMs.length == 0 ? Double.NaN : timesMs[(int) (quantile * (timesMs.length - 1))];
    }
}
