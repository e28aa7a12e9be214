package sablehinge.common.mapping;

import java.util.Set;

/** What a log of JSON lines may tell of a request, and the formats that have names. */
public final class LogFields {

    /** What a map of fields may name. */
    public static final Set<String> WANTED = Set.of(
            "time",
            "end_time",
            "duration_ms",
            "duration_s",
            "caller",
            "method",
            "target",
            "status",
            "bytes",
            "request_bytes",
            "id",
            "host");
    /** Formats that are known by a name; any other is an nginx {@code log_format} with its variables. */
    public static final Set<String> FORMATS = Set.of("auto", "common", "combined", "haproxy", "har", "json");

    private LogFields() {}
}
