package sablehinge.tools.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import sablehinge.common.mapping.LogFields;

/**
 * Reads lines that are each a JSON object, by a map from what is wanted to the name of the field that has it. A name
 * may lead into inner objects with dots. A time may be text of ISO 8601 with its zone, or a number: seconds since 1970,
 * or milliseconds where it is too large for seconds of this century.
 */
public final class JsonLinesFormat implements LogFormat {

    /** What a map may name. */
    public static final Set<String> WANTED = LogFields.WANTED;
    /** What is read where no map is given: the names that are common among servers. */
    public static final Map<String, String> USUAL = Map.ofEntries(
            Map.entry("time", "time|timestamp|@timestamp|ts|at_ms"),
            Map.entry("duration_ms", "duration_ms|ms"),
            Map.entry("duration_s", "duration|request_time"),
            Map.entry("caller", "caller|client|client_ip|remote_addr"),
            Map.entry("method", "method|request_method"),
            Map.entry("target", "target|uri|path|url|request_uri"),
            Map.entry("status", "status|code"),
            Map.entry("bytes", "bytes|body_bytes_sent"),
            Map.entry("request_bytes", "request_bytes|request_length"),
            Map.entry("id", "idempotency_key|id|request_id"),
            Map.entry("host", "host|http_host"));
    /** Seconds up to the year 2100. */
    private static final double MAX_SECONDS = 4.1e9;

    private static final int MAX_DEPTH = 32;

    private final boolean ends;
    private final ObjectMapper json = new JsonMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    /** For each thing wanted the places where it may stand, the first that is there to be taken. */
    private final Map<String, String[][]> paths;

    /** A format by its map; the error says which name is not known. */
    public JsonLinesFormat(Map<String, String> fields) {
        for (String name : fields.keySet()) {
            if (!WANTED.contains(name)) {
                throw new IllegalArgumentException("nothing is called " + name + ", expected one of " + WANTED);
            }
        }
        paths = fields.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> Arrays.stream(
                                entry.getValue().split("\\|"))
                        .map(path -> path.split("\\."))
                        .toArray(String[][]::new)));
        ends = fields.containsKey("end_time") && !fields.containsKey("time");
    }

    @Override
    public LogEntry parse(String line) throws UnreadableLineException {
        JsonNode object;
        try {
            object = json.readTree(line);
        } catch (JsonProcessingException e) {
            long column = e.getLocation() == null ? 1 : e.getLocation().getColumnNr();
            throw new UnreadableLineException((int) Math.max(0, column - 1), "a JSON object");
        }
        if (object == null || !object.isObject()) {
            throw new UnreadableLineException(0, "a JSON object");
        }
        double duration = number(object, "duration_ms", Double.NaN);
        if (Double.isNaN(duration)) {
            duration = number(object, "duration_s", Double.NaN) * 1_000;
        }
        String method = text(object, "method");
        String target = text(object, "target");
        if (target == null) {
            throw new UnreadableLineException(0, "a target in " + places("target"));
        }
        String caller = text(object, "caller");
        double status = number(object, "status", 0);
        Targets.Split split = Targets.split(target);
        String host = text(object, "host");
        String id = text(object, "id");
        return new LogEntry(
                time(object),
                duration,
                caller == null ? "-" : caller,
                method == null ? "GET" : method,
                split.target(),
                status >= 0 && status <= 999 ? (int) status : 0,
                (long) Math.max(0, number(object, "bytes", 0)),
                (long) number(object, "request_bytes", -1),
                id,
                id != null,
                split.host() == null ? Targets.host(host) : split.host(),
                Map.of());
    }

    @Override
    public boolean timeIsEnd() {
        return ends;
    }

    private JsonNode field(JsonNode object, String wanted) {
        for (String[] path : paths.getOrDefault(wanted, new String[0][])) {
            JsonNode value = object;
            for (String name : path) {
                value = value.path(name);
            }
            if (!value.isMissingNode() && !value.isNull()) {
                return value;
            }
        }
        return MissingNode.getInstance();
    }

    /** Where a thing that is wanted may stand, for errors. */
    private String places(String wanted) {
        String[][] places = paths.get(wanted);
        return places == null
                ? "no field, as the map names none"
                : Arrays.stream(places).map(path -> String.join(".", path)).collect(Collectors.joining(" or "));
    }

    private String text(JsonNode object, String wanted) {
        JsonNode value = field(object, wanted);
        return value.isValueNode() && !value.asText().isEmpty() ? value.asText() : null;
    }

    private double number(JsonNode object, String wanted, double fallback) throws UnreadableLineException {
        JsonNode value = field(object, wanted);
        if (value.isMissingNode()) {
            return fallback;
        }
        double number = value.asDouble(Double.NaN);
        if (!Double.isFinite(number)) {
            throw new UnreadableLineException(0, "a number in " + places(wanted));
        }
        return number;
    }

    private double time(JsonNode object) throws UnreadableLineException {
        String wanted = ends ? "end_time" : "time";
        JsonNode value = field(object, wanted);
        if (value.isMissingNode()) {
            return Double.NaN;
        }
        if (value.isNumber()) {
            double number = value.asDouble();
            return Math.abs(number) > MAX_SECONDS ? number : number * 1_000;
        }
        try {
            return OffsetDateTime.parse(value.asText()).toInstant().toEpochMilli();
        } catch (DateTimeException e) {
            throw new UnreadableLineException(0, "a time such as 2026-12-01T06:30:05Z in " + places(wanted));
        }
    }
}
