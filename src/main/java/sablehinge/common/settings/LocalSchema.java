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

/** Describes what is wrong with a settings file, by its schema; too slow to load for more than that. */
final class LocalSchema {

    private static final String RESOURCE = "/sablehinge/common/settings/local.schema.json";

    private static final int MAX_SHOWN = 60;

    private LocalSchema() {}

    /** The first thing that is wrong: key, what was expected and found, in one line. */
    static String words(byte[] toml, String key) {
        try {
            for (ValidationMessage message : check(new TomlMapper().readTree(toml))) {
                return words(message);
            }
        } catch (IOException | RuntimeException e) {
            // The library stumbles at figures that are no number; the key is known all the same.
            return plain(key) + ": is missing or not as expected ("
                    + e.getClass().getSimpleName() + ")";
        }
        return plain(key) + ": is missing or not as expected";
    }

    private static String plain(String key) {
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

    private static String words(ValidationMessage message) {
        String place = message.getInstanceLocation().toString();
        String key = place.isEmpty() ? "" : place.substring(1).replace('/', '.');
        JsonNode bound = message.getSchemaNode();
        String expected =
                switch (message.getType()) {
                    case "required" -> {
                        key = (key.isEmpty() ? "" : key + ".") + message.getProperty();
                        yield "this key";
                    }
                    case "type" -> "of type " + bound.asText();
                    case "enum" -> "one of " + bound;
                    case "minimum" -> "at least " + bound.asText();
                    case "maximum" -> "at most " + bound.asText();
                    case "minLength" -> "a text that is not empty";
                    case "minItems", "maxItems" -> "a list of " + bound.asText();
                    case "pattern" -> "an address with a port";
                    default -> message.getType() + " " + bound;
                };
        String found = message.getType().equals("required")
                ? "none"
                : message.getInstanceNode().toString();
        return key + ": " + expected + " was expected, found "
                + (found.length() <= MAX_SHOWN ? found : found.substring(0, MAX_SHOWN) + "...");
    }
}
