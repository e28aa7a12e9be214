package sablehinge.gateway.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.event.Level;
import sablehinge.common.logging.LogTerms;
import sablehinge.dataplane.proxy.Version;
import sablehinge.policy.LoadBalancer.Repeat;

/** Tests the accepted content of operator files and the messages for invalid content. */
class OperatorFileTest {

    static final Path EXAMPLE = Path.of("deploy/operator.toml");
    private static final String MINIMAL =
            """
            [[class]]
            name = "tile"
            [[upstream]]
            id = "front-01"
            address = "127.0.0.1:9001"
            """;

    static OperatorFile.Checked parse(String text) {
        return OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> problems(String text) {
        return parse(text).problems().stream().map(problem -> problem.in("f")).toList();
    }

    private static void assertOnlyProblem(String expected, String text) {
        assertEquals(List.of(expected), problems(text));
    }

    @Test
    void acceptsExampleFile() {
        OperatorFile.Checked checked = OperatorFile.read(EXAMPLE);
        assertEquals(List.of(), checked.problems());
        assertEquals(3, checked.config().upstreams().size());
    }

    /** The comments of the example state that most of its values are the defaults. */
    @Test
    void exampleFileShowsDefaults() throws IOException {
        OperatorConfig example = OperatorFile.read(EXAMPLE).config();
        OperatorConfig defaults = parse(MINIMAL).config();
        assertEquals(example.limits(), defaults.limits());
        assertEquals(example.rules(), defaults.rules());
        assertEquals(example.change(), defaults.change());
        assertEquals(example.admin(), defaults.admin());
        assertEquals(example.listeners(), defaults.listeners());
        assertEquals(example.crossZonePrice(), defaults.crossZonePrice());
        assertEquals(example.worstClassWeight(), defaults.worstClassWeight());
        assertEquals(example.node().descriptors(), defaults.node().descriptors());
        assertEquals(example.node().state(), defaults.node().state());
    }

    @Test
    void acceptsMinimalFileOfFiveLines() {
        OperatorConfig config = parse(MINIMAL).config();
        assertNotNull(config);
        assertEquals(Repeat.AT_MOST_ONCE, config.classes().get(0).effect());
        List<String> zones = new ArrayList<>();
        Version version = config.version(7, zones, new ArrayList<>());
        assertEquals(7, version.number());
        assertEquals(List.of("tile"), version.classes());
        assertEquals(List.of("main"), zones);
        assertEquals(2_500, version.settings().classes().get(0).deadline());
    }

    @Test
    void disablesRecorderWithoutTableAndValidatesTable() {
        assertNull(parse(MINIMAL).config().recorder());
        assertEquals(1, parse(MINIMAL + "[recorder]\n").config().recorder().mib());
        assertOnlyProblem(
                "f:7: recorder.turn: 50ms is less than two ticks of 50ms", MINIMAL + "[recorder]\nturn = \"50ms\"\n");
        assertOnlyProblem(
                "f:7: recorder.ring-mib: 17 is out of range, expected 0.0625 to 16",
                MINIMAL + "[recorder]\nring-mib = 17\n");
        assertOnlyProblem("f:7: recorder.kep: unknown key, did you mean keep?", MINIMAL + "[recorder]\nkep = 3\n");
    }

    @Test
    void usesDefaultLogSettingsWithoutTableAndValidatesTable() {
        assertEquals(LogTerms.DEFAULT, parse(MINIMAL).config().log());
        assertEquals(
                new LogTerms(LogTerms.Format.JSON, Level.WARN, Map.of("http1", Level.DEBUG), 100_000),
                parse(MINIMAL + "[log]\nformat = \"json\"\nlevel = \"warn\"\nlimit = 100000\n"
                                + "[log.levels]\nhttp1 = \"debug\"\n")
                        .config()
                        .log());
        assertOnlyProblem("f:7: log.format: \"jsn\", did you mean json?", MINIMAL + "[log]\nformat = \"jsn\"\n");
        assertOnlyProblem(
                "f:7: log.limit: 100001 is out of range, expected 1 to 100000", MINIMAL + "[log]\nlimit = 100001\n");
        assertOnlyProblem(
                "f:7: log.levels.htp1: unknown key, did you mean http1?", MINIMAL + "[log.levels]\nhtp1 = \"debug\"\n");
    }

    /** Names keep their indices across versions, because learned state is stored by index. */
    @Test
    void keepsIndicesOfZonesAndKindsAcrossVersions() {
        List<String> zones = new ArrayList<>(List.of("old", "main"));
        List<String> kinds = new ArrayList<>();
        OperatorConfig config = parse(MINIMAL).config();
        assertEquals(1, config.version(1, zones, kinds).settings().zone());
        assertEquals(
                1, config.roster(1, zones, kinds).members().get(0).upstream().zone());
        assertEquals(List.of("old", "main"), zones);
    }

    @Test
    void assignsNewIdToServerWithChangedAddress() {
        long before = parse(MINIMAL)
                .config()
                .roster(1, new ArrayList<>(), new ArrayList<>())
                .members()
                .get(0)
                .upstream()
                .id();
        long after = parse(MINIMAL.replace("9001", "9002"))
                .config()
                .roster(2, new ArrayList<>(), new ArrayList<>())
                .members()
                .get(0)
                .upstream()
                .id();
        assertFalse(before == after);
    }

    @Test
    void reportsLineKeyAndExpectedValue() {
        assertOnlyProblem("f:1: clas: unknown key, did you mean class?", "clas = 1\n" + MINIMAL);
        assertOnlyProblem(
                "f:7: limits.attempts: 99 is out of range, expected 1 to 16", MINIMAL + "[limits]\nattempts = 99\n");
        assertOnlyProblem(
                "f:7: rules.drain-grace: expected a time with its unit such as \"250ms\", \"2.5s\" or \"1m\","
                        + " found 2",
                MINIMAL + "[rules]\ndrain-grace = 2\n");
        assertOnlyProblem(
                "f:7: node.descriptors: expected a whole number, found \"many\"",
                MINIMAL + "[node]\ndescriptors = \"many\"\n");
        assertOnlyProblem(
                "f:3: class[1].effect: \"kyed\", did you mean keyed?",
                MINIMAL.replace("\"tile\"\n", "\"tile\"\neffect = \"kyed\"\n"));
        assertOnlyProblem(
                "f:3: class[1].zones: no zone \"man\", did you mean main?",
                MINIMAL.replace("\"tile\"\n", "\"tile\"\nzones = [\"man\"]\n"));
        assertOnlyProblem(
                "f:7: admin.listen: is no loopback address, expected one such as \"127.0.0.1:9901\"",
                MINIMAL + "[admin]\nlisten = \"10.0.0.1:80\"\ntoken-file = \"t\"\n");
    }

    @Test
    void disablesBudgetsWithoutTableAndValidatesTable() {
        assertNull(parse(MINIMAL).config().budget());
        var part = parse(MINIMAL + "[budget]\nservice = \"store\"\nlast = true\n")
                .config()
                .budget();
        assertEquals(8, part.settings().maxAttempts());
        assertTrue(part.entry() && part.settings().lastTier() && part.keys().isEmpty());
        assertOnlyProblem("f:6: budget.service: is missing, expected a name", MINIMAL + "[budget]\nlast = true\n");
        String named = MINIMAL + "[budget]\nservice = \"store\"\n";
        assertOnlyProblem("f:8: budget.need: 9 is more than attempts, which is 8", named + "need = 9\n");
        assertOnlyProblem(
                "f:9: budget.need: 2 at the last tier, expected 1: one attempt there is one attempt",
                named + "last = true\nneed = 2\n");
        assertOnlyProblem("f:8: budget.unknown: 9 is out of range, expected 0 to 8", named + "unknown = 9\n");
        assertOnlyProblem("f:8: budget.kepd: unknown key, did you mean kept?", named + "kepd = 0.1\n");
        assertOnlyProblem(
                "f:12: budget.key[2].name: \"a b\" is no name, expected 1 to 64 letters, digits, '.', '_' or '-'",
                named + "[[budget.key]]\nname = \"a\"\nfile = \"f\"\n[[budget.key]]\nname = \"a b\"\n"
                        + "file = \"g\"\n");
    }

    @Test
    void rejectsDuplicateNamesAddressesAndServerSources() {
        assertOnlyProblem(
                "f:9: listener[2].address: is taken by another listener of this file",
                MINIMAL
                        + "[[listener]]\naddress = \"127.0.0.1:80\"\n[[listener]]\naddress = \"0.0.0.0:80\"\n"
                        + "name = \"b\"\n");
        assertOnlyProblem(
                "f:7: class[2].name: is the same as that of class[1]", MINIMAL + "[[class]]\nname = \"tile\"\n");
        assertOnlyProblem(
                "f:8: upstream[2].address: is the same as that of upstream[1]",
                MINIMAL + "[[upstream]]\nid = \"b\"\naddress = \"127.0.0.1:9001\"\n");
        assertOnlyProblem(
                "f:5: upstream[1].address: is one where this balancer listens, expected another server's",
                MINIMAL + "[[listener]]\naddress = \"0.0.0.0:9001\"\n");
        assertOnlyProblem(
                "f:1: discovery: cannot be combined with [[upstream]], expected one source of servers",
                "discovery = \"127.0.0.1:1\"\n" + MINIMAL);
    }

    @Test
    void reportsAllErrorsAtOnce() {
        assertEquals(
                3,
                problems(MINIMAL.replace("[[class]]", "[[class]]\ndeadline = 1\naim = 2") + "[limits]\nattempt = 3\n")
                        .size());
    }

    @Test
    void rejectsInvalidUtf8WithLine() {
        byte[] bytes = MINIMAL.getBytes(StandardCharsets.UTF_8);
        bytes[12] = (byte) 0xc3;
        assertEquals(
                "f:2: is not UTF-8 in this line, expected UTF-8 throughout",
                OperatorFile.parse(bytes).problems().get(0).in("f"));
    }

    @Test
    void ignoresBracketsInStringsAndCommentsForNestingLimit() {
        assertEquals(List.of(), problems(MINIMAL + ("# [[[[[ it's \"" + "\n").repeat(50)));
        assertOnlyProblem("f:6: brackets are nested more than 32 deep", MINIMAL + "x = " + "[".repeat(100_000));
    }

    /** Missing files, directories, broken links, devices and oversized files are reported without blocking. */
    @Test
    void rejectsPathsThatAreNotReadableRegularFiles(@TempDir Path directory) throws IOException {
        assertEquals("there is no such file", firstMessage(directory.resolve("absent")));
        assertEquals("is no regular file", firstMessage(directory));
        Path link = Files.createSymbolicLink(directory.resolve("link"), directory.resolve("gone"));
        assertEquals("is a broken symbolic link, expected a file", firstMessage(link));
        assertEquals("is no regular file", firstMessage(Path.of("/dev/zero")));
        Path large = directory.resolve("large");
        try (var file = new java.io.RandomAccessFile(large.toFile(), "rw")) {
            file.setLength(100_000_000);
        }
        assertEquals("has 100000000 bytes, expected 1048576 at most", firstMessage(large));
    }

    private static String firstMessage(Path path) {
        return OperatorFile.read(path).problems().get(0).message();
    }

    @Test
    void acceptsFileOfMaximumSize() {
        StringBuilder text = new StringBuilder(MINIMAL);
        text.append("#".repeat(OperatorFile.MAX_BYTES - text.length()));
        assertEquals(List.of(), problems(text.toString()));
        assertEquals(1, problems(text.append("#").toString()).size());
    }

    @Test
    void reportsFirstHundredProblemsAndCountsTheRest() {
        StringBuilder text = new StringBuilder(MINIMAL);
        for (int i = 0; i < 150; i++) {
            text.append("[[upstream]]\nid = \"s").append(i).append("\"\naddress = \"x\"\n");
        }
        List<Problem> problems = parse(text.toString()).problems();
        assertEquals(101, problems.size());
        assertEquals("and 50 more", problems.get(100).message());
        assertNull(parse(text.toString()).config());
        assertTrue(problems.get(0).line() > 0);
    }
}
