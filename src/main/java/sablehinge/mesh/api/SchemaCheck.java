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

/** What the schema says about a tree, as this project's problems. The schema is loaded when it is first used. */
final class SchemaCheck {

    private static final String RESOURCE = "/sablehinge/mesh/api/configuration.schema.json";

    private static final int MAX_SHOWN = 60;

    /** Letters in which a field's name may differ from the one that it was meant to be. */
    private static final int MISTYPED = 2;

    private SchemaCheck() {}

    static List<Problem> problems(JsonNode root) {
        List<Problem> problems = new ArrayList<>();
        for (ValidationMessage message : Loaded.SCHEMA.validate(root)) {
            problems.add(problem(message));
        }
        return problems;
    }

    private static Problem problem(ValidationMessage message) {
        String place = message.getInstanceLocation().toString();
        if (message.getType().equals("required")) {
            List<String> there = new ArrayList<>();
            message.getInstanceNode().fieldNames().forEachRemaining(there::add);
            String nearest = NearestName.of(message.getProperty(), there, MISTYPED);
            return new Problem(
                    Code.SCHEMA,
                    place + "/" + message.getProperty(),
                    "this field was expected, found none"
                            + (nearest == null ? "" : "; the nearest one there is \"" + nearest + "\""));
        }
        JsonNode bound = message.getSchemaNode();
        String expected =
                switch (message.getType()) {
                    case "type" -> words(bound);
                    case "enum" -> "one of " + bound;
                    case "minimum" -> "at least " + bound.asText();
                    case "maximum" -> "at most " + bound.asText();
                    case "minLength" -> "a text that is not empty";
                    case "minItems" -> "a list that is not empty";
                    default -> message.getType() + " " + bound;
                };
        return new Problem(
                Code.SCHEMA,
                place.isEmpty() ? "/" : place,
                expected + " was expected, found " + found(message.getInstanceNode(), place));
    }

    private static String words(JsonNode types) {
        if (types.isTextual()) {
            return types.asText();
        }
        List<String> names = new ArrayList<>();
        types.forEach(type -> names.add(type.asText()));
        return String.join(" or ", names);
    }

    /** A value as a message may show it: short, in one line, and no key of a tenant. */
    static String found(JsonNode value, String place) {
        String type = value.getNodeType().toString().toLowerCase(Locale.ROOT);
        if (value.isContainerNode() || place.contains("/passes")) {
            return type + (value.isContainerNode() ? " of " + value.size() : "");
        }
        String text = value.toString();
        return text.length() <= MAX_SHOWN ? text : text.substring(0, MAX_SHOWN) + "...";
    }

    private static final class Loaded {

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
