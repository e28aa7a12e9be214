package sablehinge.common.mapping;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A path such as {@code /tiles/{z}/{x}/*}. A name in braces matches one segment of the path, a star matches one segment
 * without a name, and {@code **} or {@code {name...}} at the end match the rest, which may be empty. A segment may have
 * text before and after its name or star: {@code {y}.png}.
 */
public final class PathPattern {

    /**
     * A segment of the pattern: its prefix and suffix, and the name of the text between them; the name is null for a
     * fixed text.
     */
    private record Segment(String prefix, String name, String suffix) {

        boolean matches(String text) {
            if (name == null) {
                return text.equals(prefix);
            }
            return text.length() > prefix.length() + suffix.length()
                    && text.startsWith(prefix)
                    && text.endsWith(suffix);
        }
    }

    private final List<Segment> parts = new ArrayList<>();
    private final Set<String> names = new LinkedHashSet<>();
    private boolean hasRest;
    private String restName = "";

    /**
     * Creates a pattern from its text; the message of the {@link IllegalArgumentException} says what is wrong with it.
     */
    public PathPattern(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("expected a path that begins with /");
        }
        String[] segments = text.substring(1).split("/", -1);
        for (int i = 0; i < segments.length; i++) {
            String segment = segments[i];
            boolean last = i == segments.length - 1;
            if (segment.equals("**") || segment.endsWith("...}") && segment.startsWith("{")) {
                if (!last) {
                    throw new IllegalArgumentException(segment + " takes all that is left, expected it at the end");
                }
                hasRest = true;
                if (!segment.equals("**")) {
                    restName = name(segment.substring(1, segment.length() - 4));
                }
            } else {
                parts.add(parseSegment(segment));
            }
        }
    }

    private Segment parseSegment(String segment) {
        int star = segment.indexOf('*');
        int brace = segment.indexOf('{');
        if (star < 0 && brace < 0) {
            if (segment.indexOf('}') >= 0) {
                throw new IllegalArgumentException("a } without its { in " + segment);
            }
            return new Segment(segment, null, "");
        }
        int from = brace < 0 ? star : brace;
        int to = brace < 0 ? star + 1 : segment.indexOf('}', brace) + 1;
        if (to <= from) {
            throw new IllegalArgumentException("a { without its } in " + segment);
        }
        String suffix = segment.substring(to);
        if (suffix.matches(".*[*{}].*") || brace >= 0 && star >= 0) {
            throw new IllegalArgumentException("more than one name or star in " + segment);
        }
        return new Segment(
                segment.substring(0, from), brace < 0 ? "" : name(segment.substring(from + 1, to - 1)), suffix);
    }

    private String name(String name) {
        if (!name.matches("[A-Za-z][A-Za-z0-9_]{0,31}")) {
            throw new IllegalArgumentException("expected a name of letters, digits and _ in {" + name + "}");
        }
        if (!names.add(name)) {
            throw new IllegalArgumentException("{" + name + "} stands there twice");
        }
        return name;
    }

    /** The names in the pattern. */
    public Set<String> names() {
        return names;
    }

    /** The segments of a path by the pattern's names; null if the path does not match. */
    Map<String, String> match(String path) {
        if (!path.startsWith("/")) {
            return null;
        }
        Map<String, String> found = names.isEmpty() ? Map.of() : new HashMap<>();
        int at = 1;
        for (int i = 0; i < parts.size(); i++) {
            if (at > path.length()) {
                return null;
            }
            int slash = path.indexOf('/', at);
            int end = slash < 0 ? path.length() : slash;
            if (!hasRest && (i == parts.size() - 1) != (slash < 0)) {
                return null;
            }
            Segment part = parts.get(i);
            String text = path.substring(at, end);
            if (!part.matches(text)) {
                return null;
            }
            if (part.name != null && !part.name.isEmpty()) {
                found.put(part.name, text.substring(part.prefix.length(), text.length() - part.suffix.length()));
            }
            at = end + 1;
        }
        if (hasRest && !restName.isEmpty()) {
            found.put(restName, at <= path.length() ? path.substring(at) : "");
        }
        return found;
    }
}
