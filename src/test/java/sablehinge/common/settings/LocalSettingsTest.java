package sablehinge.common.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reads the example of the deploy page, and files that differ from it. */
class LocalSettingsTest {

    private static final String EXAMPLE = resource("local.toml");

    private static final List<String> CORRUPT_VALUES = List.of(
            "true",
            "-1",
            "1.5",
            "7",
            "70000",
            "\"\"",
            "\"x\"",
            "\"x:1\"",
            "[]",
            "[1]",
            "[\"x\"]",
            "[1, 2]",
            "{a = 1}",
            "{a = \"x\"}",
            "inf",
            "nan",
            "3000000000",
            "\":1\"",
            "\"x:\"",
            "\"x:123456\"",
            "\"x:1a\"",
            "\"x:1:2\"",
            "[\"x:1\"]",
            "[0, 1]",
            "[1, 2, 3]",
            "99999999999999999999",
            "1979-05-27",
            "{}",
            "[{}]",
            "[[1, 2]]",
            "\"sidecar\"",
            "\"x:0\"",
            "\"x:080\"",
            "\"x:65535\"",
            "\"x:65536\"",
            "\"x:99999\"",
            "\"x:9999\"",
            "\"x:60000\"",
            "\"x:655350\"");

    @TempDir
    Path folder;

