package sablehinge.mesh.api;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.RoutingTable;

/** Tests the protocol's example configuration and invalid variants of it. */
class ConfigurationCheckTest {

    static final String EXAMPLE = example();

    private static String example() {
        try (InputStream in = ConfigurationCheckTest.class.getResourceAsStream("example.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Configuration check(String body) {
        return ConfigurationCheck.check(body.getBytes(StandardCharsets.UTF_8));
    }

    private static String replaceInExample(String from, String to) {
        assertTrue(EXAMPLE.contains(from), from);
        return EXAMPLE.replace(from, to);
    }

    private static CheckException assertRejected(String body) {
        CheckException e = assertThrows(CheckException.class, () -> check(body));
        assertFalse(e.place().isEmpty());
        assertEquals(1, e.getMessage().lines().count(), e.getMessage());
        assertEquals(e.code(), e.problems().get(0).code());
        assertTrue(e.problems().size() <= ConfigurationCheck.MAX_PROBLEMS);
        return e;
    }

    @Test
    void suggestsMistypedFieldForAMissingOne() {
        CheckException e = assertRejected(replaceInExample("\"lanePrefix\"", "\"lanePrefx\""));
        assertTrue(
                e.getMessage()
                        .endsWith("/sorting/lanePrefix: this field was expected, found none; "
                                + "the nearest one there is \"lanePrefx\""),
                e.getMessage());
    }

    @Test
    void readsExample() {
        Configuration read = check(EXAMPLE);
        assertEquals(read, ConfigurationReader.read(EXAMPLE.getBytes(StandardCharsets.UTF_8)));
        assertEquals(7, read.edition());
        assertEquals(new Configuration.Limits(16_384, 67_108_864, 3_000, 15_000), read.limits());
        assertEquals(
                List.of(new Configuration.Tenant(
                        "hule930", List.of("3fexd9dnn2ctnfzs989a", "nu6wsjnbanfqasnmgkcu"), 1, 83, 83)),
                read.tenants());
        assertEquals(
                new Configuration.Route(
                        "r-puxsr7i",
                        "ficu95.example",
                        "/lohu930/",
                        Configuration.Kind.SAFE,
                        600,
                        2,
                        false,
                        List.of(new Configuration.Share("huvo11a", 90), new Configuration.Share("wuno96b", 10)),
                        4_000,
                        2),
                read.routes().get(0));
        assertEquals(
                new Configuration.Route(
                        "r-427eya6",
                        "ficu95.example",
                        "/pufi791/",
                        Configuration.Kind.UNSAFE,
                        800,
                        1,
                        false,
                        List.of(new Configuration.Share("huvo11a", 1)),
                        5_000,
                        2),
                read.routes().get(1));
        assertEquals(
                new Configuration.Service("wuno96b", "/health", 110),
                read.services().get(1));
        RoutingTable table = new RoutingTable(read);
        assertEquals(
                "r-puxsr7i", table.find("ficu95.example", "/lohu930/2f").route().name());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "\"split\":[{\"depot\":\"huvo11a\" | \"split\":[{\"depot\":\"huvo12a\" | UNKNOWN_SERVICE "
                        + "| /gates/0/regulations/0/dispatch/split/0/depot",
                "\"dispatch\":{\"depot\":\"huvo11a\" | \"dispatch\":{\"depot\":\"\" | SCHEMA "
                        + "| /gates/0/regulations/1/dispatch/depot",
                "\"/pufi791/\" | \"/lohu930/\" | SAME_PLACE | /gates/0/regulations/1/sorting/lanePrefix",
                "\"/pufi791/\" | \"/pufi791\" | BAD_PREFIX | /gates/0/regulations/1/sorting/lanePrefix",
                "\"/pufi791/\" | \"pufi791/\" | BAD_PREFIX | /gates/0/regulations/1/sorting/lanePrefix",
                "\"share\":10 | \"share\":-0.5 | BELOW_ZERO | /gates/0/regulations/0/dispatch/split/1/share",
                "\"timeoutMs\":4000 | \"timeoutMs\":600001 | LONG_TIMEOUT "
                        + "| /gates/0/regulations/0/dispatch/timeoutMs",
                "\"timeoutMs\":4000 | \"timeoutMs\":1e400 | SCHEMA | /gates/0/regulations/0/dispatch/timeoutMs",
                "\"timeoutMs\":5000,\"attempts\":2 | \"timeoutMs\":5000,\"attempts\":0 | NO_ATTEMPTS "
                        + "| /gates/0/regulations/1/dispatch/attempts",
                "\"timeoutMs\":5000,\"attempts\":2 | \"timeoutMs\":5000,\"attempts\":-3 | NO_ATTEMPTS "
                        + "| /gates/0/regulations/1/dispatch/attempts",
                "\"timeoutMs\":5000,\"attempts\":2 | \"timeoutMs\":5000 | SCHEMA "
                        + "| /gates/0/regulations/1/dispatch/attempts",
                "\"depot\":\"huvo11a\",\"timeoutMs\":5000 | \"timeoutMs\":5000 | SCHEMA "
                        + "| /gates/0/regulations/1/dispatch",
                "\"depot\":\"huvo11a\",\"timeoutMs\":5000 | \"depot\":\"huvo11a\",\"split\":[{\"depot\":\"huvo11a\","
                        + "\"share\":1}],\"timeoutMs\":5000 | SCHEMA | /gates/0/regulations/1/dispatch",
                "\"priority\":1,\"perS\":83,\"burst\":83} | \"priority\":1},{\"name\":\"b\",\"passes\":"
                        + "[\"q\",\"nu6wsjnbanfqasnmgkcu\"]} | SHARED_KEY | /senders/1/passes/1",
                "\"priority\":1,\"perS\":83,\"burst\":83} | \"priority\":1},{\"name\":\"hule930\",\"passes\":[]} "
                        + "| SAME_NAME | /senders/1/name",
                "\"name\":\"wuno96b\" | \"name\":\"huvo11a\" | SAME_NAME | /fleets/1/name",
                "\"edition\":7 | \"edition\":0 | SCHEMA | /edition",
                "\"edition\":7 | \"edition\":7.5 | SCHEMA | /edition",
                "\"edition\":7 | \"edition\":\"7\" | SCHEMA | /edition",
                "\"edition\":7 | \"edition\":null | SCHEMA | /edition",
                "\"edition\":7 | \"edition\":9223372036854775808 | SCHEMA | /edition",
                "\"edition\":7 | \"issue\":7 | SCHEMA | /edition",
                "\"gates\" | \"gate\" | SCHEMA | /gates",
                "\"fleets\" | \"fleet\" | SCHEMA | /fleets",
                "\"kind\":\"safe\" | \"kind\":\"sure\" | SCHEMA | /gates/0/regulations/0/kind",
                "\"open\":false,\"sorting\":{\"lanePrefix\":\"/lohu930/\"} | \"open\":0,\"sorting\":{} | SCHEMA "
                        + "| /gates/0/regulations/0/open",
                "\"timeoutMs\":5000,\"attempts\":2 | \"timeoutMs\":5000,\"attempts\":1e301 | SCHEMA "
                        + "| /gates/0/regulations/1/dispatch/attempts",
                "\"timeoutMs\":5000,\"attempts\":2 | \"timeoutMs\":5000,\"attempts\":0.9 | SCHEMA "
                        + "| /gates/0/regulations/1/dispatch/attempts",
                "\"headerBytes\":16384 | \"headerBytes\":4294967297.0 | SCHEMA | /limits/headerBytes",
                "\"headerBytes\":16384 | \"headerBytes\":18446744073709551617 | SCHEMA | /limits/headerBytes",
                "\"headerBytes\":16384 | \"headerBytes\":-1 | SCHEMA | /limits/headerBytes"
            })
    void rejectsInvalidConfigurations(String from, String to, CheckException.Code code, String place) {
        CheckException e = assertRejected(replaceInExample(from, to));
        assertEquals(code + " " + place, e.code() + " " + e.place(), e.getMessage());
        assertTrue(e.getMessage().startsWith(place + ": "), e.getMessage());
        assertTrue(e.getMessage().contains("expected, found "), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "\"timeoutMs\":4000 | \"timeoutMs\":600000",
                "\"share\":10 | \"share\":0",
                "\"edition\":7 | \"edition\":9223372036854775807",
                "\"edition\":7 | \"new\":{\"depot\":[{}]},\"edition\":7",
                "\"kind\":\"safe\" | \"kind\":\"upload\"",
                "\"nu6wsjnbanfqasnmgkcu\" | \"3fexd9dnn2ctnfzs989a\"",
                "\"priority\":1,\"perS\":83,\"burst\":83 | \"perS\":null",
                "\"station\":\"ficu95.example\", | \"station\":\"FICU95.example:80\",",
                "\"senders\" | \"unsent\"",
                "\"wuno96b\" | \"w\\u00fcno\""
            })
    void acceptsValidVariants(String from, String to) {
        String body = replaceInExample(from, to);
        assertEquals(ConfigurationReader.read(body.getBytes(StandardCharsets.UTF_8)), check(body));
    }

    @Test
    void usesDefaultsOfMissingFields() {
        Configuration read = check(replaceInExample("\"priority\":1,\"perS\":83,\"burst\":83}", "\"x\":1}")
                .replace("\"targetMs\":600,\"priority\":2,\"open\":false,", "")
                .replace("ficu95.example", "FICU95.Example"));
        assertEquals(-1, read.tenants().get(0).priority());
        assertEquals(0, read.tenants().get(0).perSecond());
        assertEquals(0, read.tenants().get(0).burst());
        assertEquals(4_000, read.routes().get(0).targetMs());
        assertFalse(read.routes().get(0).open());
        assertEquals("ficu95.example", read.routes().get(0).host());
        assertEquals(
                List.of(), check(replaceInExample("\"senders\"", "\"others\"")).tenants());
    }

    @Test
    void treatsHostsAsCaseInsensitive() {
        CheckException e = assertRejected(replaceInExample(
                "}],\"fleets\"",
                "},{\"station\":\"FICU95.example.\",\"regulations\":"
                        + "[{\"name\":\"r\",\"kind\":\"safe\","
                        + "\"sorting\":{\"lanePrefix\":\"/pufi791/\"},\"dispatch\":"
                        + "{\"depot\":\"huvo11a\",\"timeoutMs\":1,\"attempts\":1}}]}],\"fleets\""));
        assertEquals(CheckException.Code.SAME_PLACE, e.code());
        assertEquals("/gates/1/regulations/0/sorting/lanePrefix", e.place());
    }

    @Test
    void suggestsNearestService() {
        CheckException e = assertRejected(replaceInExample("{\"depot\":\"wuno96b\"", "{\"depot\":\"wumo69b\""));
        assertTrue(e.getMessage().endsWith("found \"wumo69b\"; the nearest one is \"wuno96b\""), e.getMessage());
    }

    @Test
    void reportsAtMostTwentyProblems() {
        assertEquals(
                3,
                assertRejected(replaceInExample("\"attempts\":2", "\"attempts\":0")
                                .replace("10}", "-1}"))
                        .problems()
                        .size());
        StringBuilder services = new StringBuilder("\"fleets\":[");
        for (int i = 0; i < 30; i++) {
            services.append("{},");
        }
        assertEquals(
                20,
                assertRejected(replaceInExample("\"fleets\":[", services.toString()))
                        .problems()
                        .size());
    }

    @Test
    void neverReportsKeys() {
        CheckException e = assertRejected(replaceInExample("\"nu6wsjnbanfqasnmgkcu\"", "[\"secret\"],77777,\"\""));
        e.problems()
                .forEach(problem -> assertFalse(
                        problem.text().contains("secret") || problem.text().contains("7777"), problem.text()));
        assertEquals("/senders/0/passes/1", e.place());
    }

    @Test
    void rejectsTruncatedBodies() {
        byte[] body = EXAMPLE.getBytes(StandardCharsets.UTF_8);
        for (int end = 0; end < body.length; end += end < 50 ? 1 : 50) {
            byte[] truncated = Arrays.copyOf(body, end);
            CheckException e = assertThrows(CheckException.class, () -> ConfigurationCheck.check(truncated));
            assertEquals(CheckException.Code.NOT_JSON, e.code());
            assertTrue(e.place().matches("line 1, column \\d+ \\(byte \\d+\\)"), e.place());
            assertThrows(CheckException.class, () -> ConfigurationReader.read(truncated));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "{}{}",
                "{\"edition\":1}x",
                "{\"a\":1,\"a\":2}",
                "{\"a\":{\"b\":1,\"b\":1}}",
                "{a:1}",
                "{\"a\":NaN}",
                "{\"a\":01}",
                "{\"a\":\"\u0001\"}",
                "{\"a\":1,}",
                "nul",
                "/**/{}"
            })
    void rejectsMalformedJson(String body) {
        CheckException e = assertRejected(body);
        assertEquals(CheckException.Code.NOT_JSON, e.code(), e.getMessage());
        assertTrue(e.place().startsWith("line "), e.place());
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "null", "[]", "\"x\"", "true"})
    void rejectsNonObjects(String body) {
        assertEquals(CheckException.Code.SCHEMA, assertRejected(body).code());
        assertThrows(CheckException.class, () -> ConfigurationReader.read(body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void rejectsDeepNestingAndInvalidUtf8() {
        assertEquals(
                CheckException.Code.NOT_JSON,
                assertRejected("[".repeat(100_000)).code());
        assertEquals(
                CheckException.Code.NOT_JSON,
                assertRejected("{\"a\":" + "[".repeat(100) + "]".repeat(100) + "}")
                        .code());
        byte[] invalid = EXAMPLE.getBytes(StandardCharsets.UTF_8);
        invalid[EXAMPLE.indexOf("huvo")] = (byte) 0xff;
        assertEquals(
                CheckException.Code.NOT_JSON,
                assertThrows(CheckException.class, () -> ConfigurationCheck.check(invalid))
                        .code());
    }

    @Test
    void rejectsEditionsNotAboveTheCurrentOne() {
        Configuration next = check(EXAMPLE);
        assertDoesNotThrow(() -> ConfigurationCheck.checkEdition(next, 6));
        CheckException e = assertThrows(CheckException.class, () -> ConfigurationCheck.checkEdition(next, 7));
        assertEquals(CheckException.Code.OLD_EDITION, e.code());
        assertEquals("/edition: a number above 7 was expected, found 7", e.getMessage());
    }

    @Test
    void warmsUp() {
        assertDoesNotThrow(ConfigurationCheck::warm);
    }
}
