package sablehinge.tools.replay;

import java.io.IOException;
import java.util.List;
import sablehinge.tools.replay.LogFormat.UnreadableLineException;

/** Finds out what a log is written in. */
final class Formats {

    private static final int LOOKED_AT = 1 << 15;
    private static final int LINES = 50;

    private Formats() {}

    /** A reader for a log that was opened; {@link IllegalArgumentException} for a format of no use. */
    static EntryReader reader(String name, Inputs.Peekable in, LogOptions options, UnreadableLines unreadable)
            throws IOException {
        String format = options.format().equals("auto") ? guess(peek(in)) : options.format();
        return format.equals("har")
                ? new HarEntries(name, in, unreadable)
                : new LineEntries(name, in, format(format, options), unreadable);
    }

    private static String peek(Inputs.Peekable in) throws IOException {
        try {
            return in.peeked(in.peek(LOOKED_AT));
        } catch (IOException | RuntimeException e) {
            // Read again later, where what came before the break counts.
            return in.peeked(LOOKED_AT);
        }
    }

    /** A format by its name or text. */
    static LogFormat format(String format, LogOptions options) {
        return switch (format) {
            case "common" -> new NginxFormat(NginxFormat.COMMON);
            case "combined" -> new NginxFormat(NginxFormat.COMBINED);
            case "haproxy" -> new HaproxyFormat(options.zone());
            case "json" -> new JsonLinesFormat(options.fields().isEmpty() ? JsonLinesFormat.USUAL : options.fields());
            default -> {
                if (format.indexOf('$') < 0) {
                    throw new IllegalArgumentException("unknown format " + format + ", expected auto, common,"
                            + " combined, haproxy, har, json or an nginx log_format such as '$remote_addr"
                            + " [$time_local] \"$request\" $status'");
                }
                yield new NginxFormat(format);
            }
        };
    }

    static String guess(String start) {
        String text = start.stripLeading();
        if (text.startsWith("\ufeff")) {
            text = text.substring(1).stripLeading();
        }
        if (text.startsWith("{")) {
            // A line of JSON has its fields side by side; a HAR file has but one, log.
            return text.substring(1).stripLeading().matches("(?s)\"log\"\\s*:\\s*\\{.*") ? "har" : "json";
        }
        List<String> lines =
                text.lines().filter(line -> !line.isBlank()).limit(LINES).toList();
        String best = "combined";
        long most = 0;
        for (String name : new String[] {"combined", "common", "haproxy"}) {
            LogFormat format = format(name, LogOptions.usual(null));
            long read = lines.stream().filter(line -> reads(format, line)).count();
            if (read > most) {
                most = read;
                best = name;
            }
        }
        return best;
    }

    private static boolean reads(LogFormat format, String line) {
        try {
            format.parse(line);
            return true;
        } catch (UnreadableLineException e) {
            return false;
        }
    }
}
