package sablehinge.tools.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.airlift.compress.zstd.ZstdOutputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.common.mapping.Mapping;

class LogsTest {

    private static final double DAY = Instant.parse("2026-08-03T06:00:00Z").toEpochMilli();
    private static final LogOptions USUAL = LogOptions.usual(new Mapping(List.of()));

    @TempDir
    private Path folder;

    private static String json(double time, String rest) {
        return String.format(Locale.ROOT, "{\"time\":%.3f,%s}%n", time / 1_000, rest);
    }

    private static String get(double time, String caller, String target, int status) {
        return json(time, "\"caller\":\"" + caller + "\",\"target\":\"" + target + "\",\"status\":" + status);
    }

    private String file(String name, byte[] bytes) throws IOException {
        return Files.write(folder.resolve(name), bytes).toString();
    }

    private String file(String name, String text) throws IOException {
        return file(name, text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<Demand> all(Logs logs) throws IOException {
        List<Demand> all = new ArrayList<>();
        for (Demand demand = logs.next(); demand != null; demand = logs.next()) {
            all.add(demand);
        }
        return all;
    }

    private static Logs open(LogOptions options, String... names) throws IOException {
        return Logs.open(List.of(names), InputStream.nullInputStream(), options);
    }

    private static List<String> keys(List<Demand> demands) {
        return demands.stream().map(demand -> demand.mapped().key()).toList();
    }

    private static byte[] gzip(String text) throws IOException {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (OutputStream out = new GZIPOutputStream(packed)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return packed.toByteArray();
    }

    private static byte[] zstd(String text) throws IOException {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (OutputStream out = new ZstdOutputStream(packed)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return packed.toByteArray();
    }

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(all::writeBytes);
        return all.toByteArray();
    }

    @Test
    void packedFilesAreKnownByTheirFirstBytesAndReadToTheirLastMember() throws IOException {
        String first = get(DAY, "a", "/tile/1", 200);
        String second = get(DAY + 1_000, "a", "/tile/2", 200);
        // A frame to be skipped, as some tools write before the others (RFC 8878, 3.1.2).
        byte[] skipped = {0x50, 0x2a, 0x4d, 0x18, 3, 0, 0, 0, 1, 2, 3};
        for (byte[] bytes : List.of(
                (first + second).getBytes(StandardCharsets.UTF_8),
                gzip(first + second),
                joined(gzip(first), gzip(second)),
                zstd(first + second),
                joined(zstd(first), zstd(second)),
                joined(zstd(first), skipped, zstd(second)))) {
            try (Logs logs = open(USUAL, file("access.log", bytes))) {
                assertEquals(List.of("1", "2"), keys(all(logs)), logs.counts().toString());
            }
        }
    }

    /** A pipe brings a member when it likes: nothing there at present isn't the end. */
    @Test
    void membersThatComeLateOverStandardInputAreRead() throws IOException {
        InputStream slow =
                new SequenceInputStream(
                        new ByteArrayInputStream(gzip(get(DAY, "a", "/t/1", 200))),
                        new ByteArrayInputStream(gzip(get(DAY, "a", "/t/2", 200)))) {
                    @Override
                    public int available() {
                        return 0;
                    }
                };
        try (Logs logs = Logs.open(List.of("-"), slow, USUAL)) {
            assertEquals(List.of("1", "2"), keys(all(logs)));
        }
    }

    @Test
    void aFileThatIsCutOffCountsUpToThereAndSaysSo() throws IOException {
        StringBuilder text = new StringBuilder();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            text.append(get(DAY + i, "a" + random.nextInt(), "/tile/" + random.nextLong(), 200));
        }
        for (byte[] complete : List.of(gzip(text.toString()), zstd(text.toString()))) {
            try (Logs logs = open(USUAL, file("cut", Arrays.copyOf(complete, complete.length / 2)))) {
                // Zstandard's decoder keeps back a window, which may be all of this.
                int least = complete[0] == 0x1f ? 5_000 : 0;
                assertTrue(all(logs).size() >= least, complete.length + " " + logs.counts());
                assertEquals(1, logs.counts().unreadable());
                assertTrue(logs.counts().firstUnreadable().get(0).contains("can't be read on from here"));
            }
        }
    }

    @Test
    void severalFilesAreOneDayInTheOrderOfTime() throws IOException {
        String nginx = file(
                "a.log",
                "10.0.0.1 - - [03/Aug/2026:06:00:01 +0000] \"GET /t/b HTTP/1.1\" 200 5\n"
                        + "10.0.0.1 - - [03/Aug/2026:06:00:04 +0000] \"GET /t/e HTTP/1.1\" 200 5\n");
        String lines = file("b.log", get(DAY + 3_500, "x", "/t/d", 200) + get(DAY, "x", "/t/a", 200));
        String har = file(
                "c.har",
                """
                {"log": {"version": "1.2", "entries": [{"startedDateTime": "2026-08-03T08:00:03.000+02:00",
                 "time": 12.5, "request": {"method": "GET", "url": "https://tiles.example/t/c"},
                 "response": {"status": 200}}]}}""");
        try (Logs logs = open(USUAL, nginx, lines, har)) {
            assertEquals(List.of("a", "b", "c", "d", "e"), keys(all(logs)));
            assertEquals(1, logs.counts().outOfOrder());
            assertEquals(DAY, logs.counts().from());
        }
        assertThrows(IllegalArgumentException.class, () -> open(USUAL, nginx, nginx));
    }

    @Test
    void retriesAreFoldedAcrossFiles() throws IOException {
        String one = file("one", get(DAY, "x", "/t/a", 503) + get(DAY + 9_000, "x", "/t/b", 200));
        String other = file("other", get(DAY + 400, "x", "/t/a", 200) + get(DAY + 800, "x", "/t/a", 200));
        try (Logs logs = open(USUAL, one, other)) {
            assertEquals(List.of("a", "a", "b"), keys(all(logs)));
            assertEquals(1, logs.counts().folded());
            assertEquals(3, logs.counts().requests());
        }
    }

    /** nginx writes when a request ends; what was requested first may stand last. */
    @Test
    void whereTimesAreEndsTheBeginningCounts() throws IOException {
        String format = "$remote_addr [$time_local] \"$request\" $status $request_time";
        String log = file(
                "ends",
                "10.0.0.1 [03/Aug/2026:06:00:10 +0000] \"GET /t/late HTTP/1.1\" 200 0.100\n"
                        + "10.0.0.1 [03/Aug/2026:06:00:11 +0000] \"GET /t/early HTTP/1.1\" 200 8.000\n");
        try (Logs logs = open(USUAL.withFormat(format, ZoneOffset.UTC, Map.of()), log)) {
            List<Demand> demands = all(logs);
            assertEquals(List.of("early", "late"), keys(demands));
            assertTrue(demands.get(0).time() >= DAY + 3_000 && demands.get(0).time() < DAY + 4_000);
        }
    }

    @Test
    void wholeSecondsAreSpreadBySeed() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 3_000; i++) {
            text.append("10.0.0.%d - - [03/Aug/2026:06:00:0%d +0000] \"GET /t/%d HTTP/1.1\" 200 5\n"
                    .formatted(i % 200, i / 1_000, i));
        }
        String log = file("seconds", text.toString());
        List<Double> first;
        try (Logs logs = open(USUAL, log)) {
            first = all(logs).stream().map(Demand::time).toList();
        }
        int[] tenths = new int[30];
        first.forEach(time -> tenths[(int) ((time - DAY) / 100)]++);
        assertTrue(Arrays.stream(tenths).allMatch(count -> count > 60 && count < 140), Arrays.toString(tenths));
        try (Logs logs = open(USUAL, log)) {
            assertEquals(first, all(logs).stream().map(Demand::time).toList());
        }
        try (Logs logs = open(USUAL.with(false, 2), log)) {
            assertTrue(!first.equals(all(logs).stream().map(Demand::time).toList()));
        }
    }

