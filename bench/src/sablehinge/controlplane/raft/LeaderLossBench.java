package sablehinge.controlplane.raft;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * How long the core is without a leader, in virtual time, over many seeds: the agreement alone, with disks that sync in
 * 1 to 1.5 ms, so that the figures are the same on any machine. What processes, class loading and real disks add is
 * {@code bench/run recovery}'s.
 */
final class LeaderLossBench {

    private static final int USUAL_SEEDS = 1_000;
    private static final int[] SIZES = {3, 5};
    private static final double MEDIAN = 0.5;
    private static final double HIGH = 0.99;

    private LeaderLossBench() {}

    /** Argument: how many seeds (1,000) for each kind of loss. */
    public static void main(String[] arguments) {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : USUAL_SEEDS;
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("seeds", seeds);
        System.out.printf(
                Locale.ROOT,
                "%-10s %-8s %28s %28s%n",
                "loss",
                "machines",
                "ms unled: p50, p99, most",
                "ms to strength: p50, p99, most");
        for (int size : SIZES) {
            for (LeaderLoss.Kind kind : LeaderLoss.Kind.values()) {
                List<LeaderLoss.Outcome> all = LongStream.rangeClosed(1, seeds)
                        .parallel()
                        .mapToObj(seed -> new LeaderLoss(seed, size).play(kind))
                        .toList();
                ObjectNode row = json.putObject(kind.name().toLowerCase(Locale.ROOT) + "_" + size);
                System.out.printf(
                        Locale.ROOT,
                        "%-10s %-8d %s %s%n",
                        kind.name().toLowerCase(Locale.ROOT),
                        size,
                        figures(all, LeaderLoss.Outcome::unled, row.putObject("unled_ms")),
                        figures(all, LeaderLoss.Outcome::back, row.putObject("strength_ms")));
            }
        }
        System.out.println(json);
    }

    private static String figures(
            List<LeaderLoss.Outcome> all, ToDoubleFunction<LeaderLoss.Outcome> of, ObjectNode into) {
        double[] sorted = all.stream().mapToDouble(of).sorted().toArray();
        long median = Math.round(sorted[index(sorted, MEDIAN)]);
        long high = Math.round(sorted[index(sorted, HIGH)]);
        long most = Math.round(sorted[sorted.length - 1]);
        into.put("p50", median).put("p99", high).put("most", most);
        return String.format(Locale.ROOT, "%8d %9d %9d", median, high, most);
    }

    /** The least of the values that so large a part does not exceed. */
    private static int index(double[] sorted, double part) {
        return (int) Math.max(0, Math.ceil(part * sorted.length) - 1);
    }
}
