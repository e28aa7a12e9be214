package sablehinge.dataplane.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import sablehinge.dataplane.http1.BadRequestException;

/** The names of the mesh's headers (PROTOCOL), and those that its balancers use among themselves. */
final class MeshHeaders {

    static final String TRY = "Sablehinge-Try-Id";
    static final String LEFT = "Sablehinge-Time-Left";
    static final String KEY = "Sablehinge-Key";
    static final String SENDER = "Sablehinge-Sender";
    static final String CALLER = "Sablehinge-Caller";
    static final String DELIVER = "Sablehinge-Deliver-To";
    static final String STAMP = "Sablehinge-Postmark";
    static final String NOT_RUN = "Sablehinge-Not-Run";
    /** Between balancers: how long the request may wait for a slot, in ms, and its rank. */
    static final String QUEUE_TIMEOUT = "Sablehinge-Patience";

    static final String RANK = "Sablehinge-Rank";
    /** Between balancers: what is known of the request; and where its upstream is leaving, that. */
    static final String VERDICT = "Sablehinge-Verdict";

    static final String PROVEN = "not-run";
    static final String RAN = "ran";
    static final String DOUBT = "may-have-run";
    private static final int MAX_MS = 600_000;

    private MeshHeaders() {}

    /** A header's one value, or null; two could be read as either. */
    static String single(HttpHeaders headers, String name) throws BadRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is repeated");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    /** A number of ms; {@code absent} where the header is not there. */
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
            // Rejected below, as any other text that is no time.
        }
        throw new BadRequestException(name + " is no number of ms");
    }

    /** An upstream's incarnation as a number. */
    static long incarnation(String upstream) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < upstream.length(); i++) {
            hash = (hash ^ upstream.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