    @Test
    void whatCantBeReadIsCountedAndTheFirstTenShownWithTheirPlace() throws IOException {
        StringBuilder text = new StringBuilder(get(DAY, "x", "/t/a", 200));
        for (int i = 0; i < 12; i++) {
            text.append("{nonsense\n\n");
        }
        text.append("{\"target\":\"/")
                .append("x".repeat(LineReader.MAX_BYTES))
                .append("\"}\n")
                .append(get(DAY, "x", "/t/b", 200));
        String log = file("some", text.toString());
        try (Logs logs = open(USUAL, log)) {
            assertEquals(List.of("a", "b"), keys(all(logs)));
            assertEquals(13, logs.counts().unreadable());
            assertEquals(10, logs.counts().firstUnreadable().size());
            assertTrue(
                    logs.counts().firstUnreadable().get(1).startsWith(log + ":4: character "),
                    logs.counts().firstUnreadable().get(1));
        }
        String message = assertThrows(IOException.class, () -> {
                    try (Logs logs = open(USUAL.with(true, 1), log)) {
                        all(logs);
                    }
                })
                .getMessage();
        assertTrue(message.startsWith(log + ":2: character "), message);
    }

    @Test
    void whatNoRuleIsForIsCountedWithItsShape() throws IOException {
        String log = file("shapes", get(DAY, "x", "/", 200) + get(DAY, "x", "/t/1", 200));
        try (Logs logs = open(USUAL, log)) {
            List<Demand> demands = all(logs);
            assertNull(demands.get(0).mapped());
            assertEquals("GET /", demands.get(0).shape().strip());
            assertEquals(1, logs.counts().unmatched());
            assertEquals(2, logs.counts().requests());
        }
    }

