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

/** The file {@code terms.json} of a run: the {@link AuditRules} that the evidence is checked against. */
public final class AuditRulesFile {

    /** The file's name in the folder of a run. */
    public static final String NAME = "terms.json";

    private static final JsonMapper JSON = new JsonMapper();

    private AuditRulesFile() {}

    /** Writes the file into a folder. */
    public static void write(Path folder, AuditRules rules) throws IOException {
        ObjectNode json = JSON.createObjectNode();
        json.put("answer_grace_ms", rules.answerGrace())
                .put("drain_grace_ms", rules.drainGrace())
                .put("slack_ms", rules.slack())
                .put("hold_ms", rules.hold())
                .put("callers_whole", rules.callersComplete())
                .put("servers_whole", rules.serversComplete());
        ObjectNode classes = json.putObject("classes");
        rules.classes().forEach((name, type) -> classes.putObject(name)
                .put("effect", type.effect().name().toLowerCase(Locale.ROOT))
                .put("group", type.group().name().toLowerCase(Locale.ROOT))
                .put("window_ms", type.window()));
        Files.writeString(folder.resolve(NAME), json.toPrettyString() + "\n");
    }

    /** Reads the file from a folder; the exception's message names the file and the fault. */
    static AuditRules read(Path folder) throws IOException {
        Path file = folder.resolve(NAME);
        if (!Files.isRegularFile(file)) {
            throw new IOException(file + ": there is no such file, expected the folder of a run");
        }
        try {
            JsonNode json = JSON.readTree(Files.readString(file));
            Map<String, ClassTerms> classes = new HashMap<>();
            for (Map.Entry<String, JsonNode> entry : json.path("classes").properties()) {
                JsonNode type = entry.getValue();
                classes.put(
                        entry.getKey(),
                        new ClassTerms(
                                Effect.valueOf(type.path("effect").asText().toUpperCase(Locale.ROOT)),
                                Group.valueOf(type.path("group").asText("all").toUpperCase(Locale.ROOT)),
                                type.path("window_ms").asDouble(0)));
            }
            return new AuditRules(
                    classes,
                    requiredMillis(json, "answer_grace_ms"),
                    requiredMillis(json, "drain_grace_ms"),
                    requiredMillis(json, "slack_ms"),
                    requiredMillis(json, "hold_ms"),
                    json.path("callers_whole").asBoolean(),
                    json.path("servers_whole").asBoolean());
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private static double requiredMillis(JsonNode json, String name) {
        double value = json.path(name).asDouble(-1);
        if (!(value >= 0)) {
            throw new IllegalArgumentException("expected a number of ms in " + name);
        }
        return value;
    }
}
