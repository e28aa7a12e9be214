package sablehinge.controlplane.raft;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;

/**
 * Plays the core's agreement under random faults, seed by seed, and says what broke: cuts, losses of power and of
 * disks, stalls, messages lost, doubled and overtaken. A seed that broke is played again with
 * {@code -Dwatermaster.first=SEED -Dwatermaster.seeds=1} by {@link RaftNodeRandomTest}.
 */
public final class AgreementBench {

    private static final int USUAL = 2_000;
    private static final double NANOS_PER_S = 1e9;
    private static final double MS_PER_H = 3_600_000;
    private static final int SHOWN = 10;

    private AgreementBench() {}

    /** Arguments: how many seeds, and the first one. */
    public static void main(String[] arguments) {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : USUAL;
        long first = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        LongAdder committed = new LongAdder();
        LongAdder changes = new LongAdder();
        LongAdder events = new LongAdder();
        List<String> breaches = Collections.synchronizedList(new ArrayList<>());
        long from = System.nanoTime();
        LongStream.range(first, first + seeds).parallel().forEach(seed -> {
            try {
                SimulatedCluster cluster = RaftNodeRandomTest.play(seed);
                committed.add(cluster.committed.size());
                changes.add(cluster.memberChanges);
                events.add(cluster.events);
            } catch (AssertionError e) {
                breaches.add("seed " + seed + ": " + e.getMessage());
            }
        });
        double seconds = (System.nanoTime() - from) / NANOS_PER_S;
        breaches.stream().limit(SHOWN).forEach(System.out::println);
        System.out.printf("%-10s %12s %12s %12s %10s%n", "seeds", "events", "committed", "changes", "breaches");
        System.out.printf(
                "%-10d %12d %12d %12d %10d%n", seeds, events.sum(), committed.sum(), changes.sum(), breaches.size());
        System.out.printf(
                "{\"seeds\":%d,\"events\":%d,\"committed\":%d,\"changes\":%d,\"breaches\":%d,"
                        + "\"seconds\":%.1f,\"simulated_hours\":%.2f}%n",
                seeds,
                events.sum(),
                committed.sum(),
                changes.sum(),
                breaches.size(),
                seconds,
                seeds * RaftNodeRandomTest.DURATION_MS / MS_PER_H);
    }
}
