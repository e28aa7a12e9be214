package sablehinge.mesh.api;

import java.util.List;

/** An invalid configuration. The message is that of the first problem, with its place. */
public final class CheckException extends RuntimeException {

    private static final long serialVersionUID = 1;

    /** The kind of a problem, for callers that distinguish them. */
    public enum Code {
        /**
         * Not valid JSON or not one complete value: truncated, followed by more data, nested too deeply, or with a
         * duplicate key.
         */
        NOT_JSON,
        /** A field is missing, has the wrong type, or is out of range. */
        SCHEMA,
        /** A route names a service that the configuration does not have. */
        UNKNOWN_SERVICE,
        /** Two routes have the same host and prefix. */
        SAME_PLACE,
        /** A prefix does not begin and end with a slash. */
        BAD_PREFIX,
        /** A service's share of a route is below 0. */
        BELOW_ZERO,
        /** A route's timeout is over ten minutes. */
        LONG_TIMEOUT,
        /** A route allows no attempts. */
        NO_ATTEMPTS,
        /** Two tenants share a key. */
        SHARED_KEY,
        /** Two services or two tenants have the same name. */
        SAME_NAME,
        /** The edition is not above the current one. */
        OLD_EDITION
    }

    /**
     * A problem of a configuration.
     *
     * @param place a JSON pointer, or line, column (both from 1) and byte (from 0) in malformed JSON
     * @param text the expected and the actual value, on one line and without tenants' keys
     */
    public record Problem(Code code, String place, String text) {}

    private final transient List<Problem> problems;

    private final Code code;

    private final String place;

    /** Creates an exception for at least one problem. */
    public CheckException(List<Problem> problems) {
        super(problems.get(0).place() + ": " + problems.get(0).text());
        this.problems = List.copyOf(problems);
        code = problems.get(0).code();
        place = problems.get(0).place();
    }

    CheckException(Code code, String place, String text) {
        this(List.of(new Problem(code, place, text)));
    }

    /** The code of the first problem. */
    public Code code() {
        return code;
    }

    /** The place of the first problem: a JSON pointer, or line, column and byte in malformed JSON. */
    public String place() {
        return place;
    }

    /** The found problems: at least one, at most {@link ConfigurationCheck#MAX_PROBLEMS}. */
    public List<Problem> problems() {
        return problems;
    }
}
