package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Hop-by-hop headers (RFC 9110, 7.6.1), and those that frame a message. */
public final class HopHeaders {

    private static final Set<String> HOP_BY_HOP = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    /** The prefix of the names of the mesh protocol's own headers. */
    private static final String MESH_PREFIX = "Sablehinge-";

    static {
        HOP_BY_HOP.addAll(Set.of(
                "Connection",
                "Keep-Alive",
                "Proxy-Connection",
                "Proxy-Authenticate",
                "Proxy-Authorization",
                "TE",
                "Trailer",
                "Transfer-Encoding",
                "Upgrade",
                "Content-Length",
                "Expect"));
    }

    private HopHeaders() {}

    /** Copies the end-to-end headers of one message to another. */
    public static void copy(HttpHeaders from, HttpHeaders to) {
        Set<String> options = connectionOptions(from);
        for (Map.Entry<String, String> header : from) {
            if (!HOP_BY_HOP.contains(header.getKey()) && !options.contains(header.getKey())) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /**
     * The names in the Connection header of a message. Headers of the mesh protocol are excluded: a sender could
     * otherwise remove headers that were set after it, such as the caller's name.
     */
    private static Set<String> connectionOptions(HttpHeaders headers) {
        if (!headers.contains("Connection")) {
            return Set.of();
        }
        Set<String> options = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",")) {
                if (!name.strip().regionMatches(true, 0, MESH_PREFIX, 0, MESH_PREFIX.length())) {
                    options.add(name.strip());
                }
            }
        }
        return options;
    }
}
