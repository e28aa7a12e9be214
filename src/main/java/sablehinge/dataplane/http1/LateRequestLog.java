package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;

/**
 * Logs the outcome of each request that is due while its frontend drains, so that a slow shutdown can be explained: on
 * what kind of connection it was received, and how many requests were ahead of it. Counts all of them and logs the
 * first ones.
 */
final class LateRequestLog {

    /** The outcome of a late request. */
    enum Outcome {
        /** It was passed to the proxy in its order. */
        TAKEN,
        /** It was passed to the proxy early, as it may be repeated. */
        TAKEN_EARLY,
        /** It was refused as not run. */
        REFUSED,
        /**
         * It was pipelined behind another request, and the connection ended with the response to that, as if this one
         * had not been read.
         */
        UNREAD
    }

    private static final Logger LOG = LoggerFactory.getLogger(LateRequestLog.class);
    private static final int MAX_LINES = 100;

    private int total;

    /** The number of late requests. */
    int total() {
        return total;
    }

    /**
     * Counts and logs a request.
     *
     * @param drainingForMs time since its frontend began to drain
     * @param ahead unanswered requests ahead of it on its connection
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
                .addKeyValue("answered", connection.responsesSent())
                .addKeyValue("ahead", ahead)
                .log("a request became due while the balancer drains");
    }
}
