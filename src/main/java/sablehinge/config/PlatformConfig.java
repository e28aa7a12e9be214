package sablehinge.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sablehinge.core.Roster;
import sablehinge.core.Version;
import sablehinge.membership.RosterParser;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.settings.Addresses;
import sablehinge.settings.MalformedInputException;
import sablehinge.settings.SettingsParser;

/**
 * What the platform tells a balancer in the file that {@code PROXY_CONFIG} names.
 *
 * @param sockets how many file descriptors the process may hold
 * @param zones the names of the zones, by the index that the module uses; likewise the others
 * @param known the upstreams as this balancer last had them
 */
public record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int sockets, Settings settings, List<String> zones, List<String> kinds, List<String> classes,
        List<String> tenants, Roster known) {

    private static final JsonMapper JSON = new JsonMapper();

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

    /** Its one version: the platform changes nothing of it while a balancer runs. */
    public Version version() {
        return new Version(1, settings, classes, tenants, false);
    }

    private static PlatformConfig parse(JsonNode root) {
        JsonNode given = root.path("settings");
        StringBuilder lines = new StringBuilder();
        flatten("", given, lines);
        Settings settings = SettingsParser.parse(lines.toString().getBytes(StandardCharsets.UTF_8));
        List<String> zones = names(given.path("zones"));
        List<String> kinds = names(given.path("machineTypes"));
        return new PlatformConfig(root.path("name").asText("balancer"), address(root, "listen"),
                address(root, "discovery"), seed(root.path("seed").asText("")),
                root.path("limits").path("sockets").asInt(1_024), settings, zones, kinds,
                names(given.path("services")), names(given.path("tenants")),
                new RosterParser(zones, kinds, false).parse(root.path("known")));
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
