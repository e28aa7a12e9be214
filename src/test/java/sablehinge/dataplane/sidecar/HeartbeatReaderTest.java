package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.mesh.api.CallException;

/** Parsing of heartbeats and rejection of malformed ones. */
class HeartbeatReaderTest {

    private static final String APP = "10.1.0.11:8363";

    private static Heartbeat read(String body) {
        return HeartbeatReader.read("i-1", body.getBytes(StandardCharsets.UTF_8), APP);
    }

    @Test
    void readsAllFieldsAndSkipsUnknownOnes() {
        assertEquals(
                new Heartbeat("i-1", "huvo11a", true, 12, 800, 4),
                read(
                        """
                {"zone":"monza-a","more":{"state":"ready","list":[1,{"berths":3}]},"depot":"huvo11a",
                 "address":"10.1.0.11:8363","edition":"v1","berths":12,"state":"unloading","coldLeftMs":800,
                 "callCount":4}"""));
    }

    @Test
    void appliesDefaultsAndLimitsToNumbers() {
        assertEquals(
                new Heartbeat("i-1", "a", false, 1, 0, 0),
                read("""
                {"depot":"a","address":"10.1.0.11:8363","state":"ready"}"""));
        assertEquals(
                new Heartbeat("i-1", "a", false, 60_000, 0, 9),
                read(
                        """
                {"depot":"a","address":"10.1.0.11:8363","state":"ready","berths":70000,"coldLeftMs":-5,
                 "callCount":9}"""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{ | 400 | NOT_JSON",
                "'' | 400 | MISSING",
                "[1] | 400 | MISSING",
                "{\"depot\":\"a\",\"address\":\"10.1.0.11:8363\"} | 400 | MISSING",
                "{\"depot\":\"a\",\"address\":\"10.1.0.11:8363\",\"state\":3} | 400 | MISSING",
                "{\"depot\":\"a\",\"address\":\"10.1.0.11:8363\",\"state\":\"gone\"} | 400 | STATE",
                "{\"depot\":\"a\",\"state\":\"ready\"} | 400 | MISSING",
                "{\"address\":\"10.1.0.11:8363\",\"state\":\"ready\"} | 400 | MISSING",
                "{\"depot\":\"a\",\"address\":\"10.1.0.12:8363\",\"state\":\"unloading\"} | 421 | ELSEWHERE"
            })
    void rejectsMalformedHeartbeat(String body, int status, String code) {
        CallException refused = assertThrows(CallException.class, () -> read(body));
        assertEquals(status, refused.reply().status());
        assertTrue(new String(refused.reply().body(), StandardCharsets.UTF_8).contains(code));
    }
}
