package sablehinge.gateway.config;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sablehinge.common.settings.ConfigException;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.discovery.RosterParser;
import sablehinge.gateway.settings.Addresses;
import sablehinge.gateway.settings.MalformedInputException;
import sablehinge.gateway.settings.SettingsParser;
import sablehinge.policy.LoadBalancer.Settings;

/**
 * What the platform tells a balancer in the file that {@code PROXY_CONFIG} names.
 *
 * @param sockets how many file descriptors the process may hold
 * @param zones the names of the zones, by the index that the module uses; likewise the others
 * @param knownRoster the upstreams as this balancer last had them
 * @param operator where operators call; null where they don't
 * @param sharedDirectory a folder that only the processes of this balancer share; null where there is none
 * @param keys the paths of all keys that the file has, those in lists left out
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Settings settings,
        List<String> zones,
        List<String> kinds,
        List<String> classes,
        List<String> tenants,
        Roster knownRoster,
        InetSocketAddress operator,
        Path sharedDirectory,
        Set<String> keys) {

    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Reads the file at a path; the error says in one line what is wrong with it. */
    public static PlatformConfig read(String path) throws ConfigException {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG names no file; or use serve --operator FILE");
        }
        try {
            return parse(JSON.readTree(Path.of(path).toFile()));
        } catch (IOException e) {
            String why = e.getMessage().lines().findFirst().orElse("");
            throw new ConfigException("cannot read " + path + ": " + why);
        } catch (IllegalArgumentException | MalformedInputException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /** What holds for requests, as the version of the given number. */
    public Version version(int number) {
        return new Version(number, settings, classes, tenants, false);
    }

    /**
     * Reads the file that takes the place of this one while a balancer runs. All that this one has must be there, also
     * what has a default: a file that lacks it was cut short or is another's.
     */
    public PlatformConfig successor(String path) throws ConfigException {
        PlatformConfig next = read(path);
        Set<String> missing = new TreeSet<>(keys);
        missing.removeAll(next.keys);
        if (!missing.isEmpty()) {
            throw new ConfigException(path + ": missing: " + String.join(", ", missing));
        }
        if (!next.zones.equals(zones) || !next.kinds.equals(kinds)) {
            throw new ConfigException(path + ": zones and machineTypes can't change while a balancer runs");
        }
        return next;
    }

    private static PlatformConfig parse(JsonNode root) {
        JsonNode given = root.path("settings");
        StringBuilder lines = new StringBuilder();
        flatten("", given, lines);
        requireBounds(given);
        Settings settings = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        List<String> zones = names(given.path("zones"));
        List<String> kinds = names(given.path("machineTypes"));
        return new PlatformConfig(
                root.path("name").asText("balancer"),
                address(root, "listen"),
                address(root, "discovery"),
                seed(root.path("seed").asText("")),
                root.path("limits").path("sockets").asInt(1_024),
                settings,
                zones,
                kinds,
                names(given.path("services")),
                names(given.path("tenants")),
                new RosterParser(zones, kinds, false).parse(root.path("known")),
                operator(root),
                ownFolder(),
                Set.copyOf(keys("", root, new HashSet<>())));
    }

    /** Java's own temporary folder is everybody's. */
    private static Path ownFolder() {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /** The environment's word counts: two processes may share a file, and never this address. */
    private static InetSocketAddress operator(JsonNode root) {
        String given = System.getenv("PROXY_OPERATOR");
        String address =
                given == null || given.isEmpty() ? root.path("operator").asText("") : given;
        try {
            return address.isEmpty() ? null : Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("operator: " + e.getMessage(), e);
        }
    }

    private static Set<String> keys(String path, JsonNode value, Set<String> found) {
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
            found.add(name);
            if (!name.equals("known")) {
                keys(name, field.getValue(), found);
            }
        }
        return found;
    }

    /** What would let a request be lost, or sent without end, is no setting. */
    private static void requireBounds(JsonNode given) {
        Set<String> names = new HashSet<>();
        for (JsonNode service : given.path("services")) {
            String name = service.path("name").asText("");
            if (name.isEmpty() || !names.add(name)) {
                throw new IllegalArgumentException("settings.services: name '" + name + "' is empty or there twice");
            }
            requirePositive("settings.services." + name + ".deadline", service.path("deadline"));
        }
        requirePositive("settings.limits.attemptsCap", given.path("limits").path("attemptsCap"));
    }

    private static void requirePositive(String key, JsonNode value) {
        if (!value.isNumber() || !(value.asDouble() > 0) || Double.isInfinite(value.asDouble())) {
            throw new IllegalArgumentException(key + ": a number above 0 was expected, not " + value);
        }
    }

    private static InetSocketAddress address(JsonNode root, String key) {
        try {
            return Addresses.parse(root.path(key).asText(""));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed '" + text + "' is no hexadecimal number", e);
        }
    }

    /** The names in a list, or those of the objects in it. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(item -> names.add(item.isObject() ? item.path("name").asText() : item.asText()));
        return List.copyOf(names);
    }

    /** Writes nested settings as the {@code path=value} lines of the simulator's first message. */
    private static void flatten(String path, JsonNode value, StringBuilder lines) {
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                flatten(name, field.getValue(), lines);
            }
        } else if (value.isArray() && value.size() > 0 && value.get(0).isObject()) {
            line(path + ".count", Integer.toString(value.size()), lines);
            for (int i = 0; i < value.size(); i++) {
                flatten(path + "." + i, value.get(i), lines);
            }
        } else if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.forEach(item -> items.add(plain(item)));
            line(path, String.join(",", items), lines);
        } else if (!value.isNull() && !value.isMissingNode()) {
            line(path, plain(value), lines);
        }
    }

    private static String plain(JsonNode value) {
        return value.asText().replaceAll("[\\s,]", "_");
    }

    private static void line(String path, String value, StringBuilder lines) {
        lines.append(path).append('=').append(value).append('\n');
    }
}
