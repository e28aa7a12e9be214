package sablehinge.gateway.settings;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.Tenant;
import sablehinge.policy.LoadBalancer.WeightKind;

/** Parses the {@code path=value} lines of a start event into {@link Settings}. */
public final class SettingsParser {

    private static final int MAX_ITEMS = 10_000;

    /** Looked up by key only, never iterated. */
    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String trimmed = line.strip();
            if (trimmed.isEmpty()) {
                continue;
            }
            int equals = trimmed.indexOf('=');
            if (equals <= 0) {
                throw new MalformedInputException("settings line " + number + " is no path=value pair");
            }
            values.put(trimmed.substring(0, equals), trimmed.substring(equals + 1));
        }
    }

    /**
     * Parses the settings of the decision module.
     *
     * @throws MalformedInputException if the text is invalid; the message names the setting
     */
    public static Settings parse(byte[] text) {
        try {
            String decoded = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(text))
                    .toString();
            return new SettingsParser(decoded).settings();
        } catch (CharacterCodingException e) {
            throw new MalformedInputException("the settings are not UTF-8");
        }
    }

    private Settings settings() {
        if (!values.containsKey("services.count")) {
            throw new MalformedInputException("setting services.count is missing");
        }
        return new Settings(
                integer("position"),
                integer("siblings"),
                integer("tier"),
                Math.max(1, names("stages").size()),
                integer("zone"),
                Math.max(1, names("zones").size()),
                Math.max(1, names("machineTypes").size()),
                choice("registryMode", Map.of("automatic", false, "subscribe", true)),
                bool("familyInfo.passesDeadline", false),
                bool("familyInfo.warmKeys", false),
                bool("callers.marksRetry", false),
                choice("worthBy", Map.of("request", false, "work", true)),
                number("overShareWorth", 1),
                choice(
                        "weightKind",
                        Map.of(
                                "silent",
                                WeightKind.NONE,
                                "nominal",
                                WeightKind.NOMINAL,
                                "rough",
                                WeightKind.ROUGH,
                                "live",
                                WeightKind.LIVE)),
                choice(
                        "stats.how",
                        Map.of("piggyback", Reports.PIGGYBACK, "pull", Reports.PROBE, "silent", Reports.NONE)),
                names("stats.fields"),
                items("services", this::serviceClass),
                items("tenants", this::tenant),
                limits(),
                rules(),
                goal(),
                prices());
    }

    private ServiceClass serviceClass(String path) {
        Repeat repeat = choice(
                path + "idempotency",
                Map.of(
                        "idempotent",
                        Repeat.IDEMPOTENT,
                        "deduplicated",
                        Repeat.DEDUPLICATED,
                        "at_most_once",
                        Repeat.AT_MOST_ONCE));
        boolean deduplicated = repeat == Repeat.DEDUPLICATED;
        Group group = deduplicated
                ? choice(path + "group", Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL))
                : Group.ALL;
        return new ServiceClass(
                text(path + "name"),
                number(path + "aim"),
                number(path + "aimStretch", 0),
                number(path + "deadline"),
                number(path + "worth"),
                number(path + "lateValue"),
                repeat,
                group,
                deduplicated ? number(path + "memorySpan") : 0,
                bool(path + "streamed"),
                bool(path + "byArrival", false),
                indices(path + "runsIn"),
                indices(path + "boundTo"),
                0);
    }

    private Tenant tenant(String path) {
        return new Tenant(text(path + "name"), number(path + "fraction"), number(path + "quotaPerS"));
    }

    private Limits limits() {
        return new Limits(
                integer("limits.attemptsCap"),
                integer("limits.maxOpen"),
                bool("limits.cancel"),
                bool("limits.parallelTries"),
                bool("limits.probes"),
                bool("limits.peers"),
                bool("limits.retryAfter"),
                number("limits.maxRetryAfter"),
                number("limits.connectTimeout"),
                number("limits.connIdle"),
                integer("limits.streamsPerConn"),
                number("limits.cpuUsPerRequest", 0),
                number("limits.cpuUsPerS", 0));
    }

    private Rules rules() {
        return new Rules(
                number("rules.graceToAnswer"),
                number("rules.drainGrace"),
                number("rules.askEvery"),
                number("rules.startCapacity"),
                number("rules.warmUp"),
                number("rules.fallMultiple"),
                number("rules.tipAfter"),
                number("rules.orderSettle", 0));
    }

    private Goal goal() {
        return new Goal(
                number("goal.whole"),
                number("goal.worstWindow"),
                number("goal.worstClass"),
                number("goal.worstTenant"),
                number("goal.tail", 0),
                number("goal.tailMiss", 0),
                number("goal.logLossPart", 0),
                number("goal.topNines", 0));
    }

    private Prices prices() {
        return new Prices(
                number("prices.crossZone"),
                number("prices.probe"),
                number("prices.waste"),
                number("prices.lateFail"),
                number("prices.connection"),
                number("prices.handshake"),
                number("prices.peer"),
                number("prices.registryMode"));
    }

    private String text(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new MalformedInputException("setting " + key + " is missing");
        }
        return value;
    }

    private double number(String key) {
        try {
            double value = Double.parseDouble(text(key));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value that is not finite.
        }
        throw invalid(key);
    }

    private double number(String key, double fallback) {
        return values.containsKey(key) ? number(key) : fallback;
    }

    private int integer(String key) {
        try {
            return Integer.parseInt(text(key));
        } catch (NumberFormatException e) {
            throw invalid(key);
        }
    }

    private boolean bool(String key) {
        return choice(key, Map.of("true", true, "false", false));
    }

    private boolean bool(String key, boolean fallback) {
        return values.containsKey(key) ? bool(key) : fallback;
    }

    private <T> T choice(String key, Map<String, T> choices) {
        T value = choices.get(text(key));
        if (value == null) {
            throw invalid(key);
        }
        return value;
    }

    private List<String> names(String key) {
        String value = text(key);
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /** Parses a list of indices; null if the key is absent, which differs from an empty list. */
    private List<Integer> indices(String key) {
        if (!values.containsKey(key)) {
            return null;
        }
        List<Integer> indices = new ArrayList<>();
        for (String name : names(key)) {
            try {
                indices.add(Integer.parseUnsignedInt(name));
            } catch (NumberFormatException e) {
                throw invalid(key);
            }
        }
        return List.copyOf(indices);
    }

    private <T> List<T> items(String key, Function<String, T> item) {
        // Settings without tenants omit the list.
        int count = values.containsKey(key + ".count") ? integer(key + ".count") : 0;
        if (count < 0 || count > MAX_ITEMS) {
            throw invalid(key + ".count");
        }
        List<T> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(item.apply(key + "." + i + "."));
        }
        return List.copyOf(items);
    }

    private MalformedInputException invalid(String key) {
        return new MalformedInputException("setting " + key + " has the bad value '" + text(key) + "'");
    }
}
