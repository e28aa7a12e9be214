package sablehinge.tools.standin.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlVersion;
import sablehinge.gateway.config.operator.OperatorFile;
import sablehinge.gateway.config.operator.Problem;
import sablehinge.gateway.config.operator.Section;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.standin.model.Faults.Fault;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.RulesPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/** Reads and validates a scenario file; reports all problems of the file at once. */
public final class ScenarioFile {

    private static final double HOUR_MS = 3.6e6;
    private static final int MAX_SERVERS = 500;
    private static final int MAX_FAULTS = 1_000;
    private static final int MAX_BRACKETS = 4_000;

    private ScenarioFile() {}

    /**
     * The result of reading a scenario.
     *
     * @param scenario the scenario; null if there are problems
     */
    public record Checked(Scenario scenario, List<Problem> problems) {}

    /** Reads a file; an unreadable file is reported as a problem too. */
    public static Checked read(Path path) {
        try {
            return parse(new String(OperatorFile.bytes(path), java.nio.charset.StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Checked(null, List.of(new Problem(0, "", e.getMessage())));
        }
    }

    /** Parses the text of a scenario file. */
    public static Checked parse(String text) {
        List<Problem> problems = new ArrayList<>();
        // The parser is recursive, so that deep nesting overflows the stack; no scenario needs so many brackets.
        if (text.chars().filter(c -> c == '[' || c == '{').count() > MAX_BRACKETS) {
            return new Checked(null, List.of(new Problem(0, "", "has more than " + MAX_BRACKETS + " brackets")));
        }
        TomlParseResult toml;
        try {
            toml = Toml.parse(text, TomlVersion.V1_0_0);
        } catch (StackOverflowError | RuntimeException e) {
            return new Checked(
                    null,
                    List.of(new Problem(
                            0, "", "can't be read as TOML (" + e.getClass().getSimpleName() + ")")));
        }
        toml.errors()
                .forEach(e -> problems.add(new Problem(
                        e.position() == null ? 0 : e.position().line(), "", Section.plain(e.getMessage(), 200))));
        Scenario scenario = toml.hasErrors() ? null : read(new Section(toml, "", 1, problems));
        problems.sort(Problem.BY_LINE);
        return new Checked(problems.isEmpty() ? scenario : null, List.copyOf(problems));
    }

    private static Scenario read(Section root) {
        long seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        InetSocketAddress entry = root.address("listen", false);
        if (entry == null) {
            entry = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        } else if (!entry.getAddress().isLoopbackAddress()) {
            root.problem("listen", "is no loopback address, expected one such as \"127.0.0.1:8080\"");
        }
        List<String> zones = root.has("zones") ? root.texts("zones") : List.of("main");
        double listDelay = root.duration("list-delay", 500, 0, 60_000);
        double warmUp = root.duration("warm-up", 1_500, 0, 60_000);
        List<ClassPart> classes = root.sections("class", 64, ScenarioFile::serviceClass);
        List<TierPart> tiers = root.sections("tier", 8, ScenarioFile::tier);
        Map<String, Integer> names = new HashMap<>();
        names.put("all", -1);
        for (int i = 0; i < tiers.size(); i++) {
            if (names.put(tiers.get(i).name(), i) != null) {
                root.itemProblem("tier", i, "name", "is that of another tier");
            }
        }
        List<Fault> faults = root.sections("fault", MAX_FAULTS, s -> fault(s, names));
        Section rules = root.section("rules");
        RulesPart rulesPart = new RulesPart(
                rules.duration("drain-grace", 2_000, 0, 60_000),
                rules.number("fall-multiple", 3, 1, 100),
                rules.duration("fall-after", 1_500, 100, 60_000));
        rules.reportUnknownKeys();
        root.reportUnknownKeys();
        if (classes.isEmpty()) {
            root.problem("class", "is missing, expected at least one table [[class]]");
        }
        if (tiers.isEmpty()) {
            root.problem("tier", "is missing, expected at least one table [[tier]]");
        }
        if (zones.isEmpty()) {
            root.problem("zones", "is empty, expected at least one name");
        }
        if (classes.stream().map(ClassPart::name).distinct().count() < classes.size()) {
            root.problem("class", "two of them have one name");
        }
        return new Scenario(seed, entry, zones, listDelay, warmUp, classes, tiers, faults, rulesPart);
    }

    private static ClassPart serviceClass(Section s) {
        String name = s.name("name", null);
        Repeat effect = s.choice(
                "effect",
                Repeat.AT_MOST_ONCE,
                Map.of("safe", Repeat.IDEMPOTENT, "keyed", Repeat.DEDUPLICATED, "unsafe", Repeat.AT_MOST_ONCE));
        Group group = s.choice("group", Group.ALL, Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL));
        double window = s.duration("window", effect == Repeat.DEDUPLICATED ? 4_000 : 0, 1, HOUR_MS);
        double aim = s.duration("aim", 1_000, 1, HOUR_MS);
        return new ClassPart(
                name,
                effect,
                group,
                window,
                aim,
                s.duration("deadline", 2.5 * aim, 1, HOUR_MS),
                s.number("worth", 1, 1e-6, 1e6),
                s.number("late-worth", 0.5, 0, 1),
                s.duration("work", 10, 0, 60_000));
    }

    private static TierPart tier(Section s) {
        String name = s.name("name", null);
        double slowest = s.number("slowest", 1, 0.01, 1_000);
        double fastest = s.number("fastest", Math.max(1, slowest), 0.01, 1_000);
        if (fastest < slowest) {
            s.problem("fastest", "is less than slowest, which is " + slowest);
        }
        return new TierPart(
                name,
                s.integer("servers", 3, 1, MAX_SERVERS),
                s.integer("balancers", 1, 1, 100),
                s.number("share", 1, 0, 1),
                s.integer("calls", 1, 0, 10),
                s.number("cores", 2, 0.1, 1_000),
                slowest,
                fastest,
                s.integer("slots", 40, 1, 100_000),
                s.integer("queue", 200, 0, 1_000_000),
                s.integer("cell", 4, 1, MAX_SERVERS),
                s.number("cold-from", 0.2, 0.01, 1),
                s.duration("cold", 12_000, 0, HOUR_MS));
    }

    private static Fault fault(Section s, Map<String, Integer> tiers) {
        Map<String, Kind> kinds = new HashMap<>();
        for (Kind kind : Kind.values()) {
            kinds.put(kind.name().toLowerCase(Locale.ROOT).replace('_', '-'), kind);
        }
        if (!s.has("kind")) {
            s.problem("kind", "is missing, expected what happens, such as \"stall\"");
        }
        Kind kind = s.choice("kind", Kind.STALL, kinds);
        double from = s.duration("at", 0, 0, HOUR_MS);
        return new Fault(
                kind,
                s.choice("tier", -1, tiers),
                from,
                from + s.duration("for", 5_000, 1, HOUR_MS),
                s.integer("servers", 1, 1, MAX_SERVERS),
                s.number("size", 2, 1, 1_000),
                s.number("chance", 0.1, 0, 1));
    }
}
