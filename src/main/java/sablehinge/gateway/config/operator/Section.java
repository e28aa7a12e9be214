package sablehinge.gateway.config.operator;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import sablehinge.gateway.settings.Addresses;

/**
 * Reads one table of an operator file. Each key is read with its type, range and default. An invalid value is reported
 * with its line and replaced by the default, so that one pass finds every error. After all keys have been read,
 * {@link #reportUnknownKeys} reports the remaining ones.
 */
public final class Section {

    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)\\s*(ms|s|m|h)");
    private static final Map<String, Double> UNITS = Map.of("ms", 1.0, "s", 1e3, "m", 6e4, "h", 3.6e6);
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final int MAX_QUOTED_CHARS = 40;
    /** Upper bound of most durations. */
    static final double HOUR_MS = 3.6e6;

    private final TomlTable table;
    private final String path;
    private final int line;
    private final List<Problem> problems;
    private final TreeSet<String> known = new TreeSet<>();

    /** Creates a reader for the table at a path and a line, which adds its errors to the problems. */
    public Section(TomlTable table, String path, int line, List<Problem> problems) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.problems = problems;
    }

    /** Returns the line of a key, or the line of the table if the key is absent. */
    int line(String key) {
        TomlPosition position = table == null ? null : table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Reports a problem with a key. */
    public void problem(String key, String message) {
        problems.add(new Problem(line(key), path(key), message));
    }

    /** Returns whether a key is present. */
    public boolean has(String key) {
        known.add(key);
        return table != null && table.get(List.of(key)) != null;
    }

    private Object raw(String key) {
        known.add(key);
        return table == null ? null : table.get(List.of(key));
    }

    /** Returns a value of the given type; null if it is absent or, after a problem was reported, of another type. */
    private <T> T typed(String key, Class<T> type, String expected) {
        Object value = raw(key);
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        problem(key, "expected " + expected + ", found " + describe(value));
        return null;
    }

    static String describe(Object value) {
        if (value instanceof String text) {
            return quote(text);
        }
        if (value instanceof TomlTable) {
            return "a table";
        }
        return value instanceof TomlArray ? "a list" : String.valueOf(value);
    }

    static String quote(String text) {
        return "\"" + plain(text, MAX_QUOTED_CHARS) + "\"";
    }

    /** Returns text without control characters and truncated, for use in a one-line error message. */
    public static String plain(String text, int maxChars) {
        String shown = text.codePoints()
                .limit(maxChars)
                .map(c -> Character.isISOControl(c) ? '?' : c)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
        return shown + (text.codePointCount(0, text.length()) > maxChars ? "…" : "");
    }

    /** Reads a string. */
    public String text(String key, String fallback) {
        String value = typed(key, String.class, "text in quotes");
        return value == null ? fallback : value;
    }

    /** Reads a name: letters, digits, dots, dashes and underscores, which never need quoting. */
    public String name(String key, String fallback) {
        String value = typed(key, String.class, "a name in quotes");
        if (value == null) {
            if (fallback == null && !has(key)) {
                problem(key, "is missing, expected a name");
            }
            return fallback;
        }
        if (!NAME.matcher(value).matches()) {
            problem(key, quote(value) + " is no name, expected 1 to 64 letters, digits, '.', '_' or '-'");
            return fallback;
        }
        return value;
    }

    /** Reads a boolean. */
    public boolean flag(String key, boolean fallback) {
        Boolean value = typed(key, Boolean.class, "true or false");
        return value == null ? fallback : value;
    }

    /** Reads an integer within a range. */
    public int integer(String key, int fallback, int min, int max) {
        Long value = typed(key, Long.class, "a whole number");
        if (value == null) {
            return fallback;
        }
        if (value < min || value > max) {
            problem(key, value + " is out of range, expected " + min + " to " + max);
            return fallback;
        }
        return value.intValue();
    }

    /** Reads a number within a range. */
    public double number(String key, double fallback, double min, double max) {
        Object value = raw(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Long || value instanceof Double)) {
            problem(key, "expected a number, found " + describe(value));
            return fallback;
        }
        double number = ((Number) value).doubleValue();
        // Rejects NaN too, for which each comparison is false.
        if (!(number >= min && number <= max)) {
            problem(key, value + " is out of range, expected " + plain(min) + " to " + plain(max));
            return fallback;
        }
        return number;
    }

    private static String plain(double number) {
        return new BigDecimal(Double.toString(number)).stripTrailingZeros().toPlainString();
    }

    /** Reads a duration and converts it to ms. A number without a unit is an error, since it is ambiguous. */
    public double duration(String key, double fallback, double min, double max) {
        Object value = raw(key);
        if (value == null) {
            return fallback;
        }
        Matcher parts = DURATION.matcher(value instanceof String text ? text : "");
        if (!parts.matches()) {
            problem(
                    key,
                    "expected a time with its unit such as \"250ms\", \"2.5s\" or \"1m\", found " + describe(value));
            return fallback;
        }
        double millis = Double.parseDouble(parts.group(1)) * UNITS.get(parts.group(2));
        if (millis < min || millis > max) {
            problem(key, quote((String) value) + " is out of range, expected " + millis(min) + " to " + millis(max));
            return fallback;
        }
        return millis;
    }

    static String millis(double value) {
        return value >= 1_000 ? plain(value / 1_000) + "s" : plain(value) + "ms";
    }

    /** Reads one of a fixed set of words. */
    public <T> T choice(String key, T fallback, Map<String, T> choices) {
        String value = typed(key, String.class, "one of " + listed(choices.keySet()));
        if (value == null) {
            return fallback;
        }
        T choice = choices.get(value);
        if (choice == null) {
            problem(key, unknown(quote(value), value, choices.keySet()));
            return fallback;
        }
        return choice;
    }

    /** Reads a numeric address with a port; null if it is absent or invalid. */
    public InetSocketAddress address(String key, boolean required) {
        String value = typed(key, String.class, "an address such as \"127.0.0.1:8080\"");
        if (value == null) {
            if (required && !has(key)) {
                problem(key, "is missing, expected an address such as \"127.0.0.1:8080\"");
            }
            return null;
        }
        try {
            return Addresses.parse(value);
        } catch (IllegalArgumentException e) {
            problem(
                    key,
                    quote(value) + " is no numeric address with a port, expected one such as"
                            + " \"127.0.0.1:8080\" or \"[::1]:8080\"");
            return null;
        }
    }

    /** Reads a list of existing names; null if the key is absent. */
    List<String> names(String key, Collection<String> existing, String what) {
        TomlArray array = typed(key, TomlArray.class, "a list of names of " + what);
        if (array == null) {
            return null;
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof String name)) {
                problem(key, "expected a list of names of " + what + ", found " + describe(array.get(i)));
            } else if (!existing.contains(name)) {
                problem(key, unknown("no " + what + " " + quote(name), name, existing));
            } else if (names.contains(name)) {
                problem(key, quote(name) + " is listed twice");
            } else {
                names.add(name);
            }
        }
        return names;
    }

    /** Reads a list of names. */
    public List<String> texts(String key) {
        TomlArray array = typed(key, TomlArray.class, "a list of names");
        List<String> names = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (array.get(i) instanceof String name && NAME.matcher(name).matches()) {
                names.add(name);
            } else {
                problem(key, "expected a list of names, found " + describe(array.get(i)));
            }
        }
        return names;
    }

    /** Reports a problem with a key of one table of a list; the index is counted from 0. */
    public void itemProblem(String list, int index, String key, String message) {
        TomlArray array = table.getArray(List.of(list));
        Object item = array == null || index >= array.size() ? null : array.get(index);
        if (item instanceof TomlTable inner) {
            TomlPosition position = array.inputPositionOf(index);
            new Section(
                            inner,
                            path(list) + "[" + (index + 1) + "]",
                            position == null ? line : position.line(),
                            problems)
                    .problem(key, message);
        }
    }

    /** Reads one of the existing names. */
    String reference(String key, String fallback, Collection<String> existing, String what) {
        String name = typed(key, String.class, "the name of a " + what);
        if (name == null) {
            return fallback;
        }
        if (!existing.contains(name)) {
            problem(key, unknown("no " + what + " " + quote(name), name, existing));
            return fallback;
        }
        return name;
    }

    /** Returns a nested table; empty if it is absent. */
    public Section section(String key) {
        TomlTable inner = typed(key, TomlTable.class, "a table [" + path(key) + "]");
        return new Section(inner, path(key), line(key), problems);
    }

    /** Reads a list of at most {@code max} tables with {@code reader}. */
    public <T> List<T> sections(String key, int max, Function<Section, T> reader) {
        TomlArray array = typed(key, TomlArray.class, "tables [[" + path(key) + "]]");
        List<T> items = new ArrayList<>();
        if (array == null) {
            return items;
        }
        if (array.size() > max) {
            problem(key, array.size() + " of them, expected " + max + " at most");
            return items;
        }
        for (int i = 0; i < array.size(); i++) {
            String itemPath = path(key) + "[" + (i + 1) + "]";
            TomlPosition position = array.inputPositionOf(i);
            int itemLine = position == null ? line(key) : position.line();
            if (array.get(i) instanceof TomlTable inner) {
                Section section = new Section(inner, itemPath, itemLine, problems);
                items.add(reader.apply(section));
                section.reportUnknownKeys();
            } else {
                problems.add(new Problem(
                        itemLine, itemPath, "expected a table [[" + path(key) + "]], found " + describe(array.get(i))));
            }
        }
        return items;
    }

    /** Reports each key that was never read. */
    public void reportUnknownKeys() {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                problem(key, unknown("unknown key", key, known));
            }
        }
    }

    private static String listed(Collection<String> names) {
        List<String> sorted = new ArrayList<>(new TreeSet<>(names));
        int shown = Math.min(sorted.size(), 12);
        return String.join(", ", sorted.subList(0, shown)) + (shown < sorted.size() ? ", …" : "");
    }

    private static String unknown(String what, String name, Collection<String> valid) {
        if (valid.isEmpty()) {
            return what + ", there are none";
        }
        TreeMap<Integer, String> byDistance = new TreeMap<>();
        for (String candidate : new TreeSet<>(valid)) {
            byDistance.putIfAbsent(distance(name, candidate), candidate);
        }
        // A greater distance suggests a different word rather than a typo.
        int maxTypoDistance = Math.max(2, name.length() / 3);
        String nearest = byDistance.firstKey() <= maxTypoDistance
                ? ", did you mean " + byDistance.firstEntry().getValue() + "?"
                : "";
        return what + nearest + (nearest.isEmpty() ? ", expected one of " + listed(valid) : "");
    }

    /**
     * Optimal string alignment distance: insertions, deletions, substitutions, transpositions of adjacent characters.
     */
    static int distance(String from, String to) {
        if (from.length() > 64 || to.length() > 64) {
            return Integer.MAX_VALUE;
        }
        int[][] distances = new int[from.length() + 1][to.length() + 1];
        for (int i = 0; i <= from.length(); i++) {
            for (int j = 0; j <= to.length(); j++) {
                if (i == 0 || j == 0) {
                    distances[i][j] = i + j;
                    continue;
                }
                int cost = from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1;
                distances[i][j] = Math.min(
                        Math.min(distances[i - 1][j] + 1, distances[i][j - 1] + 1), distances[i - 1][j - 1] + cost);
                if (i > 1
                        && j > 1
                        && from.charAt(i - 1) == to.charAt(j - 2)
                        && from.charAt(i - 2) == to.charAt(j - 1)) {
                    distances[i][j] = Math.min(distances[i][j], distances[i - 2][j - 2] + 1);
                }
            }
        }
        return distances[from.length()][to.length()];
    }
}
