package sablehinge.tools.audit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.Writer;
import java.util.Locale;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.BalancerNote;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.ColdOverload;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.PartyEnded;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;

/** Evidence as JSON lines, evidence per record. Times are milliseconds since 1970; an absent time is omitted. */
final class EvidenceLines {

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(8).build())
            .build();
    private static final ObjectMapper JSON = new JsonMapper(FACTORY);

    private EvidenceLines() {}

    /** Writes one line. */
    static void write(Evidence evidence, Writer out) throws IOException {
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
            json.writeStartObject();
            if (evidence instanceof ClientAttempt attempt) {
                writeClientAttempt(attempt, json);
            } else if (evidence instanceof ServerAttempt attempt) {
                writeServerAttempt(attempt, json);
            } else if (evidence instanceof DuplicateAnswer duplicate) {
                writeHeader(json, "unasked", duplicate.at());
                text(json, "caller", duplicate.caller());
                text(json, "balancer", duplicate.balancer());
                text(json, "txn", duplicate.txn());
            } else if (evidence instanceof ServerStateUpdate update) {
                writeHeader(json, "told", update.at());
                text(json, "balancer", update.balancer());
                text(json, "server", update.server());
                text(json, "state", update.state());
            } else if (evidence instanceof ColdOverload overload) {
                writeHeader(json, "fell", overload.at());
                text(json, "server", overload.server());
                json.writeNumberField("informed", overload.informed());
            } else if (evidence instanceof PartyEnded end) {
                writeHeader(json, "ended", end.at());
                text(json, "party", end.party());
            } else if (evidence instanceof BalancerNote note) {
                writeHeader(json, "noted", note.at());
                text(json, "balancer", note.balancer());
                text(json, "txn", note.txn());
                text(json, "text", note.text());
            }
            json.writeEndObject();
        }
        out.write('\n');
    }

    private static void writeClientAttempt(ClientAttempt attempt, JsonGenerator json) throws IOException {
        writeHeader(json, "tried", attempt.at());
        text(json, "caller", attempt.caller());
        text(json, "balancer", attempt.balancer());
        text(json, "txn", attempt.txn());
        text(json, "first", attempt.first());
        text(json, "class", attempt.serviceClass());
        text(json, "key", attempt.key());
        time(json, "sent", attempt.sent());
        time(json, "until", attempt.until());
        time(json, "answered", attempt.answered());
        text(json, "end", lowerCaseName(attempt.end()));
        json.writeNumberField("status", attempt.status());
        text(json, "echo", lowerCaseName(attempt.echo()));
    }

    private static void writeServerAttempt(ServerAttempt attempt, JsonGenerator json) throws IOException {
        writeHeader(json, "ran", attempt.at());
        text(json, "server", attempt.server());
        text(json, "zone", attempt.zone());
        json.writeNumberField("cell", attempt.cell());
        text(json, "balancer", attempt.balancer());
        text(json, "txn", attempt.txn());
        text(json, "key", attempt.key());
        text(json, "class", attempt.serviceClass());
        text(json, "about", attempt.about());
        time(json, "begun", attempt.begun());
        time(json, "taken", attempt.taken());
        text(json, "how", lowerCaseName(attempt.how()));
    }

    private static void writeHeader(JsonGenerator json, String event, double at) throws IOException {
        json.writeStringField("ev", event);
        time(json, "at", at);
    }

    private static void text(JsonGenerator json, String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }

    /** Written to the microsecond: the full digits of a double would make up most of the file. */
    private static void time(JsonGenerator json, String name, double millis) throws IOException {
        if (!Double.isNaN(millis)) {
            long micros = Math.round(millis * 1_000);
            String part = Long.toString(Math.floorMod(micros, 1_000L) + 1_000);
            json.writeFieldName(name);
            json.writeNumber(Math.floorDiv(micros, 1_000L) + "." + part.substring(1));
        }
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Parses a line; throws {@link IllegalArgumentException} with the reason if the line is malformed. */
    static Evidence read(String line) {
        JsonNode json;
        try {
            json = JSON.readTree(line);
        } catch (IOException e) {
            throw new IllegalArgumentException("expected an object of JSON");
        }
        if (!json.has("ev") && json.has("at_ms") && json.has("request")) {
            return accessLogNote(json);
        }
        String event = json.path("ev").asText();
        double at = required(json, "at");
        return switch (event) {
            case "tried" ->
                new ClientAttempt(
                        at,
                        text(json, "caller"),
                        text(json, "balancer"),
                        required(json, "txn", ""),
                        text(json, "first"),
                        text(json, "class"),
                        text(json, "key"),
                        time(json, "sent"),
                        required(json, "until"),
                        time(json, "answered"),
                        requiredEnum(json, "end", End.class),
                        json.path("status").asInt(0),
                        requiredEnum(json, "echo", Echo.class));
            case "ran" ->
                new ServerAttempt(
                        at,
                        required(json, "server", ""),
                        text(json, "zone"),
                        json.path("cell").asInt(0),
                        text(json, "balancer"),
                        required(json, "txn", ""),
                        text(json, "key"),
                        text(json, "class"),
                        text(json, "about"),
                        required(json, "begun"),
                        time(json, "taken"),
                        requiredEnum(json, "how", How.class));
            case "unasked" ->
                new DuplicateAnswer(at, text(json, "caller"), text(json, "balancer"), required(json, "txn", ""));
            case "told" ->
                new ServerStateUpdate(
                        at, required(json, "balancer", ""), required(json, "server", ""), required(json, "state", ""));
            case "fell" -> new ColdOverload(at, required(json, "server", ""), required(json, "informed"));
            case "ended" -> new PartyEnded(at, required(json, "party", ""));
            case "noted" -> new BalancerNote(at, text(json, "balancer"), required(json, "txn", ""), text(json, "text"));
            default ->
                throw new IllegalArgumentException(
                        "expected an ev of tried, ran, unasked, told, fell," + " ended or noted");
        };
    }

    /** A line of the access log that a balancer writes if {@code node.access-log} is set. */
    private static BalancerNote accessLogNote(JsonNode json) {
        return new BalancerNote(
                required(json, "at_ms"),
                "",
                required(json, "request", ""),
                text(json, "outcome")
                        + " after "
                        + json.path("attempts").asInt() + " attempts and "
                        + json.path("ms").asDouble()
                        + " ms, version "
                        + json.path("version").asInt());
    }

    private static String text(JsonNode json, String name) {
        return json.path(name).asText("");
    }

    private static double time(JsonNode json, String name) {
        return json.path(name).asDouble(Double.NaN);
    }

    private static double required(JsonNode json, String name) {
        double value = time(json, name);
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException("expected a number in " + name);
        }
        return value;
    }

    private static String required(JsonNode json, String name, String defaultValue) {
        String value = json.path(name).asText(defaultValue);
        if (value.isEmpty()) {
            throw new IllegalArgumentException("expected a text in " + name);
        }
        return value;
    }

    private static <T extends Enum<T>> T requiredEnum(JsonNode json, String name, Class<T> type) {
        try {
            return Enum.valueOf(type, json.path(name).asText().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("expected in " + name + " one of "
                    + String.join(
                            ", ",
                            java.util.Arrays.stream(type.getEnumConstants())
                                    .map(EvidenceLines::lowerCaseName)
                                    .toList()));
        }
    }
}
