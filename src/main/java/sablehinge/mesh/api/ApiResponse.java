package sablehinge.mesh.api;

import java.nio.charset.StandardCharsets;

/**
 * An answer in the words of HTTP.
 *
 * @param location where to call instead; null for none
 * @param body JSON; not to be changed
 */
public record ApiResponse(int status, String location, byte[] body) {

    private static final byte[] NOTHING = "{}".getBytes(StandardCharsets.US_ASCII);

    /** An answer that says no more than its status. */
    public static ApiResponse of(int status) {
        return new ApiResponse(status, null, NOTHING);
    }

    /** An answer with a body. */
    public static ApiResponse of(int status, byte[] body) {
        return new ApiResponse(status, null, body);
    }

    /** An answer whose body is a record. Its first call loads much: it belongs on a thread that nothing waits for. */
    public static ApiResponse of(int status, Record answer) {
        return new ApiResponse(status, null, JsonBody.of(answer));
    }

    /** An error with a code and words, which are plain text. */
    public static ApiResponse error(int status, String code, String words) {
        return error(status, code, "", words);
    }

    /** An error with a code, the place in what was sent, and words; place and words are plain text. */
    public static ApiResponse error(int status, String code, String place, String words) {
        return new ApiResponse(
                status,
                null,
                ("{\"code\":\"" + code + "\""
                                + (place.isEmpty() ? "" : ",\"place\":\"" + escaped(place) + "\"")
                                + ",\"message\":\"" + escaped(words) + "\"}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Call elsewhere. */
    public static ApiResponse elsewhere(String location) {
        return new ApiResponse(307, location, NOTHING);
    }

    private static String escaped(String words) {
        StringBuilder out = new StringBuilder(words.length());
        for (int i = 0; i < words.length(); i++) {
            char c = words.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else {
                out.append(c < ' ' ? ' ' : c);
            }
        }
        return out.toString();
    }
}
