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
 * The example, spoilt in thousands of ways by seed: each is refused with a place, or read without error into a
 * configuration that makes a version. Nothing else may come out, and never an exception.
 */
class MutatedFileTest {

    private static final int FILES = 2_000;

    /** One way to spoil a file. */
    private interface Mutation {
        byte[] apply(List<String> lines, SplittableRandom random);
    }

    private static byte[] text(List<String> lines) {
        return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    }

    private static int setting(List<String> lines, SplittableRandom random) {
        while (true) {
            int at = random.nextInt(lines.size());
            if (lines.get(at).matches("[a-z-]+ = .*")) {
                return at;
            }
        }
    }

    private static byte[] value(List<String> lines, SplittableRandom random, String... values) {
        int at = setting(lines, random);
        String key = lines.get(at).split(" = ")[0];
        lines.set(at, key + " = " + values[random.nextInt(values.length)]);
        return text(lines);
    }

    /** Those of which every one must be refused. */
    private static final Map<String, Mutation> BAD = new TreeMap<>(Map.of(
            "unknown key",
                    (lines, random) -> {
                        int at = setting(lines, random);
                        String line = lines.get(at);
                        int cut = random.nextInt(line.indexOf(' ') + 1);
                        lines.set(at, line.substring(0, cut) + "q" + line.substring(cut));
                        return text(lines);
                    },
            "wrong type", (lines, random) -> value(lines, random, "[[1]]", "{ a = 1 }", "1979-05-27", "[true]"),
            "duplicate key",
                    (lines, random) -> {
                        int at = setting(lines, random);
                        lines.add(at, lines.get(at));
                        return text(lines);
                    },
            "invalid UTF-8",
                    (lines, random) -> {
                        byte[] bytes = text(lines);
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
                        return text(lines);
                    },
            "unclosed text",
                    (lines, random) -> {
                        int at;
                        do {
                            at = setting(lines, random);
                        } while (!lines.get(at).matches("[a-z-]+ = \"[^\"]*\".*"));
                        lines.set(at, lines.get(at).replaceFirst("\" *(#.*)?$", ""));
                        return text(lines);
                    }));

    /** Those that may happen to be harmless. */
    private static final Map<String, Mutation> ANY = new TreeMap<>(Map.of(
            "odd value",
                    (lines, random) -> value(
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
                        return text(lines);
                    },
            "line twice",
                    (lines, random) -> {
                        lines.add(random.nextInt(lines.size()), lines.get(random.nextInt(lines.size())));
                        return text(lines);
                    },
            "lines swapped",
                    (lines, random) -> {
                        int one = random.nextInt(lines.size());
                        lines.set(one, lines.set(random.nextInt(lines.size()), lines.get(one)));
                        return text(lines);
                    },
            "cut short",
                    (lines, random) -> {
                        byte[] bytes = text(lines);
                        return java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
                    },
            "byte changed",
                    (lines, random) -> {
                        byte[] bytes = text(lines);
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
                        return text(lines);
                    }));

    @Test
    void eachIsRefusedWithAPlaceOrHarmless() throws IOException {
        List<String> example = Files.readAllLines(OperatorFileTest.EXAMPLE);
        Map<String, int[]> counts = new TreeMap<>();
        List<Map.Entry<String, Mutation>> all = new ArrayList<>(BAD.entrySet());
        all.addAll(ANY.entrySet());
        for (long seed = 0; seed < FILES; seed++) {
            Map.Entry<String, Mutation> mutation = all.get((int) (seed % all.size()));
            byte[] bytes = mutation.getValue().apply(new ArrayList<>(example), new SplittableRandom(seed));
            String what = "seed " + seed + ", " + mutation.getKey();
            OperatorFile.Checked checked = OperatorFile.parse(bytes);
            int[] count = counts.computeIfAbsent(mutation.getKey(), name -> new int[2]);
            if (checked.config() == null) {
                count[0]++;
                assertTrue(!checked.problems().isEmpty(), what);
                checked.problems().forEach(problem -> assertPlain(problem, what));
            } else {
                count[1]++;
                assertEquals(List.of(), checked.problems(), what);
                List<String> zones = new ArrayList<>();
                List<String> kinds = new ArrayList<>();
                Version version = checked.config().version(1, zones, kinds);
                checked.config().roster(1, zones, kinds);
                assertTrue(!version.classes().isEmpty(), what);
            }
        }
        counts.forEach((name, count) -> System.out.printf("%-15s refused %d, harmless %d%n", name, count[0], count[1]));
        BAD.keySet().forEach(name -> assertEquals(0, counts.get(name)[1], name + " was let through"));
    }

    /** One line, with a place unless it counts what is not shown, and nothing of the program's inside. */
    private static void assertPlain(Problem problem, String what) {
        String line = problem.in("f");
        assertTrue(line.chars().noneMatch(Character::isISOControl), what + ": " + line);
        assertTrue(line.length() < 1_000 && !line.contains("Exception"), what + ": " + line);
        assertTrue(problem.line() > 0 || problem.message().startsWith("and "), what + ": " + line);
    }
}
