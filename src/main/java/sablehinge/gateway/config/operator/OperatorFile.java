package sablehinge.gateway.config.operator;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.TomlParseResult;
import sablehinge.common.logging.LogTerms;
import sablehinge.gateway.config.operator.OperatorConfig.AdminPart;
import sablehinge.gateway.config.operator.OperatorConfig.BudgetPart;
import sablehinge.gateway.config.operator.OperatorConfig.ChangePart;
import sablehinge.gateway.config.operator.OperatorConfig.ClassPart;
import sablehinge.gateway.config.operator.OperatorConfig.ListenerPart;
import sablehinge.gateway.config.operator.OperatorConfig.NodePart;
import sablehinge.gateway.config.operator.OperatorConfig.RecorderPart;
import sablehinge.gateway.config.operator.OperatorConfig.ReplayPart;
import sablehinge.gateway.config.operator.OperatorConfig.TenantPart;
import sablehinge.gateway.config.operator.OperatorConfig.UpstreamPart;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Rules;

/** Reads a complete operator file. Returns either its configuration or all its problems at once. */
public final class OperatorFile {

    /** Maximum size of a file, enough for about ten thousand servers. */
    public static final int MAX_BYTES = 1 << 20;

    /** Maximum number of servers, of tenants and of balancers in one file. */
    static final int MAX_ITEMS = 10_000;

    private static final int MAX_CLASSES = 64;
    private static final int MAX_PROBLEMS = 100;

    private final List<Problem> problems = new ArrayList<>();

    private OperatorFile() {}

    /**
     * The result of reading a file.
     *
     * @param config null if there are problems
     * @param problems problems ordered by line; empty if there is a configuration
     */
    public record Checked(OperatorConfig config, List<Problem> problems) {}

    /** Reads the file at a path. A file that can't be read is reported as a problem. */
    public static Checked read(Path path) {
        byte[] bytes;
        try {
            bytes = bytes(path);
        } catch (IOException e) {
            return new Checked(null, List.of(new Problem(0, "", e.getMessage())));
        }
        return parse(bytes);
    }

