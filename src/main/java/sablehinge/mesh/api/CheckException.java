package sablehinge.mesh.api;

import java.util.List;

/** A configuration that can't be taken. Its message is that of the first problem, with its place. */
public final class CheckException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** What is wrong, for callers that tell cases apart. */
    public enum Code {
        /** No JSON, or not one complete value: cut short, followed by more, nested too deep, a key twice. */
        NOT_JSON,
        /** A field is missing, of another type, or out of the range that its type has here. */
        SCHEMA,
        /** A route names a service that the configuration does not have. */
        UNKNOWN_SERVICE,
        /** Two routes share host and prefix. */
        SAME_PLACE,
        /** A prefix does not begin and end with a slash. */
        BAD_PREFIX,
        /** A service's share of a route is below 0. */
        BELOW_ZERO,
        /** A route's time-out is over ten minutes. */
        LONG_TIMEOUT,
        /** A route has no attempts. */
        NO_ATTEMPTS,
        /** Two tenants share a key. */
        SHARED_KEY,
        /** Two services, or two tenants, share a name. */
        SAME_NAME,
        /** The edition is not above the current one. */
        OLD_EDITION
    }

    /**
     * One thing that is wrong.
     *
     * @param place a JSON pointer, or line, column and byte (all from 1, the byte from 0) in what is no JSON
     * @param text what was expected there and what was found, in one line; it never tells a tenant's key
     */
    public record Problem(Code code, String place, String text) {}

    private final transient List<Problem> problems;

    private final Code code;

    private final String place;

    /** Of at least one problem. */
    public CheckException(List<Problem> problems) {
        super(problems.get(0).place() + ": " + problems.get(0).text());
        this.problems = List.copyOf(problems);
        code = problems.get(0).code();
        place = problems.get(0).place();
    }

    CheckException(Code code, String place, String text) {
        this(List.of(new Problem(code, place, text)));
    }

    /** What the first problem is. */
    public Code code() {
        return code;
    }

    /** Where the first problem is: a JSON pointer, or line, column and byte in what is no JSON. */
    public String place() {
        return place;
    }

    /** All problems that were found, at most {@link ConfigurationCheck#MAX_PROBLEMS}; at least one. */
    public List<Problem> problems() {
        return problems;
    }
}
