package sablehinge.gateway.config.operator;

import java.util.Comparator;

/**
 * One error in an operator file.
 *
 * @param line line number, counted from 1; 0 if the error belongs to no line, for example if the file can't be read
 * @param key path of the key, with list indices counted from 1; empty if the error belongs to no key
 * @param message what is wrong and what was expected, in one line
 */
public record Problem(int line, String key, String message) {

    /** Orders problems by line, then by key and message. */
    public static final Comparator<Problem> BY_LINE =
            Comparator.comparingInt(Problem::line).thenComparing(Problem::key).thenComparing(Problem::message);

    /** Returns {@code FILE:LINE: key: message}, without the line or the key if they are absent. */
    public String in(String file) {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
