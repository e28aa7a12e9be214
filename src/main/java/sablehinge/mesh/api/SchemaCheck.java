package sablehinge.mesh.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sablehinge.mesh.api.CheckException.Code;
import sablehinge.mesh.api.CheckException.Problem;

/** Validates a JSON tree against the configuration schema. The schema is loaded on first use. */
final class SchemaCheck {

    private static final String RESOURCE = "/sablehinge/mesh/api/configuration.schema.json";

    private static final int MAX_SHOWN_CHARS = 60;

    /** Maximum edit distance between a field name and a suggested one. */
    private static final int MAX_TYPO_DISTANCE = 2;

    private SchemaCheck() {}

    static List<Problem> problems(JsonNode root) {
        List<Problem> problems = new ArrayList<>();
        for (ValidationMessage message : SchemaHolder.SCHEMA.validate(root)) {
            problems.add(problem(message));
        }
        return problems;
    }

    private static Problem problem(ValidationMessage message) {
        String pointer = message.getInstanceLocation().toString();
        if (message.getType().equals("required")) {
            List<String> present = new ArrayList<>();
            message.getInstanceNode().fieldNames().forEachRemaining(present::add);
            String nearest = NearestName.of(message.getProperty(), present, MAX_TYPO_DISTANCE);
            return new Problem(
                    Code.SCHEMA,
                    pointer + "/" + message.getProperty(),
                    "this field was expected, found none"
                            + (nearest == null ? "" : "; the nearest one there is \"" + nearest + "\""));
        }
        JsonNode bound = message.getSchemaNode();
        String expected =
                switch (message.getType()) {
                    case "type" -> typeNames(bound);
                    case "enum" -> "one of " + bound;
                    case "minimum" -> "at least " + bound.asText();
                    case "maximum" -> "at most " + bound.asText();
                    case "minLength" -> "a text that is not empty";
                    case "minItems" -> "a list that is not empty";
                    default -> message.getType() + " " + bound;
                };
        return new Problem(
                Code.SCHEMA,
                pointer.isEmpty() ? "/" : pointer,
                expected + " was expected, found " + describe(message.getInstanceNode(), pointer));
    }

    private static String typeNames(JsonNode types) {
        if (types.isTextual()) {
            return types.asText();
        }
        List<String> names = new ArrayList<>();
        types.forEach(type -> names.add(type.asText()));
        return String.join(" or ", names);
    }

    /** A short text of a value for a message, on one line and without tenants' keys. */
    static String describe(JsonNode value, String pointer) {
        String type = value.getNodeType().toString().toLowerCase(Locale.ROOT);
        if (value.isContainerNode() || pointer.contains("/passes")) {
            return type + (value.isContainerNode() ? " of " + value.size() : "");
        }
        String text = value.toString();
        return text.length() <= MAX_SHOWN_CHARS ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
    }

    private static final class SchemaHolder {

        static final JsonSchema SCHEMA = load();

        private static JsonSchema load() {
            try (InputStream in = SchemaCheck.class.getResourceAsStream(RESOURCE)) {
                return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(
                                in,
                                SchemaValidatorsConfig.builder()
                                        .pathType(PathType.JSON_POINTER)
                                        .locale(Locale.ROOT)
                                        .build());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