    @Test
    void timesThatAreMissingLieBetweenTheirNeighbours() throws IOException {
        String log = file(
                "missing", get(DAY, "x", "/t/a", 200) + "{\"target\":\"/t/b\"}\n" + get(DAY + 1_001, "x", "/t/c", 200));
        try (Logs logs = open(USUAL, log)) {
            assertEquals(
                    List.of(DAY, DAY + 500.5, DAY + 1_001),
                    all(logs).stream().map(Demand::time).toList());
            assertEquals(1, logs.counts().missingTime());
        }
        try (Logs logs = open(USUAL, file("none", "{\"target\":\"/t/b\"}\n"))) {
            assertEquals(1, all(logs).size());
            assertTrue(Double.isNaN(logs.counts().from()));
        }
    }

    @Test
    void aHarFileIsReadAsItIsWrittenByBrowsers() throws IOException {
        String entry =
                """
                {"pageref": "p", "startedDateTime": "%s", "time": %s, "_initiator": {"type": "script"},
                 "request": {"method": "POST", "url": "http://api.example:8080/order/7?x=1#top",
                         "bodySize": 212,
                  "headers": [{"name": "Idempotency-Key", "value": "%s"}, {"name": "X-Partner",
                          "value": "awa"}],
                  "queryString": [], "cookies": []},
                 "response": {"status": %d, "content": {"size": 3, "text": "%s"}, "headers": []},
                         "timings": {}}""";
        String big = "x".repeat(2_000_000);
        String log = file(
                "day.har",
                "\ufeff{ \"log\" : {\"creator\": {\"entries\": [1]}, \"pages\": [], \"entries\": ["
                        + String.join(
                                ",",
                                entry.formatted("2026-08-03T06:00:02Z", "30.5", "k-2", 200, big),
                                entry.formatted("2026-08-03T08:00:00.250+02:00", "-1", "k-1", 0, ""),
                                entry.formatted("2026-08-03T06:00:01.5Z", "12", "k-1", 200, ""),
                                entry.formatted("yesterday", "12", "k-3", 200, ""),
                                "{\"request\": {}}")
                        + "], \"comment\": \"\"}}");
        try (Logs logs = open(USUAL, log)) {
            List<Demand> demands = all(logs);
            assertEquals(List.of("7", "7"), keys(demands));
            assertEquals(DAY + 250, demands.get(0).time());
            assertEquals("/order/7?x=1", demands.get(0).target());
            assertEquals(212, demands.get(0).body());
            assertEquals(1, logs.counts().folded(), "a status of 0, and the same key again");
            assertEquals(2, logs.counts().unreadable());
            assertTrue(logs.counts().firstUnreadable().get(1).contains("entry 5"));
        }
        for (String broken : List.of(
                "{\"log\": {}}",
                "{\"log\": {\"entries\": [7]}}",
                "{\"log\": {\"entries\": [{\"request\": ",
                "{\"log\": {\"entries\": " + "[".repeat(5_000))) {
            try (Logs logs = open(USUAL.withFormat("har", ZoneOffset.UTC, Map.of()), file("broken", broken))) {
                assertEquals(0, all(logs).size());
                assertEquals(1, logs.counts().unreadable(), broken.substring(0, 11));
            }
        }
    }

