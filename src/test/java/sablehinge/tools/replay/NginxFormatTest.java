package sablehinge.tools.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.LogFormat.UnreadableLineException;

/** Lines of formats that are given as nginx gives them. */
class NginxFormatTest {

    private static LogEntry parse(String format, String line) throws UnreadableLineException {
        return new NginxFormat(format).parse(line);
    }

    private static String refused(String format, String line) {
        return assertThrows(UnreadableLineException.class, () -> parse(format, line))
                .getMessage();
    }

    @Test
    void aCommonLineIsRead() throws UnreadableLineException {
        LogEntry entry = parse(
                NginxFormat.COMMON,
                "192.0.2.7 - awa [01/Dec/2026:06:30:05 +0100] \"GET /tile/12?z=3 HTTP/1.1\" 200 5120");
        assertEquals(
                new LogEntry(
                        1_796_103_005_000.0,
                        Double.NaN,
                        "192.0.2.7",
                        "GET",
                        "/tile/12?z=3",
                        200,
                        5_120,
                        -1,
                        null,
                        false,
                        null,
                        Map.of()),
                entry);
    }

    @Test
    void aCombinedLineWithEscapesIsRead() throws UnreadableLineException {
        LogEntry entry = parse(
                NginxFormat.COMBINED,
                "2001:db8::1 - - [01/Dec/2026:06:30:05 +0000]"
                        + " \"GET /t\\x22a\\\\ HTTP/2.0\" 499 - \"-\" \"say \\\"hi\\\" \\\\\"");
        assertEquals("2001:db8::1", entry.caller());
        assertEquals("/t\"a\\", entry.target());
        assertEquals(499, entry.status());
        assertEquals(0, entry.bytes());
        assertEquals("say \"hi\" \\", entry.headers().get("user-agent"));
    }

    @Test
    void aFormatOfItsOwnIsRead() throws UnreadableLineException {
        LogEntry entry = parse(
                "${msec}|$http_x_forwarded_for|$request_method $request_uri|$status|"
                        + "$request_time|"
                        + "$upstream_addr|$request_id|$http_idempotency_key",
                "1796106605.250|198.51.100.4, 10.0.0.1|" + "POST /tile-order|503|0.125|10.1.0.1:80|r-1|k-1");
        assertEquals(1_796_106_605_250.0, entry.time());
        assertEquals("198.51.100.4", entry.caller());
        assertEquals("POST", entry.method());
        assertEquals(125, entry.duration());
        assertEquals("k-1", entry.id(), "the key stays the same over tries");
        assertEquals(
                "r-1",
                parse("$status $request_id $http_idempotency_key", "200 r-1 -").id());
        assertTrue(entry.sure());
        assertFalse(parse("$status $request_id", "200 r-1").sure(), "nginx makes one for each try");
        assertNull(parse("$status $request_id", "200 -").id());
    }

    @Test
    void hostHeadersAndTargetsInAbsoluteFormAreRead() throws UnreadableLineException {
        LogEntry entry = parse(
                "$host|$http_x_partner|$http_content_length|$request",
                "Tiles.Example:8080|awa|212|" + "POST http://user@Other.example:81/a/b?c#d HTTP/1.1");
        assertEquals("other.example", entry.host());
        assertEquals("/a/b?c", entry.target());
        assertEquals("awa", entry.headers().get("x-partner"));
        assertEquals(212, entry.requestBytes());
        assertEquals(
                "tiles.example",
                parse("$host $status", "Tiles.Example:8080 200").host());
        assertEquals(
                "[2001:db8::1]",
                parse("$http_host $status", "[2001:db8::1]:80 200").host());
        assertEquals("/", parse("$request_uri", "https://tiles.example").target());
    }

    @Test
    void timesInEachFormAreTheSameInstant() throws UnreadableLineException {
        double instant = 1_796_106_605_000.0;
        assertEquals(
                instant,
                parse("$time_iso8601 $status", "2026-12-01T07:30:05+01:00 200").time());
        assertEquals(
                instant,
                parse("[$time_local] $status", "[01/DEC/2026:03:30:05 -0300] 200")
                        .time());
        assertEquals(instant, parse("$msec $status", "1796106605.000 200").time());
        assertTrue(Double.isNaN(parse("$time_local|$status", "-|200").time()));
    }

    @Test
    void aRequestWithSpacesOrWithoutAVersionIsRead() throws UnreadableLineException {
        assertEquals("/a b", parse("\"$request\"", "\"GET /a b HTTP/1.1\"").target());
        assertEquals("/old", parse("\"$request\"", "\"GET /old\"").target());
    }

    @Test
    void whatCantBeReadIsToldWithItsPlace() {
        assertEquals("character 1: expected $remote_addr and then \" - \"", refused(NginxFormat.COMMON, ""));
        assertEquals("character 5: expected a status", refused("$bytes_sent $status", "100 OK"));
        assertEquals(
                "character 2: expected a time such as 10/Oct/2026:13:55:36 +0000",
                refused("[$time_local]", "[yesterday]"));
        assertEquals("character 1: expected a request such as \"GET / HTTP/1.1\"", refused("$request|", "-|"));
        assertEquals("character 5: expected the end of the line", refused("$status|", "200|x"));
        assertEquals("character 1: expected a number of seconds", refused("$msec", "1.2.3"));
    }

    @Test
    void aFormatThatCantBeReadBackIsRefused() {
        for (String bad : new String[] {"", "no variable", "$", "${status", "$status$bytes_sent", "$ x"}) {
            assertThrows(IllegalArgumentException.class, () -> new NginxFormat(bad), bad);
        }
    }

    /** Any bytes in the place of a good line: read or refused with a place, and nothing else. */
    @Test
    void spoiltLinesAreRefusedOrRead() {
        String good = "192.0.2.7 - - [01/Dec/2026:06:30:05 +0000] \"GET /tile/12 HTTP/1.1\" 200 5120" + " \"-\" \"m\"";
        NginxFormat format = new NginxFormat(NginxFormat.COMBINED);
        int refused = 0;
        for (long seed = 1; seed <= 20_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StringBuilder line = new StringBuilder(good);
            for (int i = random.nextInt(4); i >= 0 && line.length() > 1; i--) {
                int at = random.nextInt(line.length());
                switch (random.nextInt(3)) {
                    case 0 -> line.setCharAt(at, (char) random.nextInt(256));
                    case 1 -> line.deleteCharAt(at);
                    default -> line.setLength(Math.max(1, at));
                }
            }
            try {
                format.parse(line.toString());
            } catch (UnreadableLineException e) {
                refused++;
                assertTrue(e.getMessage().startsWith("character "), "seed " + seed);
            }
        }
        assertTrue(refused > 5_000, refused + " refused");
    }
}
