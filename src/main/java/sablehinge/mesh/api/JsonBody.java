package sablehinge.mesh.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Answers of many fields as JSON. It is loaded with the first such answer. */
final class JsonBody {

    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonBody() {}

    static byte[] of(Record answer) {
        try {
            return JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "no JSON can be made of a " + answer.getClass().getName(), e);
        }
    }
}
