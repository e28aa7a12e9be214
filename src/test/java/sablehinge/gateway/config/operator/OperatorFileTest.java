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

/** What an operator file may say, and how what it may not say is reported. */
class OperatorFileTest {

    static final Path EXAMPLE = Path.of("deploy/operator.toml");
    private static final String SHORT =
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

    private static void only(String expected, String text) {
        assertEquals(List.of(expected), problems(text));
    }

    @Test
    void theExampleIsRight() {
        OperatorFile.Checked checked = OperatorFile.read(EXAMPLE);
        assertEquals(List.of(), checked.problems());
        assertEquals(3, checked.config().upstreams().size());
    }

    /** The example says of most values that they are the defaults. */
    @Test
    void theExampleShowsTheDefaults() throws IOException {
        OperatorConfig shown = OperatorFile.read(EXAMPLE).config();
        OperatorConfig fallback = parse(SHORT).config();
        assertEquals(shown.limits(), fallback.limits());
        assertEquals(shown.rules(), fallback.rules());
        assertEquals(shown.change(), fallback.change());
        assertEquals(shown.admin(), fallback.admin());
        assertEquals(shown.listeners(), fallback.listeners());
        assertEquals(shown.crossZonePrice(), fallback.crossZonePrice());
        assertEquals(shown.worstClassWeight(), fallback.worstClassWeight());
        assertEquals(shown.node().descriptors(), fallback.node().descriptors());
        assertEquals(shown.node().state(), fallback.node().state());
    }

