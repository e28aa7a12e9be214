package sablehinge.tools.replay;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Reads lines by an nginx {@code log_format} given as its own text (nginx, ngx_http_log_module). The Common Log Format
 * and the Combined one are such formats. Variables that nothing here needs are passed over.
 */
public final class NginxFormat implements LogFormat {

    /** The Common Log Format (W3C httpd 3.0). */
    public static final String COMMON =
            "$remote_addr - $remote_user [$time_local] \"$request\" $status" + " $body_bytes_sent";
    /** nginx's predefined {@code combined}, which Apache has too. */
    public static final String COMBINED = COMMON + " \"$http_referer\" \"$http_user_agent\"";

    private static final DateTimeFormatter TIME_LOCAL = new DateTimeFormatterBuilder()
            .parseCaseInsensitive()
            .appendPattern("dd/MMM/yyyy:HH:mm:ss Z")
            .toFormatter(Locale.ROOT);
    private static final double MS = 1_000;
    /** Headers by which callers name a request over its tries; nginx's own request_id is new with each. */
    private static final Set<String> IDS = Set.of("http_idempotency_key", "http_x_request_id");

    /** A variable and the text that must follow it. */
    private record Part(String variable, String literal) {}

    private final String head;
    private final List<Part> parts = new ArrayList<>();
    /** The last time that was read, as it stood: a busy log has many lines of one second. */
    private String lastText = "";

    private double lastTime;

    /** What one line has been read into. */
    private static final class Fields {
        double time = Double.NaN;
        double duration = Double.NaN;
        String caller = "-";
        String method = "";
        String target = "";
        int status;
        long bytes;
        String id;
        String key;
        long requestBytes = -1;
        String host;
        Map<String, String> headers = Map.of();
    }

    /** A format by its text; the error says what is wrong with that. */
    public NginxFormat(String format) {
        int at = format.indexOf('$');
        if (at < 0) {
            throw new IllegalArgumentException("a log format without a variable such as $request: " + format);
        }
        head = format.substring(0, at);
        while (at < format.length()) {
            int end = at + 1;
            boolean braces = end < format.length() && format.charAt(end) == '{';
            int from = braces ? ++end : end;
            while (end < format.length()
                    && (Character.isLetterOrDigit(format.charAt(end)) || format.charAt(end) == '_')) {
                end++;
            }
            String variable = format.substring(from, end);
            if (variable.isEmpty() || braces && (end >= format.length() || format.charAt(end) != '}')) {
                throw new IllegalArgumentException(
                        "character " + (at + 1) + " of the log format: expected the name" + " of a variable");
            }
            end += braces ? 1 : 0;
            int next = format.indexOf('$', end);
            String literal = format.substring(end, next < 0 ? format.length() : next);
            if (literal.isEmpty() && next >= 0) {
                throw new IllegalArgumentException("character " + (end + 1)
                        + " of the log format: two variables"
                        + " with nothing between them can't be told apart");
            }
            parts.add(new Part(variable, literal));
            at = next < 0 ? format.length() : next;
        }
    }

    @Override
    public LogEntry parse(String line) throws UnreadableLineException {
        if (!line.startsWith(head)) {
            throw new UnreadableLineException(0, "\"" + head + "\"");
        }
        Fields fields = new Fields();
        int at = head.length();
        for (Part part : parts) {
            int end = part.literal.isEmpty() ? line.length() : end(line, at, part.literal);
            if (end < 0) {
                throw new UnreadableLineException(at, "$" + part.variable + " and then \"" + part.literal + "\"");
            }
            take(fields, part.variable, line.substring(at, end), at);
            at = end + part.literal.length();
        }
        if (at < line.length()) {
            throw new UnreadableLineException(at, "the end of the line");
        }
        Targets.Split split = Targets.split(fields.target);
        return new LogEntry(
                fields.time,
                fields.duration,
                fields.caller,
                fields.method,
                split.target(),
                fields.status,
                fields.bytes,
                fields.requestBytes,
                fields.key != null ? fields.key : fields.id,
                fields.key != null,
                split.host() == null ? fields.host : split.host(),
                fields.headers);
    }

    /** nginx writes a line once the request has ended, and so is its time. */
    @Override
    public boolean timeIsEnd() {
        return parts.stream().anyMatch(part -> part.variable.equals("request_time"));
    }

    /** Where the text after a variable begins; a quotation mark within it stands behind a backslash. */
    private static int end(String line, int from, String literal) {
        for (int at = line.indexOf(literal, from); at >= 0; at = line.indexOf(literal, at + 1)) {
            int slashes = 0;
            while (literal.charAt(0) == '"' && at - slashes > from && line.charAt(at - slashes - 1) == '\\') {
                slashes++;
            }
            if (slashes % 2 == 0) {
                return at;
            }
        }
        return -1;
    }

