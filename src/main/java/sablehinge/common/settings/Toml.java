package sablehinge.common.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads TOML into maps, lists, texts, numbers and booleans, without a mapper. */
final class Toml {

    private Toml() {}

    static SettingsTable read(byte[] bytes) throws IOException {
        try (JsonParser in = new TomlFactory().createParser(bytes)) {
            in.nextToken();
            return new SettingsTable("", map(in));
        }
    }

    /** Describes a parse error and its position in one line. */
    static String describe(IOException e) {
        if (!(e instanceof JsonProcessingException)) {
            return e.getClass().getSimpleName();
        }
        JsonProcessingException problem = (JsonProcessingException) e;
        String line = problem.getOriginalMessage().lines().findFirst().orElse("");
        return problem.getLocation() == null
                ? line
                : "line " + problem.getLocation().getLineNr() + ", column "
                        + problem.getLocation().getColumnNr() + ": " + line;
    }

    private static Map<String, Object> map(JsonParser in) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            fields.put(name, value(in));
        }
        return fields;
    }

    private static Object value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> map(in);
            case START_ARRAY -> list(in);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> in.getText();
        };
    }

    private static List<Object> list(JsonParser in) throws IOException {
        List<Object> items = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(in));
        }
        return items;
    }
}
