package sablehinge.gateway.config.operator;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlVersion;
import sablehinge.common.logging.LogTerms;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.BudgetSettings;
import sablehinge.dataplane.budget.LoadShedder;
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
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.State;

/** Reads a complete operator file: either it is right in every part, or all its problems are reported at once. */
public final class OperatorFile {

    /** Longest file that is read, in bytes: some ten thousand servers. */
    public static final int MAX_BYTES = 1 << 20;
    /** Brackets within brackets: nothing of this file needs more than 3. */
    private static final int MAX_NESTED = 32;

    private static final int MAX_ITEMS = 10_000;
    private static final int MAX_CLASSES = 64;
    private static final int MAX_PROBLEMS = 100;
    private static final double HOUR = 3.6e6;
    /** For the record only: no decision of this program rests on it. */
    private static final double FALL_AFTER_MS = 1_500;

    private static final Map<String, Repeat> EFFECTS =
            Map.of("safe", Repeat.IDEMPOTENT, "keyed", Repeat.DEDUPLICATED, "unsafe", Repeat.AT_MOST_ONCE);
    private static final Map<String, Group> GROUPS = Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL);
    private static final Map<String, State> STATES = Map.of("up", State.READY, "draining", State.DRAINING);

    private final List<Problem> problems = new ArrayList<>();

    private OperatorFile() {}

    /**
     * What a reading has come to.
     *
     * @param config null if there are problems
     * @param problems in the order of their lines; empty if there is a configuration
     */
    public record Checked(OperatorConfig config, List<Problem> problems) {}

    /** Reads the file at a path; one that can't be read is a problem too. */
    public static Checked read(Path path) {
        byte[] bytes;
        try {
            bytes = bytes(path);
        } catch (IOException e) {
            return new Checked(null, List.of(new Problem(0, "", e.getMessage())));
        }
        return parse(bytes);
    }

    /** The bytes of a regular file of a size that can be read; the error says why not. */
    public static byte[] bytes(Path path) throws IOException {
        if (Files.isSymbolicLink(path) && !Files.exists(path)) {
            throw new IOException("is a link to nothing, expected a file");
        }
        if (!Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException("there is no such file");
        }
        // A pipe would be waited for without end.
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
     * What a file says of logs.
     *
     * @param replay null if there are problems
     * @param classes those that the file has; a file with nothing but rules has none
     */
    public record CheckedReplay(ReplayPart replay, List<ClassPart> classes, List<Problem> problems) {}

    /** Reads what a file says of logs; one that says nothing else needn't be a complete operator file. */
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
        TomlParseResult toml = file.toml(bytes);
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
        file.problems.sort(Problem.BY_PLACE);
        return new CheckedReplay(file.problems.isEmpty() ? part : null, classes, List.copyOf(file.problems));
    }

    /** Reads the content of a file. */
    public static Checked parse(byte[] bytes) {
        OperatorFile file = new OperatorFile();
        OperatorConfig config = file.config(bytes);
        List<Problem> sorted = new ArrayList<>(new LinkedHashSet<>(file.problems));
        sorted.sort(Problem.BY_PLACE);
        if (sorted.size() > MAX_PROBLEMS) {
            int more = sorted.size() - MAX_PROBLEMS;
            sorted = new ArrayList<>(sorted.subList(0, MAX_PROBLEMS));
            sorted.add(new Problem(0, "", "and " + more + " more"));
        }
        return new Checked(sorted.isEmpty() ? config : null, List.copyOf(sorted));
    }

    private void problem(int line, String key, String message) {
        problems.add(new Problem(line, key, message));
    }

    private OperatorConfig config(byte[] bytes) {
        TomlParseResult toml = toml(bytes);
        return toml == null ? null : read(new Section(toml, "", 1, problems));
    }

    private TomlParseResult toml(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            problem(0, "", "has " + bytes.length + " bytes, expected " + MAX_BYTES + " at most");
            return null;
        }
        String text = decode(bytes);
        if (text == null || nestedTooDeep(text)) {
            return null;
        }
        TomlParseResult toml;
        try {
            toml = Toml.parse(text, TomlVersion.V1_0_0);
        } catch (StackOverflowError | RuntimeException e) {
            // Guards against what the parser's authors have not thought of: a bad file must not end a daemon.
            problem(0, "", "can't be read as TOML (" + e.getClass().getSimpleName() + ")");
            return null;
        }
        toml.errors()
                .forEach(e -> problem(
                        e.position() == null ? 0 : e.position().line(), "", Section.plain(e.getMessage(), 200)));
        if (toml.hasErrors()) {
            return null;
        }
        return toml;
    }

    private String decode(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            problem(firstBadLine(bytes), "", "is not UTF-8 in this line, expected UTF-8 throughout");
            return null;
        }
    }

    private static int firstBadLine(byte[] bytes) {
        int line = 1;
        int from = 0;
        for (int i = 0; i <= bytes.length; i++) {
            if (i == bytes.length || bytes[i] == '\n') {
                try {
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, from, i - from));
                } catch (CharacterCodingException e) {
                    return line;
                }
                line++;
                from = i + 1;
            }
        }
        return line;
    }

    /**
     * The parser is recursive, and what ends its stack could leave a class of it half loaded for good: that is refused
     * before, with a line. Brackets in texts and comments don't count.
     */
    private boolean nestedTooDeep(String text) {
        int depth = 0;
        int line = 1;
        // What ends the text that i is in: a quote, three of them, or the line for a comment.
        String ends = null;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            if (ends != null) {
                if (c == '\\' && ends.startsWith("\"")) {
                    i++;
                } else if (text.startsWith(ends, i) || c == '\n' && ends.length() == 1) {
                    i += ends.length() - 1;
                    ends = null;
                }
            } else if (c == '#') {
                ends = "\n";
            } else if (c == '"' || c == '\'') {
                String three = String.valueOf(c).repeat(3);
                ends = text.startsWith(three, i) ? three : String.valueOf(c);
                i += ends.length() - 1;
            } else if (c == '[' || c == '{') {
                depth++;
            } else if (c == ']' || c == '}') {
                depth = Math.max(0, depth - 1);
            }
            if (depth > MAX_NESTED) {
                problem(line, "", "brackets are nested more than " + MAX_NESTED + " deep");
                return true;
            }
        }
        return false;
    }

    private OperatorConfig read(Section root) {
        List<String> declaredZones = declared(root, "zones");
        List<String> declaredKinds = declared(root, "kinds");
        InetSocketAddress discovery = root.address("discovery", false);
        List<UpstreamPart> upstreams =
                root.sections("upstream", MAX_ITEMS, s -> upstream(s, declaredZones, declaredKinds));
        NodePart node = node(root.section("node"), declaredZones);
        List<String> zones = all(declaredZones, upstreams, UpstreamPart::zone, node.zone());
        List<String> kinds = all(declaredKinds, upstreams, UpstreamPart::kind, null);
        AdminPart admin = admin(root.section("admin"));
        List<ListenerPart> listeners = root.sections("listener", 16, OperatorFile::listener);
        List<ClassPart> classes = root.sections("class", MAX_CLASSES, s -> serviceClass(s, zones, kinds));
        List<TenantPart> tenants = root.sections("tenant", MAX_ITEMS, s -> new TenantPart(s.name("name", null)));
        Limits limits = limits(root.section("limits"));
        Rules rules = rules(root.section("rules"));
        Section goal = root.section("goal");
        double crossZone = goal.number("cross-zone-price", 0.2, 0, 1);
        double worstClass = goal.number("worst-class-weight", 0.3, 0, 1);
        goal.end();
        ChangePart change = change(root.section("change"));
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
        BudgetPart budget = root.has("budget") ? budget(root.section("budget")) : null;
        RecorderPart recorder = root.has("recorder") ? RecorderSection.read(root.section("recorder")) : null;
        LogTerms log = LogSection.read(root.section("log"));
        root.end();
        if (listeners.isEmpty()) {
            listeners =
                    List.of(new ListenerPart("main", new InetSocketAddress(InetAddress.getLoopbackAddress(), 8080)));
        }
        if (classes.isEmpty()) {
            root.problem("class", "is missing, expected at least one table [[class]]");
        }
        if (discovery != null && !upstreams.isEmpty()) {
            root.problem("discovery", "stands beside [[upstream]], expected one source of servers");
        }
        if (discovery == null && upstreams.isEmpty() && !root.has("upstream") && !root.has("discovery")) {
            root.problem("upstream", "is missing, expected tables [[upstream]] or discovery = \"HOST:PORT\"");
        }
        together(root, listeners, upstreams, classes, tenants, admin);
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

    /** A list of names that the file declares; null where it leaves that to their first use. */
    private List<String> declared(Section root, String key) {
        if (!root.has(key)) {
            return null;
        }
        Set<String> names = new LinkedHashSet<>();
        for (String name : root.texts(key)) {
            if (!names.add(name)) {
                root.problem(key, Section.quote(name) + " stands there twice");
            }
        }
        return List.copyOf(names);
    }

    private static List<String> all(
            List<String> declared, List<UpstreamPart> upstreams, Function<UpstreamPart, String> name, String own) {
        Set<String> names = new LinkedHashSet<>(declared == null ? List.of() : declared);
        if (own != null) {
            names.add(own);
        }
        upstreams.forEach(upstream -> names.add(name.apply(upstream)));
        return List.copyOf(names);
    }

    private static NodePart node(Section s, List<String> zones) {
        String name = s.name("name", "sablehinge");
        String zone = zones == null
                ? s.name("zone", "main")
                : s.reference("zone", zones.isEmpty() ? "main" : zones.get(0), zones, "zone");
        int siblings = s.integer("siblings", 1, 1, MAX_ITEMS);
        int position = s.integer("position", 0, 0, MAX_ITEMS);
        if (position >= siblings) {
            s.problem("position", position + " is out of range, expected less than siblings, which is " + siblings);
        }
        NodePart node = new NodePart(
                name,
                zone,
                position,
                siblings,
                s.integer("descriptors", 4_096, 256, 1_000_000),
                s.text("state", "sablehinge-state"),
                s.flag("version-header", false),
                s.text("access-log", null));
        s.end();
        return node;
    }

    private static AdminPart admin(Section s) {
        InetSocketAddress listen = s.address("listen", false);
        AdminPart admin = new AdminPart(s.text("socket", "admin.sock"), listen, s.text("token-file", null));
        if (listen != null && !listen.getAddress().isLoopbackAddress()) {
            s.problem("listen", "is no loopback address, expected one such as \"127.0.0.1:9901\"");
        }
        if (listen != null && admin.tokenFile() == null) {
            s.problem("token-file", "is missing, expected the file of the token that listen asks for");
        }
        s.end();
        return admin;
    }

    private static ListenerPart listener(Section s) {
        s.choice("protocol", "http1", Map.of("http1", "http1"));
        return new ListenerPart(s.name("name", "main"), s.address("address", true));
    }

    private static UpstreamPart upstream(Section s, List<String> zones, List<String> kinds) {
        InetSocketAddress address = s.address("address", true);
        if (address != null && address.getPort() == 0) {
            s.problem("address", "has port 0, expected the port on which the server listens");
        }
        if (address != null && address.getAddress().isAnyLocalAddress()) {
            s.problem("address", "is the address of any, expected that of one server");
        }
        return new UpstreamPart(
                s.name("id", null),
                address,
                zones == null
                        ? s.name("zone", "main")
                        : s.reference("zone", zones.isEmpty() ? "main" : zones.get(0), zones, "zone"),
                kinds == null
                        ? s.name("kind", "server")
                        : s.reference("kind", kinds.isEmpty() ? "server" : kinds.get(0), kinds, "kind"),
                s.integer("cell", 0, 0, 1_000_000),
                s.choice("state", State.READY, STATES));
    }

    private static ClassPart serviceClass(Section s, List<String> zones, List<String> kinds) {
        String name = s.name("name", null);
        Repeat effect = s.choice("effect", Repeat.AT_MOST_ONCE, EFFECTS);
        boolean keyed = effect == Repeat.DEDUPLICATED;
        Group group = s.choice("group", Group.ALL, GROUPS);
        double window = s.duration("window", 0, 1, HOUR);
        for (String key : List.of("group", "window")) {
            if (keyed && !s.has(key)) {
                s.problem(key, "is missing, expected for effect = \"keyed\"");
            } else if (!keyed && s.has(key)) {
                s.problem(key, "goes with effect = \"keyed\" only");
            }
        }
        double aim = s.duration("aim", 1_000, 1, HOUR);
        double deadline = s.duration("deadline", Math.max(2_500, 2.5 * aim), 1, HOUR);
        if (deadline < aim) {
            s.problem("deadline", Section.millis(deadline) + " is shorter than the aim of " + Section.millis(aim));
        }
        return new ClassPart(
                name,
                effect,
                group,
                window,
                aim,
                deadline,
                s.number("worth", 1, 1e-6, 1e6),
                s.number("late-worth", 0.5, 0, 1),
                s.names("zones", zones, "zone"),
                s.names("kinds", kinds, "kind"));
    }

    private static Limits limits(Section s) {
        Limits limits = new Limits(
                s.integer("attempts", 4, 1, 16),
                s.integer("open", 20_000, 1, 1_000_000),
                true,
                s.flag("second-copies", true),
                false,
                false,
                s.flag("retry-after", true),
                s.duration("longest-retry-after", 2_000, 1, HOUR),
                s.duration("connect", 300, 1, 60_000),
                s.duration("idle", 30_000, 100, HOUR),
                1,
                0,
                0);
        s.end();
        return limits;
    }

    private static Rules rules(Section s) {
        Rules rules = new Rules(
                s.duration("answer-grace", 20, 0, 1_000),
                s.duration("drain-grace", 2_000, 0, 60_000),
                s.duration("ask-every", 2_000, 100, HOUR),
                s.number("start-capacity", 0.13, 0.01, 1),
                s.duration("warm-up", 24_000, 0, HOUR),
                s.number("fall-multiple", 3, 1, 100),
                FALL_AFTER_MS,
                0);
        s.end();
        return rules;
    }

    private static ChangePart change(Section s) {
        ChangePart change = new ChangePart(
                s.duration("confirm-within", 30_000, 1_000, HOUR),
                s.duration("ready-within", 5_000, 10, 600_000),
                s.integer("ready-least", 1, 0, MAX_ITEMS),
                s.number("failed-rise", 0.1, 0.001, 1),
                s.number("refused-rise", 0.3, 0.001, 1),
                s.integer("least-count", 100, 10, 1_000_000));
        s.end();
        return change;
    }

    private static BudgetPart budget(Section s) {
        String service = s.name("service", null);
        boolean entry = s.flag("entry", true);
        int attempts = s.integer("attempts", 8, 1, Budget.MAX_ATTEMPTS);
        int need = s.integer("need", 1, 1, Budget.MAX_ATTEMPTS);
        boolean last = s.flag("last", false);
        if (last && need > 1) {
            s.problem("need", need + " at the last tier, expected 1: one attempt there is one attempt");
            need = 1;
        }
        if (need > attempts) {
            s.problem("need", need + " is more than attempts, which is " + attempts);
        }
        BudgetSettings terms = new BudgetSettings(
                attempts,
                s.duration("remaining", 10_000, 1, HOUR),
                s.number("worth", 1_000, 0, 1e6),
                Math.min(attempts, s.integer("unknown", 1, 0, attempts)),
                s.integer("calls", 1, 1, 1_000),
                need,
                last,
                s.duration("margin", 5, 0, 60_000),
                s.duration("wire", 1, 0, 60_000),
                s.number("kept", 0.5, 0, 0.9),
                s.integer("reentries", 0, 0, Budget.MAX_HOPS - 1),
                s.integer("open", 20_000, 1, 1_000_000));
        // The module sheds already; both together were measured to give up too much.
        boolean sheds = s.flag("shed", false);
        LoadShedder.Settings shed =
                new LoadShedder.Settings(s.number("floor", 0.1, 0, 1), s.number("share", 1, 0.001, 1));
        Map<String, String> keys = new LinkedHashMap<>();
        for (String[] key : s.sections("key", 8, k -> new String[] {k.name("name", null), k.text("file", null)})) {
            if (key[1] == null) {
                s.problem("key", "has no file, expected the file of its secret");
            } else if (key[0] != null && keys.put(key[0], key[1]) != null) {
                s.problem("key", Section.quote(key[0]) + " stands there twice");
            }
        }
        s.end();
        return new BudgetPart(service, entry, terms, sheds ? shed : null, keys);
    }

    /** What no single table shows: names and addresses that stand for two things. */
    private void together(
            Section root,
            List<ListenerPart> listeners,
            List<UpstreamPart> upstreams,
            List<ClassPart> classes,
            List<TenantPart> tenants,
            AdminPart admin) {
        unique(root, "class", classes, ClassPart::name, "name");
        unique(root, "tenant", tenants, TenantPart::name, "name");
        unique(root, "upstream", upstreams, UpstreamPart::id, "id");
        unique(root, "upstream", upstreams, UpstreamPart::address, "address");
        unique(root, "listener", listeners, ListenerPart::name, "name");
        List<InetSocketAddress> bound = new ArrayList<>();
        for (int i = 0; i < listeners.size(); i++) {
            InetSocketAddress address = listeners.get(i).address();
            if (address == null) {
                continue;
            }
            if (bound.stream().anyMatch(other -> collide(other, address))
                    || admin.listen() != null && collide(admin.listen(), address)) {
                root.itemProblem("listener", i, "address", "is taken by another listener of this file");
            }
            bound.add(address);
        }
        for (int i = 0; i < upstreams.size(); i++) {
            InetSocketAddress address = upstreams.get(i).address();
            if (address != null && bound.stream().anyMatch(other -> collide(other, address))) {
                root.itemProblem(
                        "upstream", i, "address", "is one where this balancer listens, expected another server's");
            }
        }
    }

    private static boolean collide(InetSocketAddress one, InetSocketAddress other) {
        return one.getPort() != 0
                && one.getPort() == other.getPort()
                && (one.getAddress().equals(other.getAddress())
                        || one.getAddress().isAnyLocalAddress()
                        || other.getAddress().isAnyLocalAddress());
    }

    private static <T> void unique(
            Section root, String list, Collection<T> items, Function<T, Object> name, String key) {
        Map<Object, Integer> seen = new HashMap<>();
        int place = 0;
        for (T item : items) {
            Object value = name.apply(item);
            Integer before = value == null ? null : seen.putIfAbsent(value, place);
            if (before != null && !(value instanceof InetSocketAddress address && address.getPort() == 0)) {
                root.itemProblem(list, place, key, "is the same as that of " + list + "[" + (before + 1) + "]");
            }
            place++;
        }
    }
}
