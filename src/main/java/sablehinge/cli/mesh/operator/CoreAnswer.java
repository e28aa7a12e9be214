package sablehinge.cli.mesh.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** The words of an error that came as an answer. */
record CoreAnswer(String code, String place, String message) {

    private static final int MAX_LENGTH = 400;

    static CoreAnswer of(HttpCaller.Answer answer) {
        JsonNode body = null;
        try {
            body = Json.tree(answer.body());
        } catch (IOException e) {
            // Whoever answered is no machine of a core; its status says something all the same.
        }
        if (body == null || !body.isObject()) {
            return new CoreAnswer("HTTP_" + answer.status(), "", "the answer is not one of this system");
        }
        return new CoreAnswer(
                cut(body.path("code").asText("HTTP_" + answer.status())),
                cut(body.path("place").asText("")),
                cut(body.path("message").asText("no reason was given")));
    }

    private static String cut(String text) {
        return Shell.plain(text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH) + "...");
    }

    String line() {
        return code + (place.isEmpty() ? "" : " at " + place) + ": " + message;
    }
}
