package sablehinge.tools.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sablehinge.tools.replay.LogFormat.UnreadableLineException;

/** HAProxy's HTTP log and lines of JSON. */
class OtherFormatsTest {

    private static final String LINE = "10.0.1.2:33317 [01/Dec/2026:06:30:05.250] tiles front/front-01"
            + " 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 {app.svc} {} \"GET /tile/12?z=3 HTTP/1.1\"";
    private static final LogFormat JSON = new JsonLinesFormat(Map.of(
            "time", "ts", "caller", "client.ip", "target", "uri", "status", "code", "duration_s", "took", "id", "key"));

    private static LogEntry haproxy(String line) throws UnreadableLineException {
        return new HaproxyFormat(ZoneOffset.UTC).parse(line);
    }

    @Test
    void aLineOfHaproxyIsReadWithAndWithoutItsSyslogHead() throws UnreadableLineException {
        LogEntry entry = new LogEntry(
                1_796_106_605_250.0,
                109,
                "10.0.1.2",
                "GET",
                "/tile/12?z=3",
                200,
                2_750,
                -1,
                null,
                false,
                null,
                Map.of());
        assertEquals(entry, haproxy(LINE));
        assertEquals(entry, haproxy("Dec  1 06:30:05 localhost haproxy[14389]: " + LINE));
        assertEquals(
                "2001:db8::1", haproxy(LINE.replace("10.0.1.2", "2001:db8::1")).caller());
    }

    @Test
    void whatHaproxyCouldNotServeIsRead() throws UnreadableLineException {
        LogEntry gone = haproxy(LINE.replace("10/0/30/69/109 200 2750", "10/0/30/-1/+5000 -1 0"));
        assertEquals(0, gone.status());
        assertEquals(5_000, gone.duration());
        LogEntry bad = haproxy(LINE.replace("\"GET /tile/12?z=3 HTTP/1.1\"", "\"<BADREQ>\""));
        assertEquals("<BADREQ>", bad.target());
        assertEquals("", bad.method());
    }

    /** In Berlin an hour is there twice in autumn and not at all in spring. */
    @Test
    void changesOfClocksAreDecidedTheSameWayEachTime() throws UnreadableLineException {
        LogFormat berlin = new HaproxyFormat(ZoneId.of("Europe/Berlin"));
        double twice = berlin.parse(LINE.replace("01/Dec/2026:06:30", "25/Oct/2026:02:30"))
                .time();
        assertEquals(
                haproxy(LINE.replace("01/Dec/2026:06:30", "25/Oct/2026:00:30")).time(), twice);
        double next = berlin.parse(LINE.replace("01/Dec/2026:06:30", "25/Oct/2026:02:59"))
                .time();
        double again = berlin.parse(LINE.replace("01/Dec/2026:06:30", "25/Oct/2026:02:00"))
                .time();
        assertEquals(60_000, again - next, "the hour begins anew and the time goes on");
        double never = berlin.parse(LINE.replace("01/Dec/2026:06:30", "29/Mar/2026:02:30"))
                .time();
        assertEquals(
                haproxy(LINE.replace("01/Dec/2026:06:30", "29/Mar/2026:01:30")).time(), never);
    }

    @Test
    void aLineThatIsNotOfHaproxyIsToldWithItsPlace() {
        assertEquals(
                "character 1: expected a caller's ADDRESS:PORT and a time in brackets",
                assertThrows(UnreadableLineException.class, () -> haproxy("nonsense"))
                        .getMessage());
        assertEquals(
                "character 17: expected a time such as 10/Oct/2026:13:55:36.250",
                assertThrows(UnreadableLineException.class, () -> haproxy(LINE.replace("Dec", "Dez")))
                        .getMessage());
        assertEquals(
                "character 1: expected a line of HAProxy's HTTP log",
                assertThrows(UnreadableLineException.class, () -> haproxy(LINE.replace("200", "two")))
                        .getMessage());
    }

    @Test
    void aLineOfJsonIsReadByItsMap() throws UnreadableLineException {
        assertEquals(
                new LogEntry(
                        1_796_106_605_250.0,
                        125,
                        "10.0.0.1",
                        "GET",
                        "/tile/1",
                        504,
                        0,
                        -1,
                        "k-1",
                        true,
                        null,
                        Map.of()),
                JSON.parse("{\"ts\":1796106605.25,\"client\":{\"ip\":\"10.0.0.1\"},\"uri\":\"/tile/1\","
                        + "\"code\":504,"
                        + "\"took\":0.125,\"key\":\"k-1\",\"more\":[1,2]}"));
        assertEquals(
                1_796_106_605_000.0,
                JSON.parse("{\"ts\":\"2026-12-01T07:30:05+01:00\",\"uri\":\"/\"}")
                        .time());
        assertEquals(
                1_796_106_605_250.0,
                JSON.parse("{\"ts\":1796106605250,\"uri\":\"/\"}").time());
        assertTrue(Double.isNaN(JSON.parse("{\"ts\":null,\"uri\":\"/\"}").time()));
    }

    @Test
    void whatIsNoSuchObjectIsToldWithItsPlace() {
        for (Map.Entry<String, String> bad : Map.of(
                        "{\"uri\":\"/\"} {}",
                        "character 13: expected a JSON object",
                        "",
                        "character 1: expected a JSON object",
                        "[1]",
                        "character 1: expected a JSON object",
                        "{}",
                        "character 1: expected a target in uri",
                        "{\"uri\":\"/\",\"ts\":\"noon\"}",
                        "character 1: expected a time such as 2026-12-01T06:30:05Z in ts",
                        "{\"uri\":\"/\",\"code\":\"ok\"}",
                        "character 1: expected a number in code")
                .entrySet()) {
            assertEquals(
                    bad.getValue(),
                    assertThrows(UnreadableLineException.class, () -> JSON.parse(bad.getKey()))
                            .getMessage(),
                    bad.getKey());
        }
        assertTrue(assertThrows(UnreadableLineException.class, () -> JSON.parse("{\"a\":" + "[".repeat(100_000)))
                .getMessage()
                .endsWith("expected a JSON object"));
        assertThrows(IllegalArgumentException.class, () -> new JsonLinesFormat(Map.of("tim", "ts")));
    }
}
