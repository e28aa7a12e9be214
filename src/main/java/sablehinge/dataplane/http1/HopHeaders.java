package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Headers that concern one connection only (RFC 9110, 7.6.1), and those that frame a message. */
public final class HopHeaders {

    private static final Set<String> OF_A_CONNECTION = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    /** How the names of the protocol's own headers begin. */
    private static final String OURS = "Sablehinge-";

    static {
        OF_A_CONNECTION.addAll(Set.of(
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

    /** Adds to one message what another has and may go on with it. */
    public static void copy(HttpHeaders from, HttpHeaders to) {
        Set<String> named = named(from);
        for (Map.Entry<String, String> header : from) {
            if (!OF_A_CONNECTION.contains(header.getKey()) && !named.contains(header.getKey())) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    /**
     * What a message itself says is for its connection only. Headers of the protocol are not, whatever it says: a
     * sender could else take out what was set after it, such as the caller's name.
     */
    private static Set<String> named(HttpHeaders headers) {
        if (!headers.contains("Connection")) {
            return Set.of();
        }
        Set<String> named = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",")) {
                if (!name.strip().regionMatches(true, 0, OURS, 0, OURS.length())) {
                    named.add(name.strip());
                }
            }
        }
        return named;
    }
}
