package sablehinge.common.mapping;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A text with names in braces that are replaced by values of a request: the names of its path pattern,
 * {@code {method}}, {@code {host}}, {@code {path}}, {@code {caller}}, {@code {query.NAME}} and {@code {header.NAME}}.
 */
public final class Template {

    private static final Set<String> BUILT_IN = Set.of("method", "host", "path", "caller");

    /** Fixed text, or the name of a value. */
    private record Part(String text, boolean variable) {}

    private final List<Part> parts = new ArrayList<>();

    /**
     * Creates a template from its text; the message of the {@link IllegalArgumentException} says what is wrong with it.
     *
     * @param names those of the path pattern
     */
    public Template(String text, Set<String> names) {
        int at = 0;
        while (at < text.length()) {
            int open = text.indexOf('{', at);
            if (open != at) {
                int end = open < 0 ? text.length() : open;
                parts.add(new Part(text.substring(at, end), false));
                at = end;
                continue;
            }
            int close = text.indexOf('}', open);
            if (close < 0) {
                throw new IllegalArgumentException("a { without its }");
            }
            String name = text.substring(open + 1, close);
            boolean prefixed =
                    name.startsWith("query.") && name.length() > 6 || name.startsWith("header.") && name.length() > 7;
            if (!prefixed && !names.contains(name) && !BUILT_IN.contains(name)) {
                throw new IllegalArgumentException("nothing is called {" + name + "}, expected a name of the"
                        + " path pattern, {method}, {host}, {path}, {caller}, {query.NAME} or {header.NAME}");
            }
            parts.add(new Part(name.startsWith("header.") ? name.toLowerCase(Locale.ROOT) : name, true));
            at = close + 1;
        }
    }

    /** Whether it has the same text for every request. */
    public boolean isFixed() {
        return parts.stream().noneMatch(Part::variable);
    }

    /** The text for a request; missing values are empty. */
    String fill(RequestAttributes request, Map<String, String> found) {
        if (parts.size() == 1) {
            return value(parts.get(0), request, found);
        }
        StringBuilder text = new StringBuilder();
        parts.forEach(part -> text.append(value(part, request, found)));
        return text.toString();
    }

    private static String value(Part part, RequestAttributes request, Map<String, String> found) {
        if (!part.variable) {
            return part.text;
        }
        String value = found.get(part.text);
        if (value == null) {
            value = switch (part.text) {
                case "method" -> request.method();
                case "host" -> request.host();
                case "path" -> request.path();
                case "caller" -> request.caller();
                default ->
                    part.text.startsWith("query.")
                            ? request.query(part.text.substring(6))
                            : request.headers().get(part.text.substring(7));
            };
        }
        return value == null ? "" : value;
    }
}
