package sablehinge.common.mapping;

import java.util.Map;
import java.util.Set;

/**
 * A rule with its conditions and the mapping of the requests that match. A condition that is null matches all requests.
 *
 * @param methods in upper case
 * @param header the pattern of a header's value, as the log contains it
 * @param query the pattern of a query parameter's value
 * @param key empty text for a request without one
 * @param tenant empty text for a request without one
 * @param deadline how long the caller waits, in ms; 0 for the default of the class
 * @param body bytes of the request's body; -1 for the default of the replay
 */
public record Rule(
        Set<String> methods,
        Glob host,
        PathPattern path,
        Named header,
        Named query,
        Template serviceClass,
        Template key,
        Template tenant,
        double deadline,
        int body) {

    /** The pattern of a value and its name: of a header in lower case, of a query parameter not decoded. */
    public record Named(String name, Glob value) {

        boolean matches(String found) {
            return found != null && value.matches(found);
        }
    }

    /** Maps a request by this rule; null if the rule does not match. */
    MappedRequest map(RequestAttributes request) {
        if (methods != null && !methods.contains(request.method())
                || host != null && (request.host() == null || !host.matches(request.host()))
                || header != null && !header.matches(request.headers().get(header.name))
                || query != null && !query.matches(request.query(query.name))) {
            return null;
        }
        Map<String, String> found = path == null ? Map.of() : path.match(request.path());
        if (found == null) {
            return null;
        }
        String name = serviceClass.fill(request, found);
        return name.isEmpty()
                ? null
                : new MappedRequest(name, key.fill(request, found), tenant.fill(request, found), deadline, body);
    }
}
