package sablehinge.tools.replay;

import java.util.Map;

/**
 * One request of an access log.
 *
 * @param time when the request came, or when it ended where {@link LogFormat#timeIsEnd}, in ms since 1970; NaN where
 *     the log has none
 * @param duration how long the request took, in ms; NaN where the log doesn't tell
 * @param target path and query as they were requested
 * @param status 0 where there was no answer
 * @param bytes of the answer
 * @param requestBytes of the request; -1 where the log doesn't tell
 * @param id the request's id or idempotency key, whichever the log has; null where it has none
 * @param sure whether another id is certainly another request
 * @param host null where the log doesn't tell
 * @param headers by their names in lower case, those that the log has
 */
public record LogEntry(
        double time,
        double duration,
        String caller,
        String method,
        String target,
        int status,
        long bytes,
        long requestBytes,
        String id,
        boolean sure,
        String host,
        Map<String, String> headers) {}
