package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;

/**
 * Logs what becomes of each request that comes to its turn while its front drains, so that a stop which takes long can
 * be explained: on what kind of connection it came, and what stood before it there. It counts all of them and writes
 * the first ones.
 */
final class LateRequestLog {

    /** What became of a late request. */
    enum Outcome {
        /** It was handed on in its turn. */
        TAKEN,
        /** It was handed on before its turn, as it may be repeated. */
        TAKEN_EARLY,
        /** It was answered as one that has not run. */
        REFUSED,
        /** It stood behind another, and its connection ended with the answer to that: as if it had not been read. */
        UNREAD
    }

    private static final Logger LOG = LoggerFactory.getLogger(LateRequestLog.class);
    private static final int MAX_LINES = 100;

    private int total;

    /** How many there were. */
    int total() {
        return total;
    }

    /**
     * Takes down a request.
     *
     * @param drainingForMs since its front began to drain
     * @param ahead requests before it on its connection that are not answered
     */
    void add(
            CallerConnection connection,
            HttpRequest request,
            Outcome outcome,
            double now,
            double drainingForMs,
            int ahead) {
        total++;
        if (total > MAX_LINES) {
            return;
        }
        Log.info(LOG, "late-request")
                .addKeyValue("connection", connection.number())
                .addKeyValue("path", request.uri())
                .addKeyValue("outcome", outcome)
                .addKeyValue("draining-ms", Math.round(drainingForMs))
                .addKeyValue("connected-ms", Math.round(now - connection.openedAt()))
                .addKeyValue("answered", connection.answered())
                .addKeyValue("ahead", ahead)
                .log("a request comes to its turn while the balancer drains");
    }
}
