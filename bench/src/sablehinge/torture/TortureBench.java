package sablehinge.torture;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Plays many seeds on the real classes, where nothing may be violated, and then the same seeds on copies of them with
 * one fault each, which must all be found: a rig that finds nothing shows nothing.
 */
public final class TortureBench {

    private static final long RUNS = 200_000;
    private static final long BLOCK = 20_000;
    private static final long MUTANT_RUNS = 20_000;

    private TortureBench() {}

    /** {@code [RUNS [MUTANT-RUNS [NAME]]]}: where a name is given, only the mutants that have it in theirs. */
    public static void main(String[] arguments) throws Exception {
        long runs = arguments.length > 0 ? Long.parseLong(arguments[0]) : RUNS;
        long mutantRuns = arguments.length > 1 ? Long.parseLong(arguments[1]) : MUTANT_RUNS;
        int threads = Runtime.getRuntime().availableProcessors();
        long begun = System.nanoTime();
        List<String> violations = new ArrayList<>();
        for (long from = 0; from < runs; from += BLOCK) {
            // A run of many minutes says how far it has come, in case it is cut off.
            long to = Math.min(runs, from + BLOCK);
            violations.addAll(Rig.play(from, to, threads, Integer.MAX_VALUE));
            System.out.printf(
                    Locale.ROOT,
                    "%d plays, %d violated, %.0f s%n",
                    to,
                    violations.size(),
                    (System.nanoTime() - begun) / 1e9);
        }
        double seconds = (System.nanoTime() - begun) / 1e9;
        violations.stream().limit(20).forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%d plays on %d threads in %.0f s, %d violated%n",
                runs,
                threads,
                seconds,
                violations.size());
        System.out.printf(Locale.ROOT, "%-52s %-24s %s%n", "fault", "in", "found by, cut down");
        int found = 0;
        List<Mutant> mutants = Mutant.ALL.stream()
                .filter(mutant -> arguments.length < 3 || mutant.name().contains(arguments[2]))
                .toList();
        for (Mutant mutant : mutants) {
            MutantLoader loader = MutantLoader.of(mutant, Path.of("src/main/java"));
            String by = (String) loader.loadClass(Rig.class.getName())
                    .getMethod("hunt", long.class, int.class)
                    .invoke(null, mutantRuns, threads);
            found += by == null ? 0 : 1;
            System.out.printf(
                    Locale.ROOT, "%-52s %-24s %s%n", mutant.name(), mutant.in(), by == null ? "NOT FOUND" : by);
        }
        ObjectNode json = JsonMapper.builder().build().createObjectNode();
        json.put("runs", runs);
        json.put("violations", violations.size());
        json.put("mutants", mutants.size());
        json.put("mutants_found", found);
        json.put("seconds", Math.round((System.nanoTime() - begun) / 1e8) / 10.0);
        json.put("threads", threads);
        System.out.println(json);
        System.exit(violations.isEmpty() && found == mutants.size() ? 0 : 1);
    }
}
