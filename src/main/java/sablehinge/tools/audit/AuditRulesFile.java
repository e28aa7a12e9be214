package sablehinge.tools.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;

/** What a run was judged by, beside what its parties saw: {@code terms.json}. */
public final class AuditRulesFile {

    /** Its name in the folder of a run. */
    public static final String NAME = "terms.json";

    private static final JsonMapper JSON = new JsonMapper();

    private AuditRulesFile() {}

    /** Writes it into a folder. */
    public static void write(Path folder, AuditRules terms) throws IOException {
        ObjectNode json = JSON.createObjectNode();
        json.put("answer_grace_ms", terms.answerGrace())
                .put("drain_grace_ms", terms.drainGrace())
                .put("slack_ms", terms.slack())
                .put("hold_ms", terms.hold())
                .put("callers_whole", terms.callersComplete())
                .put("servers_whole", terms.serversComplete());
        ObjectNode classes = json.putObject("classes");
        terms.classes().forEach((name, type) -> classes.putObject(name)
                .put("effect", type.effect().name().toLowerCase(Locale.ROOT))
                .put("group", type.group().name().toLowerCase(Locale.ROOT))
                .put("window_ms", type.window()));
        Files.writeString(folder.resolve(NAME), json.toPrettyString() + "\n");
    }

    /** Reads it from a folder; the error says what is wrong with it. */
    static AuditRules read(Path folder) throws IOException {
        Path file = folder.resolve(NAME);
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": there is no such file, expected the folder of a run");
        }
        try {
            JsonNode json = JSON.readTree(Files.readString(file));
            Map<String, ClassTerms> classes = new HashMap<>();
            for (Map.Entry<String, JsonNode> one : json.path("classes").properties()) {
                JsonNode type = one.getValue();
                classes.put(
                        one.getKey(),
                        new ClassTerms(
                                Effect.valueOf(type.path("effect").asText().toUpperCase(Locale.ROOT)),
                                Group.valueOf(type.path("group").asText("all").toUpperCase(Locale.ROOT)),
                                type.path("window_ms").asDouble(0)));
            }
            return new AuditRules(
                    classes,
                    number(json, "answer_grace_ms"),
                    number(json, "drain_grace_ms"),
                    number(json, "slack_ms"),
                    number(json, "hold_ms"),
                    json.path("callers_whole").asBoolean(),
                    json.path("servers_whole").asBoolean());
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private static double number(JsonNode json, String name) {
        double value = json.path(name).asDouble(-1);
        if (!(value >= 0)) {
            throw new IllegalArgumentException("expected a number of ms in " + name);
        }
        return value;
    }
}