    @Test
    void formatsAreGuessedAndAWrongNameIsRefused() throws IOException {
        assertEquals("har", Formats.guess("\n {\r\n\"log\" : { "));
        assertEquals("json", Formats.guess("{\"log\":\"x\"}"));
        assertEquals("common", Formats.guess("a - - [03/Aug/2026:06:00:01 +0000] \"GET / HTTP/1.1\" 200 5\nb\n"));
        assertEquals(
                "haproxy",
                Formats.guess("x: 10.0.1.2:33317 [06/Feb/2026:12:14:14.655] http-in static/srv1"
                        + " 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 \"GET /index.html HTTP/1.1\"\n"));
        assertEquals("combined", Formats.guess(""));
        String empty = file("empty", "");
        assertThrows(
                IllegalArgumentException.class, () -> open(USUAL.withFormat("clf", ZoneOffset.UTC, Map.of()), empty));
        try (Logs logs = open(USUAL, empty)) {
            assertEquals(0, all(logs).size());
        }
        assertEquals(
                "no: there is no such file",
                assertThrows(IOException.class, () -> open(USUAL, "no")).getMessage());
        assertTrue(assertThrows(IOException.class, () -> open(USUAL, folder.toString()))
                .getMessage()
                .endsWith("is a directory, expected a log"));
    }

    /** Many thousand times what may wait go through, and the places of all but stragglers are right. */
    @Test
    void whatWaitsIsBoundedWhateverTheSize() throws IOException {
        int lines = 300_000;
        SplittableRandom random = new SplittableRandom(3);
        InputStream endless = new InputStream() {
            private byte[] line = new byte[0];
            private int at;
            private int made;

            @Override
            public int read() {
                if (at == line.length) {
                    if (made == lines) {
                        return -1;
                    }
                    line = get(DAY + made * 10 - random.nextInt(2_000), "c" + made, "/t/" + made, 200)
                            .getBytes(StandardCharsets.UTF_8);
                    made++;
                    at = 0;
                }
                return line[at++];
            }
        };
        LogOptions few = new LogOptions(
                "auto", ZoneOffset.UTC, Map.of(), new Mapping(List.of()), false, 1, USUAL.folding(), 30_000, 1_000);
        try (Logs logs = Logs.open(List.of("-"), endless, few)) {
            double before = 0;
            int count = 0;
            for (Demand demand = logs.next(); demand != null; demand = logs.next()) {
                assertTrue(demand.time() >= before);
                before = demand.time();
                count++;
            }
            assertEquals(lines, count);
            assertEquals(0, logs.counts().late(), "2 s at 100 a second are fewer than may wait");
        }
    }

    @Test
    void anInspectionTellsWhatThereIs() throws IOException {
        String log = file(
                "day",
                get(DAY, "x", "/t/a", 503) + get(DAY + 100, "x", "/t/a", 200) + get(DAY + 60_000, "y", "/u/b", 200)
                        + get(DAY + 60_000, "y", "/", 200) + "?\n");
        try (Logs logs = open(USUAL, log)) {
            var json = Inspection.of(logs).json();
            assertEquals(
                    "3 1 0 0 1 1",
                    List.of("requests", "folded", "missing_time", "out_of_order", "unmatched", "unreadable").stream()
                            .map(name -> json.get(name).asText())
                            .collect(Collectors.joining(" ")));
            assertEquals("{\"t\":1,\"u\":1}", json.get("classes").toString());
            assertEquals(2, json.get("keys").asInt());
            assertEquals("{\"a\":1,\"b\":1}", json.get("top_keys").toString());
            assertEquals("2026-08-03T06:00:00Z", json.get("from").asText());
            assertEquals("2026-08-03T06:01:00Z", json.get("to").asText());
        }
    }
}
