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

/** Evidence as lines of JSON, one for each. Times are ms since 1970; what never happened is left out. */
final class EvidenceLines {

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(8).build())
            .build();
    private static final ObjectMapper JSON = new JsonMapper(FACTORY);

    private EvidenceLines() {}

    /** Writes one line. */
    static void write(Evidence one, Writer out) throws IOException {
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
            json.writeStartObject();
            if (one instanceof ClientAttempt tried) {
                tried(tried, json);
            } else if (one instanceof ServerAttempt ran) {
                ran(ran, json);
            } else if (one instanceof DuplicateAnswer unasked) {
                head(json, "unasked", unasked.at());
                text(json, "caller", unasked.caller());
                text(json, "balancer", unasked.balancer());
                text(json, "txn", unasked.txn());
            } else if (one instanceof ServerStateUpdate received) {
                head(json, "told", received.at());
                text(json, "balancer", received.balancer());
                text(json, "server", received.server());
                text(json, "state", received.state());
            } else if (one instanceof ColdOverload fell) {
                head(json, "fell", fell.at());
                text(json, "server", fell.server());
                json.writeNumberField("informed", fell.informed());
            } else if (one instanceof PartyEnded ended) {
                head(json, "ended", ended.at());
                text(json, "party", ended.party());
            } else if (one instanceof BalancerNote noted) {
                head(json, "noted", noted.at());
                text(json, "balancer", noted.balancer());
                text(json, "txn", noted.txn());
                text(json, "text", noted.text());
            }
            json.writeEndObject();
        }
        out.write('\n');
    }

    private static void tried(ClientAttempt tried, JsonGenerator json) throws IOException {
        head(json, "tried", tried.at());
        text(json, "caller", tried.caller());
        text(json, "balancer", tried.balancer());
        text(json, "txn", tried.txn());
        text(json, "first", tried.first());
        text(json, "class", tried.serviceClass());
        text(json, "key", tried.key());
        time(json, "sent", tried.sent());
        time(json, "until", tried.until());
        time(json, "answered", tried.answered());
        text(json, "end", name(tried.end()));
        json.writeNumberField("status", tried.status());
        text(json, "echo", name(tried.echo()));
    }

    private static void ran(ServerAttempt ran, JsonGenerator json) throws IOException {
        head(json, "ran", ran.at());
        text(json, "server", ran.server());
        text(json, "zone", ran.zone());
        json.writeNumberField("cell", ran.cell());
        text(json, "balancer", ran.balancer());
        text(json, "txn", ran.txn());
        text(json, "key", ran.key());
        text(json, "class", ran.serviceClass());
        text(json, "about", ran.about());
        time(json, "begun", ran.begun());
        time(json, "taken", ran.taken());
        text(json, "how", name(ran.how()));
    }

    private static void head(JsonGenerator json, String event, double at) throws IOException {
        json.writeStringField("ev", event);
        time(json, "at", at);
    }

    private static void text(JsonGenerator json, String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }

    /** To the microsecond: a double's digits would be most of the file. */
    private static void time(JsonGenerator json, String name, double millis) throws IOException {
        if (!Double.isNaN(millis)) {
            long micros = Math.round(millis * 1_000);
            String part = Long.toString(Math.floorMod(micros, 1_000L) + 1_000);
            json.writeFieldName(name);
            json.writeNumber(Math.floorDiv(micros, 1_000L) + "." + part.substring(1));
        }
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Reads a line; {@link IllegalArgumentException} says what is wrong with it. */
    static Evidence read(String line) {
        JsonNode json;
        try {
            json = JSON.readTree(line);
        } catch (IOException e) {
            throw new IllegalArgumentException("expected an object of JSON");
        }
        if (!json.has("ev") && json.has("at_ms") && json.has("request")) {
            return accessLog(json);
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
                        choice(json, "end", End.class),
                        json.path("status").asInt(0),
                        choice(json, "echo", Echo.class));
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
                        choice(json, "how", How.class));
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

    /** A line of the access log that a balancer writes by {@code node.access-log}. */
    private static BalancerNote accessLog(JsonNode json) {
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

    private static String required(JsonNode json, String name, String none) {
        String value = json.path(name).asText(none);
        if (value.isEmpty()) {
            throw new IllegalArgumentException("expected a text in " + name);
        }
        return value;
    }

    private static <T extends Enum<T>> T choice(JsonNode json, String name, Class<T> type) {
        try {
            return Enum.valueOf(type, json.path(name).asText().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("expected in " + name + " one of "
                    + String.join(
                            ", ",
                            java.util.Arrays.stream(type.getEnumConstants())
                                    .map(EvidenceLines::name)
                                    .toList()));
        }
    }
}
