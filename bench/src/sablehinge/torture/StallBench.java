package sablehinge.torture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** What the watch inside the process finds of stalls that are put into copies of the real classes. */
public final class StallBench {

    private static final double MS_PER_HOUR = 3.6e6;

    private StallBench() {}

    /** Plays so many seeds on the real classes, where it may find nothing, and on each of the copies. */
    public static void run(long plays, ObjectNode json) throws Exception {
        int threads = Runtime.getRuntime().availableProcessors();
        List<String> sound = Rig.watched(0, plays, threads, null, Integer.MAX_VALUE);
        double hours = Long.parseLong(sound.get(0)) / MS_PER_HOUR;
        sound.stream().skip(1).forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%-44s %10d in %.1f hours of virtual time, %d plays%n",
                "alarms without a stall",
                sound.size() - 1,
                hours,
                plays);
        int detected = 0;
        for (Mutant stall : Mutant.STALLS) {
            List<?> found = (List<?>) MutantLoader.of(stall, Path.of("src/main/java"))
                    .loadClass(Rig.class.getName())
                    .getMethod("watched", long.class, long.class, int.class, String.class, int.class)
                    .invoke(null, 0L, plays, threads, stall.name().split(" ")[0], 1);
            detected += found.size() > 1 ? 1 : 0;
            System.out.printf(Locale.ROOT, "%-44s %s%n", stall.name(), found.size() > 1 ? found.get(1) : "NOT FOUND");
        }
        json.put("detected", detected);
        json.put("seeded", Mutant.STALLS.size());
        json.put("false_alarms", sound.size() - 1);
        json.put("watched_hours", Math.round(hours * 10) / 10.0);
    }
}
