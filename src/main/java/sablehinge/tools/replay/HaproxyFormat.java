package sablehinge.tools.replay;

import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads lines of HAProxy's HTTP log (HAProxy configuration manual, 8.2.3), with or without what syslog writes before.
 * Its times have no zone, so that has to be given; at a change of clocks an hour is there twice, of which the one
 * nearer to the line before is taken, and an hour is missing, whose times are taken to lie behind the gap.
 */
public final class HaproxyFormat implements LogFormat {

    private static final DateTimeFormatter TIME = new DateTimeFormatterBuilder()
            .parseCaseInsensitive()
            .appendPattern("dd/MMM/yyyy:HH:mm:ss.SSS")
            .toFormatter(Locale.ROOT);
    /** From the caller's address on; each field is bounded by a blank, so that matching is linear. */
    private static final Pattern LINE = Pattern.compile("(\\S+):(\\d{1,5}) \\[([^\\]]{1,40})\\] (\\S+) (\\S+)"
            + " (-?\\d+)/(-?\\d+)/(-?\\d+)/(-?\\d+)/\\+?(-?\\d+) (-?\\d{1,3}) \\+?(\\d{1,18})"
            + " (\\S+) (\\S+) (\\S+)"
            + " \\S+ \\S+( \\{[^}]*\\}){0,2} \"(.*?)\"?$");

    private static final Pattern START = Pattern.compile("\\S+:\\d{1,5} \\[");

    private final ZoneId zone;
    /** The time of the line before. */
    private double last = Double.NaN;

    /** A format whose times are of the given zone. */
    public HaproxyFormat(ZoneId zone) {
        this.zone = zone;
    }

    @Override
    public LogEntry parse(String line) throws UnreadableLineException {
        Matcher start = START.matcher(line);
        if (!start.find()) {
            throw new UnreadableLineException(0, "a caller's ADDRESS:PORT and a time in brackets");
        }
        Matcher fields = LINE.matcher(line).region(start.start(), line.length());
        if (!fields.matches()) {
            throw new UnreadableLineException(start.start(), "a line of HAProxy's HTTP log");
        }
        double time;
        try {
            time = instant(LocalDateTime.parse(fields.group(3), TIME));
        } catch (DateTimeException e) {
            throw new UnreadableLineException(fields.start(3), "a time such as 10/Oct/2026:13:55:36.250");
        }
        String request = fields.group(17);
        int first = request.indexOf(' ');
        int last = request.lastIndexOf(' ');
        boolean complete = first > 0;
        // A request that HAProxy could not read is logged as <BADREQ>.
        String method = complete ? request.substring(0, first) : "";
        String target = complete ? request.substring(first + 1, last > first ? last : request.length()) : request;
        int status = Integer.parseInt(fields.group(11));
        double total = Double.parseDouble(fields.group(10));
        Targets.Split split = Targets.split(target);
        return new LogEntry(
                time,
                total < 0 ? Double.NaN : total,
                fields.group(1),
                method,
                split.target(),
                Math.max(0, status),
                Long.parseLong(fields.group(12)),
                -1,
                null,
                false,
                split.host(),
                Map.of());
    }

    private double instant(LocalDateTime local) {
        ZonedDateTime earlier = local.atZone(zone).withEarlierOffsetAtOverlap();
        double first = earlier.toInstant().toEpochMilli();
        double second = earlier.withLaterOffsetAtOverlap().toInstant().toEpochMilli();
        last = Double.isNaN(last) || Math.abs(first - last) <= Math.abs(second - last) ? first : second;
        return last;
    }
}
