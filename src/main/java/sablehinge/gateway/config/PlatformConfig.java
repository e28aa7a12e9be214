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
 * A balancer's configuration, as the platform provides it in the file that {@code PROXY_CONFIG} names.
 *
 * @param sockets maximum number of file descriptors of the process
 * @param zones names of the zones, in the order of the indices that the decision module uses; {@code kinds},
 *     {@code classes} and {@code tenants} likewise
 * @param knownRoster the upstreams that this balancer last knew
 * @param operator address of the operators' listener; null if there is none
 * @param sharedDirectory directory that only the processes of this balancer share; null if there is none
 * @param keys paths of all keys in the file, except keys inside lists
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

    /** Reads the file at a path. The exception message describes the error in one line. */
    public static PlatformConfig read(String path) throws ConfigException {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG names no file; or use serve --operator FILE");
        }
        try {
            return parse(JSON.readTree(Path.of(path).toFile()));
        } catch (IOException e) {
            String reason = e.getMessage().lines().findFirst().orElse("");
            throw new ConfigException("cannot read " + path + ": " + reason);
        } catch (IllegalArgumentException | MalformedInputException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    /** Returns the settings for requests as the version of the given number. */
    public Version version(int number) {
        return new Version(number, settings, classes, tenants, false);
    }

    /**
     * Reads the file that replaces this one while the balancer runs. It must have all keys of this one, including those
     * with a default: a file without them was truncated or belongs to another balancer.
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
        JsonNode settingsNode = root.path("settings");
        StringBuilder lines = new StringBuilder();
        flatten("", settingsNode, lines);
        requireBounds(settingsNode);
        Settings settings = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        List<String> zones = names(settingsNode.path("zones"));
        List<String> kinds = names(settingsNode.path("machineTypes"));
        return new PlatformConfig(
                root.path("name").asText("balancer"),
                address(root, "listen"),
                address(root, "discovery"),
                seed(root.path("seed").asText("")),
                root.path("limits").path("sockets").asInt(1_024),
                settings,
                zones,
                kinds,
                names(settingsNode.path("services")),
                names(settingsNode.path("tenants")),
                new RosterParser(zones, kinds, false).parse(root.path("known")),
                operator(root),
                temporaryDirectory(),
                Set.copyOf(keys("", root, new HashSet<>())));
    }

    /** Returns {@code TMPDIR}, if set. {@code java.io.tmpdir} is no substitute because all processes share it. */
    private static Path temporaryDirectory() {
        String directory = System.getenv("TMPDIR");
        return directory == null || directory.isEmpty() ? null : Path.of(directory);
    }

    /** The environment variable takes precedence: two processes may share a file but not this address. */
    private static InetSocketAddress operator(JsonNode root) {
        String override = System.getenv("PROXY_OPERATOR");
        String address =
                override == null || override.isEmpty() ? root.path("operator").asText("") : override;
        try {
            return address.isEmpty() ? null : Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("operator: " + e.getMessage(), e);
        }
    }

    private static Set<String> keys(String path, JsonNode value, Set<String> paths) {
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            String name = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
            paths.add(name);
            if (!name.equals("known")) {
                keys(name, field.getValue(), paths);
            }
        }
        return paths;
    }

    /**
     * Requires a deadline for each class and a cap on attempts, so that no request is lost or retried without bound.
     */
    private static void requireBounds(JsonNode settings) {
        Set<String> names = new HashSet<>();
        for (JsonNode service : settings.path("services")) {
            String name = service.path("name").asText("");
            if (name.isEmpty() || !names.add(name)) {
                throw new IllegalArgumentException("settings.services: name '" + name + "' is empty or a duplicate");
            }
            requirePositive("settings.services." + name + ".deadline", service.path("deadline"));
        }
        requirePositive("settings.limits.attemptsCap", settings.path("limits").path("attemptsCap"));
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

    /** Returns the names in a list, or the names of the objects in it. */
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
