package sablehinge.mesh.api;

import java.nio.charset.StandardCharsets;

/**
 * An HTTP response to a call.
 *
 * @param location the URL to call instead; null for none
 * @param body the JSON body, which must not be modified
 */
public record ApiResponse(int status, String location, byte[] body) {

    private static final byte[] EMPTY_BODY = "{}".getBytes(StandardCharsets.US_ASCII);

    /** A response with a status and an empty JSON object. */
    public static ApiResponse of(int status) {
        return new ApiResponse(status, null, EMPTY_BODY);
    }

    /** A response with a body. */
    public static ApiResponse of(int status, byte[] body) {
        return new ApiResponse(status, null, body);
    }

    /**
     * A response whose body is a record. The first call loads many classes, so it must not run on a latency-critical
     * thread.
     */
    public static ApiResponse of(int status, Record answer) {
        return new ApiResponse(status, null, JsonBody.encode(answer));
    }

    /** An error with a code and a plain-text message. */
    public static ApiResponse error(int status, String code, String message) {
        return error(status, code, "", message);
    }

    /** An error with a code, a place in the request and a message; place and message are plain text. */
    public static ApiResponse error(int status, String code, String place, String message) {
        return new ApiResponse(
                status,
                null,
                ("{\"code\":\"" + code + "\""
                                + (place.isEmpty() ? "" : ",\"place\":\"" + escape(place) + "\"")
                                + ",\"message\":\"" + escape(message) + "\"}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** A redirect to another location. */
    public static ApiResponse elsewhere(String location) {
        return new ApiResponse(307, location, EMPTY_BODY);
    }

    private static String escape(String message) {
        StringBuilder out = new StringBuilder(message.length());
        for (int i = 0; i < message.length(); i++) {
            char c = message.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else {
                out.append(c < ' ' ? ' ' : c);
            }
        }
        return out.toString();
    }
}
