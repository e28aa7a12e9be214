package sablehinge.common.mapping;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A path such as {@code /tiles/{z}/{x}/*}: a part in braces takes one part of the path by a name, a star takes one
 * without, and {@code **} or {@code {name...}} at the end take all that is left, which may be nothing. A part may have
 * text round its name or star: {@code {y}.png}.
 */
public final class PathPattern {

    /** A part: what it begins and ends with, and the name of what lies between; null for a fixed text. */
    private record Part(String head, String name, String tail) {

        boolean matches(String text) {
            if (name == null) {
                return text.equals(head);
            }
            return text.length() > head.length() + tail.length() && text.startsWith(head) && text.endsWith(tail);
        }
    }

    private final List<Part> parts = new ArrayList<>();
    private final Set<String> names = new LinkedHashSet<>();
    private boolean open;
    private String rest = "";

    /** A pattern by its text; {@link IllegalArgumentException} says what is wrong with it. */
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
                open = true;
                if (!segment.equals("**")) {
                    rest = name(segment.substring(1, segment.length() - 4));
                }
            } else {
                parts.add(part(segment));
            }
        }
    }

    private Part part(String segment) {
        int star = segment.indexOf('*');
        int brace = segment.indexOf('{');
        if (star < 0 && brace < 0) {
            if (segment.indexOf('}') >= 0) {
                throw new IllegalArgumentException("a } without its { in " + segment);
            }
            return new Part(segment, null, "");
        }
        int from = brace < 0 ? star : brace;
        int to = brace < 0 ? star + 1 : segment.indexOf('}', brace) + 1;
        if (to <= from) {
            throw new IllegalArgumentException("a { without its } in " + segment);
        }
        String tail = segment.substring(to);
        if (tail.matches(".*[*{}].*") || brace >= 0 && star >= 0) {
            throw new IllegalArgumentException("more than one name or star in " + segment);
        }
        return new Part(segment.substring(0, from), brace < 0 ? "" : name(segment.substring(from + 1, to - 1)), tail);
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

    /** The names that it gives. */
    public Set<String> names() {
        return names;
    }

    /** What the path's parts are by the pattern's names; null if the path is not of this form. */
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
            if (!open && (i == parts.size() - 1) != (slash < 0)) {
                return null;
            }
            Part part = parts.get(i);
            String text = path.substring(at, end);
            if (!part.matches(text)) {
                return null;
            }
            if (part.name != null && !part.name.isEmpty()) {
                found.put(part.name, text.substring(part.head.length(), text.length() - part.tail.length()));
            }
            at = end + 1;
        }
        if (open && !rest.isEmpty()) {
            found.put(rest, at <= path.length() ? path.substring(at) : "");
        }
        return found;
    }
}
