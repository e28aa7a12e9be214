package sablehinge.cli.mesh.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** The error that an answer describes, with its texts truncated. */
record CoreError(String code, String place, String message) {

    private static final int MAX_TEXT_LENGTH = 400;

    static CoreError of(HttpCaller.Answer answer) {
        JsonNode body = null;
        try {
            body = Json.tree(answer.body());
        } catch (IOException e) {
            // The answer is not from a machine of a core; only its status is used.
        }
        if (body == null || !body.isObject()) {
            return new CoreError("HTTP_" + answer.status(), "", "the answer is not one of this system");
        }
        return new CoreError(
                truncate(body.path("code").asText("HTTP_" + answer.status())),
                truncate(body.path("place").asText("")),
                truncate(body.path("message").asText("no reason was given")));
    }

    private static String truncate(String text) {
        return CommandContext.plain(
                text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + "...");
    }

    String line() {
        return code + (place.isEmpty() ? "" : " at " + place) + ": " + message;
    }
}
