package sablehinge.dataplane.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import sablehinge.dataplane.http1.BadRequestException;

/** The names of the mesh's headers (PROTOCOL) and of the headers between sidecars. */
final class MeshHeaders {

    static final String TRY_ID = "Sablehinge-Try-Id";
    static final String TIME_LEFT = "Sablehinge-Time-Left";
    static final String KEY = "Sablehinge-Key";
    static final String SENDER = "Sablehinge-Sender";
    static final String CALLER = "Sablehinge-Caller";
    static final String DELIVER_TO = "Sablehinge-Deliver-To";
    static final String POSTMARK = "Sablehinge-Postmark";
    static final String NOT_RUN = "Sablehinge-Not-Run";
    /** Between sidecars: how long the request may wait for a concurrency slot, in ms, and its priority. */
    static final String QUEUE_TIMEOUT = "Sablehinge-Patience";

    static final String RANK = "Sablehinge-Rank";
    /** Between sidecars: what is known about the execution of the request. */
    static final String VERDICT = "Sablehinge-Verdict";

    static final String VERDICT_NOT_RUN = "not-run";
    static final String VERDICT_RAN = "ran";
    static final String VERDICT_MAY_HAVE_RUN = "may-have-run";
    private static final int MAX_MS = 600_000;

    private MeshHeaders() {}

    /** The single value of a header, or null; repeated headers are rejected because they are ambiguous. */
    static String single(HttpHeaders headers, String name) throws BadRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is repeated");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /** The value of a header in ms, or {@code absent} if the header is missing. */
    static double millis(HttpHeaders headers, String name, double absent) throws BadRequestException {
        String text = single(headers, name);
        if (text == null) {
            return absent;
        }
        try {
            double value = Double.parseDouble(text.strip());
            if (value >= 0 && value < Double.POSITIVE_INFINITY) {
                return Math.min(MAX_MS, value);
            }
        } catch (NumberFormatException e) {
            // Rejected below, like any other invalid duration.
        }
        throw new BadRequestException(name + " is no number of ms");
    }

    /** Hashes the name of an upstream's incarnation to a number. */
    static long incarnation(String upstream) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < upstream.length(); i++) {
            hash = (hash ^ upstream.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
