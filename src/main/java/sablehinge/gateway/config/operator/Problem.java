package sablehinge.gateway.config.operator;

import java.util.Comparator;

/**
 * One thing that is wrong with an operator file.
 *
 * @param line counted from 1; 0 where no line is to blame, such as for a file that can't be read
 * @param key the path of the key, with its place in a list counted from 1; empty where no key is to blame
 * @param message what is wrong and what was expected, in one line
 */
public record Problem(int line, String key, String message) {

    /** In the order of lines. */
    public static final Comparator<Problem> BY_LINE =
            Comparator.comparingInt(Problem::line).thenComparing(Problem::key).thenComparing(Problem::message);

    /** {@code FILE:LINE: key: message}, without what is not known. */
    public String in(String file) {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
