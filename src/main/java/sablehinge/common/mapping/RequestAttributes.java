package sablehinge.common.mapping;

import java.util.Map;

/**
 * The attributes of a logged request that rules match.
 *
 * @param host without a port, in lower case; null if the log doesn't contain it
 * @param target path and query as requested
 * @param headers the headers that the log contains, by their names in lower case
 */
public record RequestAttributes(String method, String host, String target, String caller, Map<String, String> headers) {

    /** The path of the target without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The first value of a query parameter, not decoded; null if there is none. */
    public String query(String name) {
        int at = target.indexOf('?') + 1;
        while (at > 0 && at < target.length()) {
            int next = target.indexOf('&', at);
            int end = next < 0 ? target.length() : next;
            int equals = target.indexOf('=', at);
            int nameEnd = equals < 0 || equals > end ? end : equals;
            if (nameEnd - at == name.length() && target.startsWith(name, at)) {
                return target.substring(Math.min(end, nameEnd + 1), end);
            }
            at = end + 1;
        }
        return null;
    }
}