    @Test
    void fiveLinesAreEnough() {
        OperatorConfig config = parse(SHORT).config();
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
    void theRecorderIsOffWithoutItsTableAndCheckedWithIt() {
        assertNull(parse(SHORT).config().recorder());
        assertEquals(1, parse(SHORT + "[recorder]\n").config().recorder().mib());
        only("f:7: recorder.turn: 50ms is less than two ticks of 50ms", SHORT + "[recorder]\nturn = \"50ms\"\n");
        only(
                "f:7: recorder.ring-mib: 17 is out of range, expected 0.0625 to 16",
                SHORT + "[recorder]\nring-mib = 17\n");
        only("f:7: recorder.kep: unknown key, did you mean keep?", SHORT + "[recorder]\nkep = 3\n");
    }

    @Test
    void theLogIsAsEverWithoutItsTableAndCheckedWithIt() {
        assertEquals(LogTerms.DEFAULT, parse(SHORT).config().log());
        assertEquals(
                new LogTerms(LogTerms.Format.JSON, Level.WARN, Map.of("http1", Level.DEBUG), 100_000),
                parse(SHORT + "[log]\nformat = \"json\"\nlevel = \"warn\"\nlimit = 100000\n"
                                + "[log.levels]\nhttp1 = \"debug\"\n")
                        .config()
                        .log());
        only("f:7: log.format: \"jsn\", did you mean json?", SHORT + "[log]\nformat = \"jsn\"\n");
        only("f:7: log.limit: 100001 is out of range, expected 1 to 100000", SHORT + "[log]\nlimit = 100001\n");
        only("f:7: log.levels.htp1: unknown key, did you mean http1?", SHORT + "[log.levels]\nhtp1 = \"debug\"\n");
    }

    /** Names keep their numbers over versions, as what was learnt hangs on them. */
    @Test
    void zonesAndKindsKeepTheirNumbers() {
        List<String> zones = new ArrayList<>(List.of("old", "main"));
        List<String> kinds = new ArrayList<>();
        OperatorConfig config = parse(SHORT).config();
        assertEquals(1, config.version(1, zones, kinds).settings().zone());
        assertEquals(
                1, config.roster(1, zones, kinds).members().get(0).upstream().zone());
        assertEquals(List.of("old", "main"), zones);
    }

    @Test
    void aServerThatMovesIsAnotherServer() {
        long before = parse(SHORT)
                .config()
                .roster(1, new ArrayList<>(), new ArrayList<>())
                .members()
                .get(0)
                .upstream()
                .id();
        long after = parse(SHORT.replace("9001", "9002"))
                .config()
                .roster(2, new ArrayList<>(), new ArrayList<>())
                .members()
                .get(0)
                .upstream()
                .id();
        assertFalse(before == after);
    }

    @Test
    void errorsNameLineKeyAndWhatWasExpected() {
        only("f:1: clas: unknown key, did you mean class?", "clas = 1\n" + SHORT);
        only("f:7: limits.attempts: 99 is out of range, expected 1 to 16", SHORT + "[limits]\nattempts = 99\n");
        only(
                "f:7: rules.drain-grace: expected a time with its unit such as \"250ms\", \"2.5s\" or \"1m\","
                        + " found 2",
                SHORT + "[rules]\ndrain-grace = 2\n");
        only(
                "f:7: node.descriptors: expected a whole number, found \"many\"",
                SHORT + "[node]\ndescriptors = \"many\"\n");
        only(
                "f:3: class[1].effect: \"kyed\", did you mean keyed?",
                SHORT.replace("\"tile\"\n", "\"tile\"\neffect = \"kyed\"\n"));
        only(
                "f:3: class[1].zones: no zone \"man\", did you mean main?",
                SHORT.replace("\"tile\"\n", "\"tile\"\nzones = [\"man\"]\n"));
        only(
                "f:7: admin.listen: is no loopback address, expected one such as \"127.0.0.1:9901\"",
                SHORT + "[admin]\nlisten = \"10.0.0.1:80\"\ntoken-file = \"t\"\n");
    }

    @Test
    void budgetsAreOffWithoutTheirTableAndCheckedWithIt() {
        assertNull(parse(SHORT).config().budget());
        var part = parse(SHORT + "[budget]\nservice = \"store\"\nlast = true\n")
                .config()
                .budget();
        assertEquals(8, part.terms().attempts());
        assertTrue(part.entry() && part.terms().last() && part.keys().isEmpty());
        only("f:6: budget.service: is missing, expected a name", SHORT + "[budget]\nlast = true\n");
        String named = SHORT + "[budget]\nservice = \"store\"\n";
        only("f:8: budget.need: 9 is more than attempts, which is 8", named + "need = 9\n");
        only(
                "f:9: budget.need: 2 at the last tier, expected 1: one attempt there is one attempt",
                named + "last = true\nneed = 2\n");
        only("f:8: budget.unknown: 9 is out of range, expected 0 to 8", named + "unknown = 9\n");
        only("f:8: budget.kepd: unknown key, did you mean kept?", named + "kepd = 0.1\n");
        only(
                "f:12: budget.key[2].name: \"a b\" is no name, expected 1 to 64 letters, digits, '.', '_' or '-'",
                named + "[[budget.key]]\nname = \"a\"\nfile = \"f\"\n[[budget.key]]\nname = \"a b\"\n"
                        + "file = \"g\"\n");
    }

    @Test
    void whatStandsForTwoThingsIsRefused() {
        only(
                "f:9: listener[2].address: is taken by another listener of this file",
                SHORT
                        + "[[listener]]\naddress = \"127.0.0.1:80\"\n[[listener]]\naddress = \"0.0.0.0:80\"\n"
                        + "name = \"b\"\n");
        only("f:7: class[2].name: is the same as that of class[1]", SHORT + "[[class]]\nname = \"tile\"\n");
        only(
                "f:8: upstream[2].address: is the same as that of upstream[1]",
                SHORT + "[[upstream]]\nid = \"b\"\naddress = \"127.0.0.1:9001\"\n");
        only(
                "f:5: upstream[1].address: is one where this balancer listens, expected another server's",
                SHORT + "[[listener]]\naddress = \"0.0.0.0:9001\"\n");
        only(
                "f:1: discovery: stands beside [[upstream]], expected one source of servers",
                "discovery = \"127.0.0.1:1\"\n" + SHORT);
    }

    @Test
    void everyErrorIsToldAtOnce() {
        assertEquals(
                3,
                problems(SHORT.replace("[[class]]", "[[class]]\ndeadline = 1\naim = 2") + "[limits]\nattempt = 3\n")
                        .size());
    }

    @Test
    void bytesThatAreNoTextAreRefusedWithTheirLine() {
        byte[] bytes = SHORT.getBytes(StandardCharsets.UTF_8);
        bytes[12] = (byte) 0xc3;
        assertEquals(
                "f:2: is not UTF-8 in this line, expected UTF-8 throughout",
                OperatorFile.parse(bytes).problems().get(0).in("f"));
    }

    @Test
    void bracketsInTextsAndCommentsDontNest() {
        assertEquals(List.of(), problems(SHORT + ("# [[[[[ it's \"" + "\n").repeat(50)));
        only("f:6: brackets are nested more than 32 deep", SHORT + "x = " + "[".repeat(100_000));
    }

    /** What can't be opened, doesn't end or leads nowhere is reported and not waited for. */
    @Test
    void filesThatAreNoneAreRefused(@TempDir Path folder) throws IOException {
        assertEquals("there is no such file", first(folder.resolve("absent")));
        assertEquals("is no regular file", first(folder));
        Path link = Files.createSymbolicLink(folder.resolve("link"), folder.resolve("gone"));
        assertEquals("is a link to nothing, expected a file", first(link));
        assertEquals("is no regular file", first(Path.of("/dev/zero")));
        Path large = folder.resolve("large");
        try (var file = new java.io.RandomAccessFile(large.toFile(), "rw")) {
            file.setLength(100_000_000);
        }
        assertEquals("has 100000000 bytes, expected 1048576 at most", first(large));
    }

    private static String first(Path path) {
        return OperatorFile.read(path).problems().get(0).message();
    }

    @Test
    void aFileOfTheGreatestSizeIsRead() {
        StringBuilder text = new StringBuilder(SHORT);
        text.append("#".repeat(OperatorFile.MAX_BYTES - text.length()));
        assertEquals(List.of(), problems(text.toString()));
        assertEquals(1, problems(text.append("#").toString()).size());
    }

    @Test
    void aHundredProblemsAreShownAndTheRestCounted() {
        StringBuilder text = new StringBuilder(SHORT);
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
