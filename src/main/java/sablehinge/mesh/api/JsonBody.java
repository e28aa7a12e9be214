package sablehinge.mesh.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Encodes records as JSON bodies. The class is separate so that Jackson is loaded only with the first such answer. */
final class JsonBody {

    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonBody() {}

    static byte[] encode(Record answer) {
        try {
            return JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot encode as JSON: " + answer.getClass().getName(), e);
        }
    }
}
