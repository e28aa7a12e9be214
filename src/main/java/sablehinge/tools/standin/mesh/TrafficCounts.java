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

/** What became of tries, by what may be repeated of them, and where they ran. */
public final class TrafficCounts {

    /** The part of the tries that a small mesh serves at least, if it is well. */
    public static final double ENOUGH = 0.9;

    private final Map<TrafficLog.Kind, List<Double>> served = new EnumMap<>(TrafficLog.Kind.class);
    private final Map<TrafficLog.Kind, int[]> counts = new EnumMap<>(TrafficLog.Kind.class);
    private final Map<String, Integer> ran = new TreeMap<>();
    private int tries;
    private int good;

    private TrafficCounts() {}

    /** The sums of a traffic log. */
    public static TrafficCounts of(TrafficLog trafficLog) {
        TrafficCounts counts = new TrafficCounts();
        Map<String, TrafficLog.Sent> sent = new HashMap<>();
        trafficLog.sent().forEach(one -> sent.put(one.id(), one));
        trafficLog.answered().forEach(one -> {
            TrafficLog.Sent of = sent.get(one.of());
            if (of != null) {
                counts.count(of, one);
            }
        });
        trafficLog.runs().forEach(run -> counts.ran.merge(run.service() + " " + run.upstream(), 1, Integer::sum));
        return counts;
    }

    private void count(TrafficLog.Sent of, TrafficLog.Answered one) {
        int[] row = counts.computeIfAbsent(of.kind(), kind -> new int[3]);
        tries++;
        row[0]++;
        if (one.status() / 100 == 2) {
            good++;
            served.computeIfAbsent(of.kind(), kind -> new ArrayList<>()).add(one.at() - of.at());
        } else if (one.status() == 503 || one.status() == 429) {
            row[1]++;
        } else {
            row[2]++;
        }
    }

    /** The part of the tries that were served. */
    public double share() {
        return tries == 0 ? 0 : (double) good / tries;
    }

    /** Prints a line a kind and a line an upstream. */
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
        counts.forEach((kind, row) -> {
            double[] times = served.getOrDefault(kind, List.of()).stream()
                    .mapToDouble(t -> t)
                    .toArray();
            Arrays.sort(times);
            out.printf(
                    Locale.ROOT,
                    "%-8s %7d %7d %8d %7d %10.1f %10.1f%n",
                    kind.name().toLowerCase(Locale.ROOT),
                    row[0],
                    times.length,
                    row[1],
                    row[2],
                    at(times, 0.5),
                    at(times, 0.99));
        });
        ran.forEach((upstream, number) -> out.printf(Locale.ROOT, "ran at %-32s %7d%n", upstream, number));
    }

    private static double at(double[] times, double part) {
        return times.length == 0 ? Double.NaN : times[(int) (part * (times.length - 1))];
    }
}