    /**
     * Returns the bytes of a regular file of at most {@link #MAX_BYTES}; otherwise the exception message has the
     * reason.
     */
    public static byte[] bytes(Path path) throws IOException {
        if (Files.isSymbolicLink(path) && !Files.exists(path)) {
            throw new IOException("is a broken symbolic link, expected a file");
        }
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException("there is no such file");
        }
        // Reading from a pipe could block forever.
        if (!Files.isRegularFile(path)) {
            throw new IOException("is no regular file");
        }
        try (InputStream in = Files.newInputStream(path)) {
            byte[] bytes = in.readNBytes(MAX_BYTES + 1);
            if (bytes.length > MAX_BYTES) {
                throw new IOException("has " + Files.size(path) + " bytes, expected " + MAX_BYTES + " at most");
            }
            return bytes;
        } catch (AccessDeniedException e) {
            throw new IOException("may not be read by this user", e);
        }
    }

    /**
     * The replay settings of a file.
     *
     * @param replay null if there are problems
     * @param classes the classes of the file; empty if the file has replay settings only
     */
    public record CheckedReplay(ReplayPart replay, List<ClassPart> classes, List<Problem> problems) {}

    /** Reads the replay settings of a file. A file with no other table needn't be a complete operator file. */
    public static CheckedReplay readReplay(Path path) {
        byte[] bytes;
        try {
            bytes = bytes(path);
        } catch (IOException e) {
            return new CheckedReplay(null, List.of(), List.of(new Problem(0, "", e.getMessage())));
        }
        OperatorFile file = new OperatorFile();
        ReplayPart part = null;
        List<ClassPart> classes = List.of();
        TomlParseResult toml = TomlText.parse(bytes, file.problems);
        if (toml != null && toml.keySet().equals(Set.of("replay"))) {
            part = new ReplaySection(List.of(), List.of())
                    .read(new Section(toml, "", 1, file.problems).section("replay"));
        } else if (toml != null) {
            Checked complete = parse(bytes);
            if (complete.config() != null) {
                part = complete.config().replay();
                classes = complete.config().classes();
            }
            file.problems.addAll(complete.problems());
        }
        file.problems.sort(Problem.BY_LINE);
        return new CheckedReplay(file.problems.isEmpty() ? part : null, classes, List.copyOf(file.problems));
    }

    /** Parses the content of a file. */
    public static Checked parse(byte[] bytes) {
        OperatorFile file = new OperatorFile();
        OperatorConfig config = file.readConfig(bytes);
        List<Problem> sorted = new ArrayList<>(new LinkedHashSet<>(file.problems));
        sorted.sort(Problem.BY_LINE);
        if (sorted.size() > MAX_PROBLEMS) {
            int omitted = sorted.size() - MAX_PROBLEMS;
            sorted = new ArrayList<>(sorted.subList(0, MAX_PROBLEMS));
            sorted.add(new Problem(0, "", "and " + omitted + " more"));
        }
        return new Checked(sorted.isEmpty() ? config : null, List.copyOf(sorted));
    }

    private OperatorConfig readConfig(byte[] bytes) {
        TomlParseResult toml = TomlText.parse(bytes, problems);
        return toml == null ? null : read(new Section(toml, "", 1, problems));
    }

    private OperatorConfig read(Section root) {
        List<String> declaredZones = declared(root, "zones");
        List<String> declaredKinds = declared(root, "kinds");
        InetSocketAddress discovery = root.address("discovery", false);
        List<UpstreamPart> upstreams =
                root.sections("upstream", MAX_ITEMS, s -> UpstreamSection.read(s, declaredZones, declaredKinds));
        NodePart node = NodeSection.read(root.section("node"), declaredZones);
        List<String> zones = allNames(declaredZones, upstreams, UpstreamPart::zone, node.zone());
        List<String> kinds = allNames(declaredKinds, upstreams, UpstreamPart::kind, null);
        AdminPart admin = AdminSection.read(root.section("admin"));
        List<ListenerPart> listeners = root.sections("listener", 16, ListenerSection::read);
        List<ClassPart> classes = root.sections("class", MAX_CLASSES, s -> ClassSection.read(s, zones, kinds));
        List<TenantPart> tenants = root.sections("tenant", MAX_ITEMS, s -> new TenantPart(s.name("name", null)));
        Limits limits = LimitsSection.read(root.section("limits"));
        Rules rules = RulesSection.read(root.section("rules"));
        Section goal = root.section("goal");
        double crossZone = goal.number("cross-zone-price", 0.2, 0, 1);
        double worstClass = goal.number("worst-class-weight", 0.3, 0, 1);
        goal.reportUnknownKeys();
        ChangePart change = ChangeSection.read(root.section("change"));
        ReplayPart replay = new ReplaySection(
                        classes.stream()
                                .map(ClassPart::name)
                                .filter(Objects::nonNull)
                                .toList(),
                        tenants.stream()
                                .map(TenantPart::name)
                                .filter(Objects::nonNull)
                                .toList())
                .read(root.section("replay"));
        BudgetPart budget = root.has("budget") ? BudgetSection.read(root.section("budget")) : null;
        RecorderPart recorder = root.has("recorder") ? RecorderSection.read(root.section("recorder")) : null;
        LogTerms log = LogSection.read(root.section("log"));
        root.reportUnknownKeys();
        if (listeners.isEmpty()) {
            listeners =
                    List.of(new ListenerPart("main", new InetSocketAddress(InetAddress.getLoopbackAddress(), 8080)));
        }
        if (classes.isEmpty()) {
            root.problem("class", "is missing, expected at least one table [[class]]");
        }
        if (discovery != null && !upstreams.isEmpty()) {
            root.problem("discovery", "cannot be combined with [[upstream]], expected one source of servers");
        }
        if (discovery == null && upstreams.isEmpty() && !root.has("upstream") && !root.has("discovery")) {
            root.problem("upstream", "is missing, expected tables [[upstream]] or discovery = \"HOST:PORT\"");
        }
        CrossTableChecks.check(root, listeners, upstreams, classes, tenants, admin);
        return new OperatorConfig(
                node,
                admin,
                List.copyOf(listeners),
                List.copyOf(classes),
                List.copyOf(tenants),
                zones,
                kinds,
                List.copyOf(upstreams),
                discovery,
                limits,
                rules,
                crossZone,
                worstClass,
                change,
                replay,
                budget,
                recorder,
                log);
    }

    /**
     * Returns a list of declared names; null if the key is absent, in which case names are defined by their first use.
     */
    private List<String> declared(Section root, String key) {
        if (!root.has(key)) {
            return null;
        }
        Set<String> names = new LinkedHashSet<>();
        for (String name : root.texts(key)) {
            if (!names.add(name)) {
                root.problem(key, Section.quote(name) + " is listed twice");
            }
        }
        return List.copyOf(names);
    }

    private static List<String> allNames(
            List<String> declared, List<UpstreamPart> upstreams, Function<UpstreamPart, String> name, String nodeName) {
        Set<String> names = new LinkedHashSet<>(declared == null ? List.of() : declared);
        if (nodeName != null) {
            names.add(nodeName);
        }
        upstreams.forEach(upstream -> names.add(name.apply(upstream)));
        return List.copyOf(names);
    }
}
