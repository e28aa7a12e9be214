package sablehinge.common.mapping;

import java.util.Map;
import java.util.Set;

/**
 * Which requests it is for, and what they are. Each condition is null where any will do.
 *
 * @param methods in upper case
 * @param header the form of a header's value, as the log has it
 * @param query likewise of a query parameter's
 * @param key empty text for a request without one
 * @param tenant likewise
 * @param deadline how long the caller waits, in ms; 0 for the class's own
 * @param body bytes of the request's body; -1 for the replay's own
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

    /** A value by its name: of a header in lower case, of a query parameter as it stands. */
    public record Named(String name, Glob value) {

        boolean matches(String found) {
            return found != null && value.matches(found);
        }
    }

    /** What a request is by this rule; null if it is none of those that the rule is for. */
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
