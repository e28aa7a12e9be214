package sablehinge.replay;

/**
 * One line of an access log.
 *
 * @param time when it was written or the request came, as its format has it, in ms since 1970; NaN where it
 * has none
 * @param duration how long the request took, in ms; NaN where the log doesn't tell
 * @param target path and query as they were asked for
 * @param status 0 where there was no answer
 * @param id the request's id or idempotency key, whichever the log has; null where it has none
 * @param userAgent null where the log doesn't tell
 */
public record LogEntry(double time, double duration, String caller, String method, String target, int status,
        long bytes, String id, String userAgent) { }
