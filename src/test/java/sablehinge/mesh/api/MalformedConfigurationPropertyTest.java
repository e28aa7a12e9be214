package sablehinge.mesh.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.RoutingTable;

/** Checks that any modified body is either accepted or rejected with a place. */
class MalformedConfigurationPropertyTest {

    private static final String[] FRAGMENTS = {
        "null", "{}", "[]", "0", "-1", "1e9", "\"\"", "true", ",", "}", "]", "{\"a\":1}", "[[1]]", "\"name\":", "\u00e9"
    };

    private static Configuration checked(byte[] body) {
        try {
            return ConfigurationCheck.check(body);
        } catch (CheckException e) {
            assertFalse(e.place().isEmpty());
            return null;
        }
    }

    private static Configuration read(byte[] body) {
        try {
            return ConfigurationReader.read(body);
        } catch (CheckException e) {
            return null;
        }
    }

    /** Replaces some bytes or a value with another fragment. */
    @Property(tries = 4_000)
    void anyModifiedBodyIsAcceptedOrRejectedWithAPlace(
            @ForAll @IntRange(max = 1_500) int from,
            @ForAll @IntRange(max = 12) int length,
            @ForAll @IntRange(max = 14) int fragment,
            @ForAll boolean replaceValue) {
        String example = ConfigurationCheckTest.EXAMPLE;
        int start = Math.min(from, example.length());
        int end = Math.min(start + length, example.length());
        if (replaceValue) {
            start = example.indexOf(':', start) + 1;
            end = Math.max(start, example.indexOf(',', start));
        }
        String malformed = example.substring(0, start) + FRAGMENTS[fragment] + example.substring(end);
        byte[] body = malformed.getBytes(StandardCharsets.UTF_8);
        Configuration checked = checked(body);
        Configuration read = read(body);
        if (checked != null) {
            assertEquals(checked, read, malformed);
            new RoutingTable(checked).find("ficu95.example", "/lohu930/x");
        }
    }
}
