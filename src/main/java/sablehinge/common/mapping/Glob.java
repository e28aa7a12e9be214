package sablehinge.common.mapping;

/** A pattern in which {@code *} matches any characters, or none. */
public final class Glob {

    private final String pattern;

    /** Creates a pattern from its text. */
    public Glob(String pattern) {
        this.pattern = pattern;
    }

    /** Whether the complete text matches; takes at most as many steps as the product of the two lengths. */
    public boolean matches(String text) {
        int at = 0;
        int in = 0;
        int star = -1;
        int resume = 0;
        while (in < text.length()) {
            if (at < pattern.length() && pattern.charAt(at) == '*') {
                star = at++;
                resume = in;
            } else if (at < pattern.length() && pattern.charAt(at) == text.charAt(in)) {
                at++;
                in++;
            } else if (star >= 0) {
                // The last star matches one character more; earlier stars need no further backtracking.
                at = star + 1;
                in = ++resume;
            } else {
                return false;
            }
        }
        while (at < pattern.length() && pattern.charAt(at) == '*') {
            at++;
        }
        return at == pattern.length();
    }
}