    private static String resource(String name) {
        try (InputStream in = LocalSettings.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private LocalSettings read(String text) throws ConfigException {
        return LocalSettings.read(file(text));
    }

    private Path file(String text) {
        try {
            return Files.writeString(folder.resolve("local.toml"), text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private String assertRejected(String text) {
        Path file = file(text);
        String message = assertThrows(ConfigException.class, () -> LocalSettings.read(file))
                .getMessage();
        assertTrue(message.startsWith(file + ": "), message);
        assertEquals(1, message.lines().count(), message);
        return message.substring(file.toString().length() + 2);
    }

    @Test
    void readsExample() throws ConfigException {
        LocalSettings read = read(EXAMPLE);
        assertEquals(LocalSettings.Role.SIDECAR, read.role());
        assertEquals(
                "sidecar-plateau-1 sidecar 10.1.0.11 plateau sahel-ouest",
                String.join(" ", read.node(), read.machineClass(), read.ip(), read.zone(), read.region()));
        assertEquals(List.of("sidecar"), read.serves());
        assertEquals(7_780, read.innerFirst());
        assertEquals(7_795, read.innerLast());
        assertEquals(List.of("10.1.0.14:8367", "10.2.0.37:8367", "10.3.0.16:8367"), read.seeds());
        assertTrue(read.firstStart());
        assertFalse(read.counted());
        assertNull(read.dataDir());
        assertEquals(1_500, read.heartbeatMs());
        assertTrue(read.isContractEnabled("quota"));
        assertFalse(read.isContractEnabled("fees"));
        assertEquals("10.1.0.11:8363", read.app());
        assertEquals("huvo11a", read.depot());
        assertEquals(
                List.of("plateau", "gamkalle", "yantala", "koira"),
                List.copyOf(read.zones().keySet()));
        assertEquals("sahel-ouest", read.zones().get("koira"));
        assertEquals(
                new LocalSettings.ListenOn("10.1.0.11:8366", "10.1.0.11:8365", "10.1.0.11:8369", "10.1.0.11:8367"),
                read.listenOn());
        assertEquals(new LocalSettings.Limits(0.6, 1, 430, 4_100, 1_000, 0), read.limits());
        assertEquals(1, read.tolerateMachines());
    }

    /** The defaults are the values of the example. */
    @Test
    void defaultsMissingBounds() throws ConfigException {
        String without = EXAMPLE.substring(0, EXAMPLE.indexOf("[bounds]"));
        assertEquals(read(EXAMPLE).bounds(), read(without).bounds());
        assertEquals(
                7.5,
                read(without + "[bounds]\nonboardS = 7.5\nsealed = true\n")
                        .bounds()
                        .onboardS());
        assertTrue(read(without + "[bounds]\nsealed = true\n").bounds().sealed());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\0',
            value = {
                "node = | knot = | node: this key was expected, found none",
                "fds = 4100 | | limits.fds: this key was expected, found none",
                "[tolerate] | [bear] | tolerate: this key was expected, found none",
                "beatMs = 1500 | beatMs = \"often\" | beatMs: of type number was expected, found \"often\"",
                "fds = 4100 | fds = 0.5 | limits.fds: of type integer was expected, found 0.5",
                "counted = false | counted = 0 | counted: of type boolean was expected, found 0",
                "cores = 1 | cores = -1 | limits.cores: at least 0 was expected, found -1",
                "role = \"sidecar\" | role = \"dam\" | role: "
                        + "one of [\"sidecar\",\"control\"] was expected, found \"dam\"",
                "[7780,7795] | [7780] | innerPorts: a list of 2 was expected, found [7780]",
                "\"10.2.0.37:8367\" | \"10.2.0.37\" "
                        + "| seeds.1: an address with a port was expected, found \"10.2.0.37\"",
                "retryRatio = 0.2 | retryRatio = \"a\" | "
                        + "bounds.retryRatio: of type number was expected, found \"a\""
            })
    void describesErrorInOneLine(String from, String to, String message) {
        assertTrue(EXAMPLE.contains(from));
        assertEquals(message, assertRejected(EXAMPLE.replace(from, to == null ? "" : to)));
    }

    @Test
    void ignoresUnknownKeys() throws ConfigException {
        assertEquals(read(EXAMPLE), read("more = [{a = 1}]\n" + EXAMPLE + "fuzz = 1979-05-27\n[other]\nx = 1\n"));
    }

    @Test
    void acceptsMissingOptionalKeys() throws ConfigException {
        LocalSettings read = read("dataDir = \"/data\"\n"
                + EXAMPLE.replaceAll("(?m)^(app|depot|inbound).*$", "").replace("sidecar", "control"));
        assertEquals("/data", read.dataDir());
        assertEquals(LocalSettings.Role.CONTROL, read.role());
        assertNull(read.app());
        assertNull(read.depot());
        assertNull(read.listenOn().inbound());
    }

    @Test
    void describesMissingFileAndInvalidToml() {
        Path none = folder.resolve("none.toml");
        assertTrue(assertThrows(ConfigException.class, () -> LocalSettings.read(none))
                .getMessage()
                .endsWith("none.toml: a file that can be read was expected: NoSuchFileException"));
        assertThrows(ConfigException.class, () -> LocalSettings.read(folder));
        for (String text : new String[] {"node = \"a\"\nrole =\n", "node = 1\nnode = 2\n"}) {
            String message = assertRejected(text);
            assertTrue(message.startsWith("TOML was expected: line "), message);
        }
        assertEquals("node: this key was expected, found none", assertRejected(""));
        assertEquals(
                "zones.a\\nb: a text that is not empty was expected, found \"\"",
                assertRejected(EXAMPLE.replace("[zones]", "[zones]\n\"a\\nb\" = \"\"")));
        assertEquals(
                "limits.fds: is missing or not as expected",
                assertRejected(EXAMPLE.replace("fds = 4100", "fds = 1e301")));
    }

    @Test
    void rejectsTruncatedFile() {
        for (int end = 0; end < EXAMPLE.indexOf("[bounds]"); end += 50) {
            assertRejected(EXAMPLE.substring(0, end));
        }
    }

    /** The reader and the schema accept and reject the same files, with each key of the schema missing or corrupted. */
    @Test
    void readerAndSchemaAgreeOnEachKey() throws IOException {
        JsonNode schema = new JsonMapper().readTree(resource("local.schema.json"));
        assertEquals(17, schema.path("required").size());
        int keys = assertAgree(schema, "");
        assertEquals(52, keys);
    }

    private int assertAgree(JsonNode schema, String path) throws IOException {
        int keys = 0;
        for (Map.Entry<String, JsonNode> property : schema.path("properties").properties()) {
            assertAgree(path, property.getKey(), null);
            for (String value : CORRUPT_VALUES) {
                assertAgree(path, property.getKey(), value);
            }
            keys += 1 + assertAgree(property.getValue(), property.getKey());
        }
        return keys;
    }

    private void assertAgree(String table, String key, String value) throws IOException {
        TomlMapper toml = new TomlMapper();
        ObjectNode root = (ObjectNode) toml.readTree(EXAMPLE);
        ObjectNode place = table.isEmpty() ? root : (ObjectNode) root.get(table);
        place.remove(key);
        if (value != null) {
            place.put(key, "@@");
        }
        byte[] text = toml.writeValueAsString(root)
                .replace("'@@'", String.valueOf(value))
                .getBytes(StandardCharsets.UTF_8);
        String expected;
        try {
            expected = LocalSchema.check(toml.readTree(text)).isEmpty() ? "fine" : "off";
        } catch (NumberFormatException e) {
            expected = "off";
        }
        String found;
        try {
            LocalSettingsReader.settings(Toml.read(text));
            found = "fine";
        } catch (SettingsTable.InvalidKeyException e) {
            found = "off";
        }
        assertEquals(expected, found, table + "." + key + " = " + value);
    }
}
