package sablehinge.gateway.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.proxy.Version;

/**
 * Parses thousands of seeded mutations of the example. Each must either be rejected with the position of the error or
 * yield a configuration from which a version can be built; none may throw an exception.
 */
class MutatedFileTest {

    private static final int MUTATED_FILES = 2_000;

    /** One kind of mutation of a file. */
    private interface Mutation {
        byte[] apply(List<String> lines, SplittableRandom random);
    }

    private static byte[] joinLines(List<String> lines) {
        return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    private static int randomSettingLine(List<String> lines, SplittableRandom random) {
        while (true) {
            int at = random.nextInt(lines.size());
            if (lines.get(at).matches("[a-z-]+ = .*")) {
                return at;
            }
        }
    }

    private static byte[] replaceValue(List<String> lines, SplittableRandom random, String... values) {
        int at = randomSettingLine(lines, random);
        String key = lines.get(at).split(" = ")[0];
        lines.set(at, key + " = " + values[random.nextInt(values.length)]);
        return joinLines(lines);
    }

    /** Mutations whose result must always be rejected. */
    private static final Map<String, Mutation> ALWAYS_INVALID = new TreeMap<>(Map.of(
            "unknown key",
                    (lines, random) -> {
                        int at = randomSettingLine(lines, random);
                        String line = lines.get(at);
                        int cut = random.nextInt(line.indexOf(' ') + 1);
                        lines.set(at, line.substring(0, cut) + "q" + line.substring(cut));
                        return joinLines(lines);
                    },
            "wrong type", (lines, random) -> replaceValue(lines, random, "[[1]]", "{ a = 1 }", "1979-05-27", "[true]"),
            "duplicate key",
                    (lines, random) -> {
                        int at = randomSettingLine(lines, random);
                        lines.add(at, lines.get(at));
                        return joinLines(lines);
                    },
            "invalid UTF-8",
                    (lines, random) -> {
                        byte[] bytes = joinLines(lines);
                        bytes[random.nextInt(bytes.length)] = (byte) (0xf8 + random.nextInt(8));
                        return bytes;
                    },
            "broken table",
                    (lines, random) -> {
                        int at;
                        do {
                            at = random.nextInt(lines.size());
                        } while (!lines.get(at).startsWith("["));
                        lines.set(at, lines.get(at).substring(0, lines.get(at).length() - 1));
                        return joinLines(lines);
                    },
            "unclosed text",
                    (lines, random) -> {
                        int at;
                        do {
                            at = randomSettingLine(lines, random);
                        } while (!lines.get(at).matches("[a-z-]+ = \"[^\"]*\".*"));
                        lines.set(at, lines.get(at).replaceFirst("\" *(#.*)?$", ""));
                        return joinLines(lines);
                    }));

    /** Mutations whose result may still be valid. */
    private static final Map<String, Mutation> POSSIBLY_VALID = new TreeMap<>(Map.of(
            "odd value",
                    (lines, random) -> replaceValue(
                            lines,
                            random,
                            "0",
                            "-1",
                            "nan",
                            "inf",
                            "1e400",
                            "\"\"",
                            "9223372036854775807",
                            "\"\\u0000\"",
                            "\"\\n\"",
                            "\"1s\"",
                            "\"1 fortnight\"",
                            "true",
                            "[]",
                            "\"" + "x".repeat(100_000) + "\"",
                            "\"127.0.0.1:8080\"",
                            "\"keyed\"",
                            "99999999999999999999"),
            "line lost",
                    (lines, random) -> {
                        lines.remove(random.nextInt(lines.size()));
                        return joinLines(lines);
                    },
            "line twice",
                    (lines, random) -> {
                        lines.add(random.nextInt(lines.size()), lines.get(random.nextInt(lines.size())));
                        return joinLines(lines);
                    },
            "lines swapped",
                    (lines, random) -> {
                        int first = random.nextInt(lines.size());
                        lines.set(first, lines.set(random.nextInt(lines.size()), lines.get(first)));
                        return joinLines(lines);
                    },
            "cut short",
                    (lines, random) -> {
                        byte[] bytes = joinLines(lines);
                        return java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
                    },
            "byte changed",
                    (lines, random) -> {
                        byte[] bytes = joinLines(lines);
                        for (int i = random.nextInt(5); i >= 0; i--) {
                            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                        }
                        return bytes;
                    },
            "brackets",
                    (lines, random) -> {
                        lines.add(
                                random.nextInt(lines.size()),
                                "[{\"'".substring(random.nextInt(4)).repeat(random.nextInt(2_000)));
                        return joinLines(lines);
                    }));

    @Test
    void rejectsMutatedFilesWithPositionOrBuildsVersion() throws IOException {
        List<String> example = Files.readAllLines(OperatorFileTest.EXAMPLE);
        Map<String, int[]> counts = new TreeMap<>();
        List<Map.Entry<String, Mutation>> all = new ArrayList<>(ALWAYS_INVALID.entrySet());
        all.addAll(POSSIBLY_VALID.entrySet());
        for (long seed = 0; seed < MUTATED_FILES; seed++) {
            Map.Entry<String, Mutation> mutation = all.get((int) (seed % all.size()));
            byte[] bytes = mutation.getValue().apply(new ArrayList<>(example), new SplittableRandom(seed));
            String context = "seed " + seed + ", " + mutation.getKey();
            OperatorFile.Checked checked = OperatorFile.parse(bytes);
            int[] count = counts.computeIfAbsent(mutation.getKey(), name -> new int[2]);
            if (checked.config() == null) {
                count[0]++;
                assertTrue(!checked.problems().isEmpty(), context);
                checked.problems().forEach(problem -> assertOneLineWithPosition(problem, context));
            } else {
                count[1]++;
                assertEquals(List.of(), checked.problems(), context);
                List<String> zones = new ArrayList<>();
                List<String> kinds = new ArrayList<>();
                Version version = checked.config().version(1, zones, kinds);
                checked.config().roster(1, zones, kinds);
                assertTrue(!version.classes().isEmpty(), context);
            }
        }
        counts.forEach((name, count) -> System.out.printf("%-15s rejected %d, valid %d%n", name, count[0], count[1]));
        ALWAYS_INVALID.keySet().forEach(name -> assertEquals(0, counts.get(name)[1], name + " was accepted"));
    }

    /**
     * Asserts that a message is one line without exception names, with a line number unless it counts omitted problems.
     */
    private static void assertOneLineWithPosition(Problem problem, String context) {
        String line = problem.in("f");
        assertTrue(line.chars().noneMatch(Character::isISOControl), context + ": " + line);
        assertTrue(line.length() < 1_000 && !line.contains("Exception"), context + ": " + line);
        assertTrue(problem.line() > 0 || problem.message().startsWith("and "), context + ": " + line);
    }
}
