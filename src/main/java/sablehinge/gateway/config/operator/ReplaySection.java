package sablehinge.gateway.config.operator;

import java.time.DateTimeException;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import sablehinge.common.mapping.Glob;
import sablehinge.common.mapping.LogFields;
import sablehinge.common.mapping.PathPattern;
import sablehinge.common.mapping.Rule;
import sablehinge.common.mapping.Template;

/** Reads the replay settings of an operator file: the log format and the rules that classify logged requests. */
final class ReplaySection {

    private static final int MAX_RULES = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final double HOUR_MS = 3.6e6;

    private final Collection<String> classes;
    private final Collection<String> tenants;

    /** Creates a reader for a file that declares these classes and tenants. Empty collections allow any name. */
    ReplaySection(Collection<String> classes, Collection<String> tenants) {
        this.classes = classes;
        this.tenants = tenants;
    }

    OperatorConfig.ReplayPart read(Section s) {
        String format = s.text("format", "auto");
        if (format.indexOf('$') < 0 && !LogFields.FORMATS.contains(format)) {
            s.problem(
                    "format",
                    Section.quote(format) + " is no format, expected one of "
                            + String.join(
                                    ", ", LogFields.FORMATS.stream().sorted().toList())
                            + " or an nginx log_format with its variables");
        }
        ZoneId zone = ZoneOffset.UTC;
        String name = s.text("zone", "UTC");
        try {
            zone = ZoneId.of(name);
        } catch (DateTimeException e) {
            s.problem(
                    "zone",
                    Section.quote(name)
                            + " is no zone of time, expected one such as \"Africa/Dakar\""
                            + " or \"+02:00\"");
        }
        Section fields = s.section("fields");
        Map<String, String> map = new HashMap<>();
        for (String field : LogFields.WANTED) {
            String path = fields.text(field, null);
            if (path != null) {
                map.put(field, path);
            }
        }
        fields.reportUnknownKeys();
        List<Rule> rules = s.sections("rule", MAX_RULES, this::rule);
        s.reportUnknownKeys();
        return new OperatorConfig.ReplayPart(format, zone, Map.copyOf(map), rules);
    }

    private Rule rule(Section s) {
        PathPattern path = parsed(s, "path", s.text("path", null), PathPattern::new);
        Set<String> names = path == null ? Set.of() : path.names();
        if (!s.has("class")) {
            s.problem("class", "is missing, expected the class of these requests");
        }
        Template serviceClass = template(s, "class", names);
        reference(s, "class", serviceClass, classes);
        Template tenant = template(s, "tenant", names);
        reference(s, "tenant", tenant, tenants);
        String host = s.text("host", null);
        return new Rule(
                methods(s),
                host == null ? null : new Glob(host.toLowerCase(Locale.ROOT)),
                path,
                named(s, "header"),
                named(s, "query"),
                serviceClass,
                template(s, "key", names),
                tenant,
                s.duration("deadline", 0, 1, HOUR_MS),
                s.integer("body", -1, 0, MAX_BODY_BYTES));
    }

    /** Reads one method or a comma-separated list of methods. */
    private static Set<String> methods(Section s) {
        String text = s.text("method", null);
        if (text == null) {
            return null;
        }
        Set<String> methods = new HashSet<>();
        for (String method : text.split(",")) {
            String plain = method.strip();
            if (!plain.matches("[A-Z]{1,20}")) {
                s.problem(
                        "method",
                        Section.quote(text)
                                + " is no method, expected one such as \"GET\" or several"
                                + " such as \"GET, HEAD\"");
                return null;
            }
            methods.add(plain);
        }
        return methods;
    }

    private static Rule.Named named(Section s, String key) {
        return parsed(s, key, s.text(key, null), text -> {
            int equals = text.indexOf('=');
            String name = equals < 0 ? text : text.substring(0, equals);
            if (name.isBlank()) {
                throw new IllegalArgumentException("expected NAME=VALUE, or NAME for any value");
            }
            return new Rule.Named(
                    key.equals("header") ? name.strip().toLowerCase(Locale.ROOT) : name,
                    new Glob(equals < 0 ? "*" : text.substring(equals + 1)));
        });
    }

    private static Template template(Section s, String key, Set<String> names) {
        Template template = parsed(s, key, s.text(key, ""), text -> new Template(text, names));
        return template == null ? new Template("", Set.of()) : template;
    }

    private static void reference(Section s, String key, Template template, Collection<String> existing) {
        if (template.isFixed() && !existing.isEmpty() && s.has(key)) {
            s.reference(key, null, new ArrayList<>(existing), key);
        }
    }

    private static <T> T parsed(Section s, String key, String text, Function<String, T> parser) {
        try {
            return text == null ? null : parser.apply(text);
        } catch (IllegalArgumentException e) {
            s.problem(key, Section.plain(e.getMessage(), 200));
            return null;
        }
    }
}
