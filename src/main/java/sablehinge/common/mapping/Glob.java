package sablehinge.common.mapping;

/** A text in which {@code *} stands for any characters, none among them. */
public final class Glob {

    private final String pattern;

    /** A pattern by its text. */
    public Glob(String pattern) {
        this.pattern = pattern;
    }

    /** Whether the complete text matches. Takes at most the product of the two lengths in steps. */
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
                // The last star takes one character more; those before it need never be tried again.
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
