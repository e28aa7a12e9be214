package sablehinge.torture;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** A request of a played caller and what is known of it on both sides. */
class PlayedRequest {

    final String id;
    /** Bytes of its body. */
    final int length;
    /** How often it has run. */
    int ran;
    /** Whether its caller was promised that it has not run. */
    boolean promised;

    PlayedRequest(String id, int length) {
        this.id = id;
        this.length = length;
    }

    /** The body of its answer. */
    String body() {
        return "made for " + id;
    }

    /** Whether an answer has the stamp and the body that were made for it. */
    boolean isAnsweredBy(HttpReader answer) {
        CRC32C sum = new CRC32C();
        sum.update(body().getBytes(StandardCharsets.US_ASCII));
        return ("s." + id).equals(answer.headers.get("sablehinge-postmark")) && sum.getValue() == answer.sum.getValue();
    }

    /** Whether a status promises that the request has not run. */
    static boolean isPromise(int status) {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }
}