    private void take(Fields fields, String variable, String text, int at) throws UnreadableLineException {
        switch (variable) {
            case "remote_addr", "http_x_forwarded_for" -> {
                if (variable.equals("remote_addr") || !text.equals("-")) {
                    int comma = text.indexOf(',');
                    fields.caller = comma < 0 ? text : text.substring(0, comma).strip();
                }
            }
            case "time_local", "time_iso8601", "msec" -> fields.time = time(variable, text, at);
            case "request" -> request(fields, unescape(text), at);
            case "request_method" -> fields.method = text;
            case "request_uri" -> fields.target = unescape(text);
            case "uri" -> {
                if (fields.target.isEmpty()) {
                    fields.target = unescape(text);
                }
            }
            case "status" -> fields.status = (int) number(text, at, "a status", 999);
            case "body_bytes_sent", "bytes_sent" ->
                fields.bytes = number(text, at, "a number of bytes", Long.MAX_VALUE);
            case "request_time" -> fields.duration = text.equals("-") ? Double.NaN : seconds(text, at);
            // $request_length counts the head too, so that it says nothing of the body.
            case "content_length", "http_content_length" ->
                fields.requestBytes = number(text, at, "a number of bytes", Long.MAX_VALUE);
            case "host", "http_host" -> fields.host = Targets.host(text);
            case "request_id" -> fields.id = text.equals("-") || text.isEmpty() ? null : text;
            default -> {
                if (variable.startsWith("http_") && !text.equals("-") && !text.isEmpty()) {
                    header(fields, variable, unescape(text));
                }
            }
        }
    }

    private static void header(Fields fields, String variable, String value) {
        if (fields.headers.isEmpty()) {
            fields.headers = new HashMap<>();
        }
        fields.headers.put(variable.substring("http_".length()).replace('_', '-'), value);
        if (variable.equals("http_idempotency_key") || IDS.contains(variable) && fields.key == null) {
            fields.key = value;
        }
    }

    private static void request(Fields fields, String text, int at) throws UnreadableLineException {
        int first = text.indexOf(' ');
        if (first <= 0) {
            throw new UnreadableLineException(at, "a request such as \"GET / HTTP/1.1\"");
        }
        int last = text.lastIndexOf(' ');
        // HTTP/0.9 has no version, and a target may hold a space that nobody escaped.
        boolean version = last > first && text.startsWith("HTTP/", last + 1);
        fields.method = text.substring(0, first);
        fields.target = text.substring(first + 1, version ? last : text.length());
    }

    private double time(String variable, String text, int at) throws UnreadableLineException {
        if (text.equals(lastText)) {
            return lastTime;
        }
        double time;
        if (text.equals("-") || text.isEmpty()) {
            time = Double.NaN;
        } else if (variable.equals("msec")) {
            time = seconds(text, at);
        } else {
            try {
                time = (variable.equals("time_local")
                                ? OffsetDateTime.parse(text, TIME_LOCAL)
                                : OffsetDateTime.parse(text))
                        .withOffsetSameInstant(ZoneOffset.UTC)
                        .toInstant()
                        .toEpochMilli();
            } catch (DateTimeException e) {
                throw new UnreadableLineException(
                        at,
                        variable.equals("time_local")
                                ? "a time such as 10/Oct/2026:13:55:36 +0000"
                                : "a time such as 2026-10-10T13:55:36+00:00");
            }
        }
        lastText = text;
        lastTime = time;
        return time;
    }

    private static double seconds(String text, int at) throws UnreadableLineException {
        int digits = 0;
        int points = 0;
        for (int i = 0; i < text.length(); i++) {
            digits += Character.digit(text.charAt(i), 10) >= 0 ? 1 : 0;
            points += text.charAt(i) == '.' ? 1 : 0;
        }
        if (digits == 0 || digits > 15 || points > 1 || digits + points < text.length()) {
            throw new UnreadableLineException(at, "a number of seconds");
        }
        return Double.parseDouble(text) * MS;
    }

    private static long number(String text, int at, String what, long most) throws UnreadableLineException {
        if (text.equals("-")) {
            return 0;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= 0 && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is out of range.
        }
        throw new UnreadableLineException(at, what);
    }

    /** Undoes nginx's escapes: {@code \xHH}, and Apache's {@code \"} and {@code \\}. */
    private static String unescape(String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder plain = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\\' && i + 1 < text.length()) {
                char next = text.charAt(i + 1);
                if (next == 'x'
                        && i + 3 < text.length()
                        && Character.digit(text.charAt(i + 2), 16) >= 0
                        && Character.digit(text.charAt(i + 3), 16) >= 0) {
                    plain.append((char) Integer.parseInt(text.substring(i + 2, i + 4), 16));
                    i += 3;
                    continue;
                }
                if (next == '"' || next == '\\') {
                    plain.append(next);
                    i++;
                    continue;
                }
            }
            plain.append(c);
        }
        return plain.toString();
    }
}
