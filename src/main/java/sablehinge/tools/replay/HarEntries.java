package sablehinge.tools.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.io.InputStream;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The requests of a HAR file (HTTP Archive 1.2), read as a stream: bodies, which are most of such a file, are passed
 * over unread. Entries without an address of their caller are taken to be of one caller for each file.
 */
final class HarEntries implements EntryReader {

    private static final int MAX_DEPTH = 64;
    private static final int MAX_TEXT = 1 << 18;
    private static final int MAX_HEADERS = 200;

    private final String name;
    private final JsonParser parser;
    private final UnreadableLines unreadable;
    private boolean begun;
    private boolean ended;
    private long number;

    HarEntries(String name, InputStream in, UnreadableLines unreadable) throws IOException {
        this.name = name;
        this.unreadable = unreadable;
        parser = JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_DEPTH)
                        .maxStringLength(MAX_TEXT)
                        .build())
                .build()
                .createParser(in);
    }

    /** What has been read of one entry. */
    private static final class Fields {
        String started;
        double duration = Double.NaN;
        String method;
        String url;
        double status;
        double bytes;
        double requestBytes = -1;
        String caller;
        final Map<String, String> headers = new HashMap<>();
    }

    @Override
    public LogEntry next() throws IOException {
        while (!ended) {
            try {
                if (!begun) {
                    begun = findEntries();
                    if (!begun) {
                        ended = true;
                        unreadable.note(name, line(), "expected an object log with a list entries (HAR 1.2)");
                        return null;
                    }
                }
                if (parser.nextToken() != JsonToken.START_OBJECT) {
                    ended = true;
                    if (parser.currentToken() != JsonToken.END_ARRAY) {
                        unreadable.note(name, line(), "expected an object for entry " + (number + 1));
                    }
                    return null;
                }
                number++;
                long at = line();
                Fields fields = new Fields();
                entry(fields);
                LogEntry entry = entry(fields, at);
                if (entry != null) {
                    return entry;
                }
            } catch (UnreadableLines.StrictException e) {
                throw e;
            } catch (IOException | RuntimeException e) {
                ended = true;
                unreadable.note(
                        name, line(), "the file can't be read on from entry " + (number + 1) + ": " + Logs.message(e));
            }
        }
        return null;
    }

    private long line() {
        return Math.max(1, parser.currentLocation().getLineNr());
    }

    private boolean findEntries() throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            return false;
        }
        return find("log", JsonToken.START_OBJECT) && find("entries", JsonToken.START_ARRAY);
    }

    private boolean find(String wanted, JsonToken kind) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean found = parser.currentName().equals(wanted);
            JsonToken value = parser.nextToken();
            if (found) {
                return value == kind;
            }
            parser.skipChildren();
        }
        return false;
    }

    private void entry(Fields fields) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            parser.nextToken();
            switch (field) {
                case "startedDateTime" -> fields.started = text();
                case "time" -> fields.duration = number(Double.NaN);
                case "request" -> message(fields, true);
                case "response" -> message(fields, false);
                // Proxies that record many clients note which one sent a request.
                case "_clientAddress", "_clientIPAddress" -> fields.caller = text();
                default -> parser.skipChildren();
            }
        }
    }

    private void message(Fields fields, boolean request) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = (request ? "request." : "response.") + parser.currentName();
            parser.nextToken();
            switch (field) {
                case "request.method" -> fields.method = text();
                case "request.url" -> fields.url = text();
                case "request.bodySize" -> fields.requestBytes = number(-1);
                case "request.headers" -> headers(fields);
                case "response.status" -> fields.status = number(0);
                case "response.bodySize" -> fields.bytes = number(0);
                default -> parser.skipChildren();
            }
        }
    }

    private void headers(Fields fields) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return;
        }
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            String header = null;
            String value = null;
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                parser.nextToken();
                if (field.equals("name")) {
                    header = text();
                } else if (field.equals("value")) {
                    value = text();
                } else {
                    parser.skipChildren();
                }
            }
            if (header != null && value != null && fields.headers.size() < MAX_HEADERS) {
                fields.headers.putIfAbsent(header.toLowerCase(Locale.ROOT), value);
            }
        }
    }

    private String text() throws IOException {
        String text = parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
        parser.skipChildren();
        return text;
    }

    private double number(double fallback) throws IOException {
        double number = parser.currentToken().isNumeric() ? parser.getDoubleValue() : fallback;
        parser.skipChildren();
        return number;
    }

    private LogEntry entry(Fields fields, long line) throws IOException {
        if (fields.url == null || fields.method == null) {
            unreadable.note(name, line, "expected a request with a method and a url in entry " + number);
            return null;
        }
        double time = Double.NaN;
        if (fields.started != null) {
            try {
                time = OffsetDateTime.parse(fields.started).toInstant().toEpochMilli();
            } catch (DateTimeException e) {
                unreadable.note(
                        name,
                        line,
                        "expected a startedDateTime such as 2026-12-01T06:30:05.250+00:00" + " in entry " + number);
                return null;
            }
        }
        String key = fields.headers.get("idempotency-key");
        String id = key == null ? fields.headers.get("x-request-id") : key;
        String forwarded = fields.headers.get("x-forwarded-for");
        String caller =
                fields.caller != null ? fields.caller : forwarded != null ? forwarded.split(",", 2)[0].strip() : name;
        Targets.Split split = Targets.split(fields.url);
        // A browser that got no answer writes a status of 0, and some a time of -1.
        double duration = fields.duration >= 0 ? fields.duration : Double.NaN;
        return new LogEntry(
                time,
                duration,
                caller,
                fields.method,
                split.target(),
                fields.status >= 0 && fields.status <= 999 ? (int) fields.status : 0,
                (long) Math.max(0, fields.bytes),
                (long) Math.max(-1, fields.requestBytes),
                id,
                id != null,
                split.host() == null ? Targets.host(fields.headers.get("host")) : split.host(),
                fields.headers);
    }

    @Override
    public boolean timeIsEnd() {
        return false;
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
