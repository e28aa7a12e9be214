package sablehinge.common.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Set;

/** Describes errors in a settings file by its schema; too slow to load if there are none. */
final class LocalSchema {

    private static final String RESOURCE = "/sablehinge/common/settings/local.schema.json";

    private static final int MAX_SHOWN = 60;

    private LocalSchema() {}

    /** Describes the first error in one line: the key, what was expected and what was found. */
    static String describe(byte[] toml, String key) {
        try {
            for (ValidationMessage message : check(new TomlMapper().readTree(toml))) {
                return describe(message);
            }
        } catch (IOException | RuntimeException e) {
            // The library fails on numbers such as NaN; the key is known all the same.
            return printable(key) + ": is missing or not as expected ("
                    + e.getClass().getSimpleName() + ")";
        }
        return printable(key) + ": is missing or not as expected";
    }

    private static String printable(String key) {
        return key.replaceAll("\\p{Cntrl}", " ");
    }

    static Set<ValidationMessage> check(JsonNode root) throws IOException {
        try (InputStream in = LocalSchema.class.getResourceAsStream(RESOURCE)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(
                            in,
                            SchemaValidatorsConfig.builder()
                                    .pathType(PathType.JSON_POINTER)
                                    .locale(Locale.ROOT)
                                    .build())
                    .validate(root);
        }
    }

    private static String describe(ValidationMessage message) {
        String location = message.getInstanceLocation().toString();
        String key = location.isEmpty() ? "" : location.substring(1).replace('/', '.');
        JsonNode constraint = message.getSchemaNode();
        String expected =
                switch (message.getType()) {
                    case "required" -> {
                        key = (key.isEmpty() ? "" : key + ".") + message.getProperty();
                        yield "this key";
                    }
                    case "type" -> "of type " + constraint.asText();
                    case "enum" -> "one of " + constraint;
                    case "minimum" -> "at least " + constraint.asText();
                    case "maximum" -> "at most " + constraint.asText();
                    case "minLength" -> "a text that is not empty";
                    case "minItems", "maxItems" -> "a list of " + constraint.asText();
                    case "pattern" -> "an address with a port";
                    default -> message.getType() + " " + constraint;
                };
        String found = message.getType().equals("required")
                ? "none"
                : message.getInstanceNode().toString();
        return key + ": " + expected + " was expected, found "
                + (found.length() <= MAX_SHOWN ? found : found.substring(0, MAX_SHOWN) + "...");
    }
}
