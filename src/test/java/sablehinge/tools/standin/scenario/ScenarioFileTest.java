package sablehinge.tools.standin.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.tools.standin.model.Faults.Kind;

class ScenarioFileTest {

    private static final String MINIMAL_SCENARIO = "[[class]]\nname = \"tile\"\n[[tier]]\nname = \"front\"\n";

    private static List<String> problems(String text) {
        return ScenarioFile.parse(text).problems().stream().map(p -> p.in("f")).toList();
    }

    @Test
    void acceptsExampleScenarios() throws IOException {
        try (var files = Files.list(Path.of("deploy/scenarios"))) {
            files.forEach(
                    file -> assertEquals(List.of(), ScenarioFile.read(file).problems(), file.toString()));
        }
        assertEquals(
                List.of(),
                ScenarioFile.read(Path.of("src/main/resources/sablehinge/demo.toml"))
                        .problems());
    }

    @Test
    void minimalScenarioGetsDefaults() {
        Scenario scenario = ScenarioFile.parse(MINIMAL_SCENARIO).scenario();
        assertNotNull(scenario);
        assertEquals(List.of("main"), scenario.zones());
        assertEquals(3, scenario.tiers().get(0).servers());
        assertEquals(2_000, scenario.rules().drainGrace());
        assertTrue(scenario.entry().getAddress().isLoopbackAddress());
    }

    @Test
    void resolvesTierNamesOfFaults() {
        Scenario scenario = ScenarioFile.parse(MINIMAL_SCENARIO
                        + "[[fault]]\nkind = \"reset-before\"\ntier = \"front\"\nat = \"2s\"\n"
                        + "for = \"500ms\"\nchance = 0.5\n[[fault]]\nkind = \"slow\"\n")
                .scenario();
        assertEquals(Kind.RESET_BEFORE, scenario.faults().get(0).kind());
        assertEquals(0, scenario.faults().get(0).tier());
        assertEquals(2_500, scenario.faults().get(0).until());
        assertEquals(-1, scenario.faults().get(1).tier());
    }

    @Test
    void reportsAllProblemsWithTheirLines() {
        assertEquals(
                List.of(
                        "f:1: class: is missing, expected at least one table [[class]]",
                        "f:1: tier: is missing, expected at least one table [[tier]]"),
                problems(""));
        assertEquals(
                List.of(
                        "f:4: tier[1].servers: 0 is out of range, expected 1 to 500",
                        "f:5: tier[1].slow: unknown key, did you mean slots?"),
                problems("[[class]]\nname = \"tile\"\n" + "[[tier]]\nservers = 0\nslow = 1\nname = \"front\"\n"));
        assertEquals(
                List.of(
                        "f:6: fault[1].kind: \"stal\", did you mean stall?",
                        "f:7: fault[1].tier: \"frnt\", did you mean front?"),
                problems(MINIMAL_SCENARIO + "[[fault]]\nkind = \"stal\"\n" + "tier = \"frnt\"\n"));
        assertEquals(
                List.of("f:1: listen: is no loopback address, expected one such as \"127.0.0.1:8080\""),
                problems("listen = \"192.0.2.1:80\"\n" + MINIMAL_SCENARIO));
        assertEquals(1, problems(MINIMAL_SCENARIO + MINIMAL_SCENARIO).size() - 1, "duplicate class and duplicate tier");
        assertNull(ScenarioFile.parse("[".repeat(5_000)).scenario());
        assertEquals(
                List.of("nowhere: there is no such file"),
                ScenarioFile.read(Path.of("nowhere")).problems().stream()
                        .map(p -> p.in("nowhere"))
                        .toList());
    }
}
