package sablehinge.common.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TimeZone;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.event.Level;

/** Log formats for people and for programs, and the limit on the number of lines. */
class LoggingTest {

    private final LoggerContext loggers = new LoggerContext();
    private final double[] now = {0};
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

    @AfterEach
    void restoreDefaults() {
        Logging.apply(LogTerms.DEFAULT);
    }

    private LimitedAppender limited(int limit) {
        lines.setContext(loggers);
        lines.start();
        LimitedAppender limited = new LimitedAppender(lines, limit, () -> now[0]);
        limited.setContext(loggers);
        limited.start();
        return limited;
    }

    /** The lines that are written with the given settings. */
    private static String written(LogTerms terms, Consumer<org.slf4j.Logger> writing) {
        PrintStream before = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            Logging.apply(terms);
            writing.accept(org.slf4j.LoggerFactory.getLogger("sablehinge.dataplane.http1.LoggingTest"));
        } finally {
            System.setErr(before);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private static LogTerms json(int limit, Map<String, Level> levels) {
        return new LogTerms(LogTerms.Format.JSON, Level.INFO, levels, limit);
    }

    @Test
    void dropsAndCountsLinesOverTheLimit() {
        Logger log = loggers.getLogger("a");
        log.addAppender(limited(10));
        for (int i = 0; i < 17; i++) {
            Log.warn(log, "caller-failed").addKeyValue("place", i).log("place {}", i);
        }
        assertEquals(10, lines.list.size());
        now[0] = 5_000;
        log.info("next");
        ILoggingEvent next = lines.list.get(10);
        assertEquals("next (7 lines before this one were dropped)", next.getFormattedMessage());
        assertEquals("[dropped=\"7\"]", next.getKeyValuePairs().toString());
        log.info("and on");
        assertEquals("and on", lines.list.get(11).getFormattedMessage());
    }

    /** The format of java.util.logging, which is the established format of the platform's log. */
    @Test
    void formatsTextLinesLikeJavaUtilLogging() {
        TimeZone before = TimeZone.getDefault();
        TimeZone.setDefault(TimeZone.getTimeZone("UTC"));
        try {
            String text = written(new LogTerms(LogTerms.Format.TEXT, Level.INFO, Map.of(), 5), log -> {
                Log.warn(log, "caller-failed").addKeyValue("cause", "x").log("it failed: {}", "x");
                log.error("worse");
            });
            String[] all = text.split("\n");
            assertTrue(
                    all[0].matches("[A-Z][a-z]{2} [0-9]{2}, 20[0-9]{2} 1?[0-9]:[0-9]{2}:[0-9]{2} [AP]M "
                            + "sablehinge\\.common\\.logging\\.LoggingTest "
                            + "lambda\\$formatsTextLinesLikeJavaUtilLogging\\$[0-9]+"),
                    all[0]);
            assertEquals("WARNING: it failed: x", all[1]);
            assertEquals("SEVERE: worse", all[3]);
            assertEquals(4, all.length);
        } finally {
            TimeZone.setDefault(before);
        }
    }

    @Test
    void writesJsonFieldsAndLimitedStack() throws IOException {
        Exception thrown = new IllegalStateException("why\nso");
        thrown.setStackTrace(java.util.stream.IntStream.range(0, 5_000)
                .mapToObj(i -> new StackTraceElement("some.Deep", "call" + i, "Deep.java", i))
                .toArray(StackTraceElement[]::new));
        String text = written(json(5, Map.of()), log -> Log.error(log, "list-failed")
                .addKeyValue("version", 3)
                .setCause(thrown)
                .log("a \"list\"\n{}", "x"));
        assertEquals(1, text.lines().count(), text);
        JsonNode line = JsonMapper.builder().build().readTree(text);
        assertEquals("list-failed", line.path("event").asText());
        assertTrue(line.path("version").isInt());
        assertEquals("a \"list\"\nx", line.path("message").asText());
        assertEquals("ERROR", line.path("level").asText());
        assertEquals(
                "sablehinge.dataplane.http1.LoggingTest", line.path("logger").asText());
        assertTrue(line.path("time").asText().endsWith("Z"), text);
        assertTrue(line.path("stack").asText().startsWith("java.lang.IllegalStateException: why"), text);
        assertTrue(line.path("stack").asText().length() <= 8_192 + 100, "its length");
    }

    @Test
    void appliesLevelOfEachSubsystem() {
        Consumer<org.slf4j.Logger> both = log -> {
            log.debug("of http1");
            org.slf4j.LoggerFactory.getLogger("sablehinge.dataplane.proxy.RequestProxy")
                    .debug("of core");
            org.slf4j.LoggerFactory.getLogger("io.netty.Some").info("of netty");
        };
        String text = written(json(9, Map.of("http1", Level.DEBUG, "netty", Level.ERROR)), both);
        assertTrue(text.contains("of http1"), text);
        assertFalse(text.contains("of core") || text.contains("of netty"), text);
        assertEquals("", written(json(9, Map.of("netty", Level.ERROR)), both));
    }

    /** A subsystem without a package would have a level without effect. */
    @Test
    void eachSubsystemHasAPackage() {
        for (String subsystem : LogTerms.SUBSYSTEMS) {
            String folder = LogTerms.logger(subsystem).replace('.', '/');
            assertTrue(getClass().getClassLoader().getResource(folder) != null, folder);
        }
    }
}
