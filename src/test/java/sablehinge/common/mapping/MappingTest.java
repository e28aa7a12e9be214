package sablehinge.common.mapping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class MappingTest {

    private static final Mapping NONE = new Mapping(List.of());

    private static RequestAttributes request(String method, String target) {
        return new RequestAttributes(method, "tiles.example", target, "10.0.0.1", Map.of("x-partner", "council-7"));
    }

    private static Rule rule(String path, String serviceClass, String key) {
        PathPattern pattern = new PathPattern(path);
        return new Rule(
                null,
                null,
                pattern,
                null,
                null,
                new Template(serviceClass, pattern.names()),
                new Template(key, pattern.names()),
                new Template("", Set.of()),
                0,
                -1);
    }

    private static MappedRequest by(String path, String key, String target) {
        return new Mapping(List.of(rule(path, "c", key))).map(request("GET", target));
    }

    @Test
    void withoutRulesFirstSegmentIsClassAndSecondIsKey() {
        assertEquals(new MappedRequest("tile", "12", "", 0, -1), NONE.map(request("GET", "/tile/12/more?z=3")));
        assertEquals(new MappedRequest("tile", "12", "", 0, -1), NONE.map(request("GET", "/tile/12")));
        assertEquals(new MappedRequest("tile", "", "", 0, -1), NONE.map(request("GET", "/tile?z=/3")));
        assertEquals(new MappedRequest("tile", "", "", 0, -1), NONE.map(request("GET", "/tile/")));
        for (String target : List.of("/", "//x", "/?a=/b", "*", "", "example:443")) {
            assertNull(NONE.map(request("GET", target)), target);
        }
    }

    @Test
    void extractsNamedSegmentsOfPath() {
        assertEquals(
                "7-3-5",
                by("/tiles/{z}/{x}/{y}.png", "{z}-{x}-{y}", "/tiles/7/3/5.png?v=1")
                        .key());
        assertEquals("5", by("/t/*/{y}", "{y}", "/t/anything/5").key());
        assertEquals("a/b/c", by("/t/{rest...}", "{rest}", "/t/a/b/c").key());
        assertEquals("", by("/t/{rest...}", "{rest}", "/t").key());
        assertEquals("", by("/t/**", "", "/t/a/b").key());
        assertEquals("", by("/**", "", "/").key());
        for (String other : List.of(
                "/tiles/7/3", "/tiles/7/3/5", "/tiles/7/3/.png", "/tiles/7/3/5.png/x", "/tile/7/3/5.png", "*")) {
            assertNull(by("/tiles/{z}/{x}/{y}.png", "", other), other);
        }
        assertNull(by("/t/{rest...}", "", "/tt"));
        assertNull(by("/t/{a}", "", "/t/"));
    }

    @Test
    void firstMatchingRuleWins() {
        Rule first = rule("/t/{a}", "first", "");
        Rule second = rule("/t/**", "second", "");
        assertEquals(
                "first",
                new Mapping(List.of(first, second)).map(request("GET", "/t/1")).serviceClass());
        assertEquals(
                "second",
                new Mapping(List.of(first, second))
                        .map(request("GET", "/t/1/2"))
                        .serviceClass());
        assertEquals(
                "second",
                new Mapping(List.of(second, first)).map(request("GET", "/t/1")).serviceClass());
        assertNull(new Mapping(List.of(first, second)).map(request("GET", "/u")));
    }

    @Test
    void ruleRequiresAllConditions() {
        Template fixed = new Template("c", Set.of());
        Rule.Named header = new Rule.Named("x-partner", new Glob("council-*"));
        Rule.Named query = new Rule.Named("f", new Glob("png"));
        Template tenant = new Template("{header.X-Partner}", Set.of());
        Template key = new Template("{method} {host} {path} {caller} {query.k}{query.none}", Set.of());
        Mapping all = new Mapping(List.of(new Rule(
                Set.of("GET", "HEAD"), new Glob("*.example"), null, header, query, fixed, key, tenant, 1_500, 64)));
        assertEquals(
                new MappedRequest("c", "HEAD tiles.example /a 10.0.0.1 7", "council-7", 1_500, 64),
                all.map(request("HEAD", "/a?f=png&k=7")));
        assertNull(all.map(request("POST", "/a?f=png")));
        assertNull(all.map(request("GET", "/a?f=jpg")));
        assertNull(all.map(request("GET", "/a?ff=png")));
        assertNull(
                all.map(new RequestAttributes("GET", "tiles.other", "/a?f=png", "", Map.of("x-partner", "council-7"))));
        assertNull(all.map(new RequestAttributes("GET", null, "/a?f=png", "", Map.of("x-partner", "council-7"))));
        assertNull(all.map(new RequestAttributes("GET", "a.example", "/a?f=png", "", Map.of())));
    }

    @Test
    void emptyClassIsNoMatch() {
        Mapping byQuery = new Mapping(List.of(new Rule(
                null,
                null,
                null,
                null,
                null,
                new Template("{query.class}", Set.of()),
                new Template("", Set.of()),
                new Template("", Set.of()),
                0,
                -1)));
        assertNull(byQuery.map(request("GET", "/a")));
        assertEquals("x", byQuery.map(request("GET", "/a?class=x")).serviceClass());
    }

    @Test
    void describesErrorInPattern() {
        Map<String, String> bad = Map.of(
                "tiles",
                "begins with /",
                "/{a",
                "without its }",
                "/a}",
                "without its {",
                "/{a}{b}",
                "more than one",
                "/{a}/{a}",
                "twice",
                "/**/x",
                "at the end",
                "/{1}",
                "expected a name",
                "/{rest...}/x",
                "at the end",
                "/*{a}",
                "more than one",
                "/a**",
                "more than one");
        bad.forEach((text, why) -> {
            String message = assertThrows(IllegalArgumentException.class, () -> new PathPattern(text), text)
                    .getMessage();
            assertTrue(message.contains(why), text + ": " + message);
        });
        for (String text : List.of("{", "{z}", "{query.}", "{header.}")) {
            assertThrows(IllegalArgumentException.class, () -> new Template(text, Set.of("x")), text);
        }
    }

    @Test
    void shapeOmitsVariableSegments() {
        assertEquals("GET tiles.example/tiles/{}/x/{}", Mapping.shape(request("GET", "/tiles/7/x/5.png?v=1")));
        assertEquals("GET tiles.example/{}", Mapping.shape(request("GET", "/" + "a".repeat(1_000))));
        assertEquals("GET tiles.example/a/b/c/d/e/f/…", Mapping.shape(request("GET", "/a/b/c/d/e/f/g/h/i")));
    }

    /** Compares with the same pattern as a regular expression, whose time is not bounded like that of a glob. */
    @Property(tries = 2_000)
    void globMatchesLikeItsRegularExpression(
            @ForAll @CharRange(from = 'a', to = 'b') @StringLength(max = 12) String text,
            @ForAll @StringLength(max = 8) @CharRange(from = 'a', to = 'c') String pattern) {
        String glob = pattern.replace('c', '*');
        assertEquals(text.matches(pattern.replace("c", ".*")), new Glob(glob).matches(text), glob + " " + text);
    }

    @Test
    void globMatchesInPolynomialTime() {
        // A regular expression, which backtracks to each star, would not finish.
        assertEquals(false, new Glob("a*".repeat(2_000) + "b").matches("a".repeat(20_000)));
    }
}
