package sablehinge.cli.mesh.operator;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Parses JSON from the core, whose version may differ, and formats JSON for output. */
final class Json {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(SerializationFeature.INDENT_OUTPUT)
            .build();

    private Json() {}

    static JsonNode tree(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    static String text(Object value) {
        return MAPPER.valueToTree(value).toPrettyString();
    }
}
