package sablehinge.common.mapping;

import java.util.Set;

/** The fields of a request that a log of JSON lines may contain, and the named log formats. */
public final class LogFields {

    /** The fields that a field map may name. */
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
    /** The named formats; any other is an nginx {@code log_format} with its variables. */
    public static final Set<String> FORMATS = Set.of("auto", "common", "combined", "haproxy", "har", "json");

    private LogFields() {}
}
