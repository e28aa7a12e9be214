package sablehinge.dataplane.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.mesh.api.CallException;

/**
 * Parses heartbeats with a streaming parser. An object mapper would be shorter, but takes 100 ms to load, during which
 * a process that has just started could not receive heartbeats of its upstream.
 */
final class HeartbeatReader {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_BERTHS = 60_000;
    private static final int BAD_REQUEST = 400;
    private static final int MISDIRECTED = 421;

    private String service;
    private String address;
    private String state;
    private int berths = 1;
    private int warmUpMs;
    private long callCount;

    private HeartbeatReader() {}

    /**
     * Parses the heartbeat in a body. Optional fields with their defaults: {@code berths} (1), {@code coldLeftMs} and
     * {@code callCount} (0).
     *
     * @param id the upstream's incarnation
     * @param app the address of the local upstream, {@code ip:port}
     * @throws CallException 400 if the body is malformed, 421 if the upstream is not the local one
     */
    static Heartbeat read(String id, byte[] body, String app) {
        HeartbeatReader reader = new HeartbeatReader();
        try (JsonParser in = JSON.createParser(body)) {
            reader.fields(in);
        } catch (IOException e) {
            throw new CallException(BAD_REQUEST, "NOT_JSON", "the beat is no JSON");
        }
        return reader.heartbeat(id, app);
    }

    private void fields(JsonParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_OBJECT) {
            return;
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "depot" -> service = text(in);
                case "address" -> address = text(in);
                case "state" -> state = text(in);
                case "berths" -> berths = in.getValueAsInt(1);
                case "coldLeftMs" -> warmUpMs = in.getValueAsInt(0);
                case "callCount" -> callCount = in.getValueAsLong(0);
                default -> {
                    // Unknown fields are skipped.
                }
            }
            in.skipChildren();
        }
    }

    private static String text(JsonParser in) throws IOException {
        return in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : null;
    }

    private Heartbeat heartbeat(String id, String app) {
        require("state", state);
        boolean unloading = state.equals("unloading");
        if (!unloading && !state.equals("ready")) {
            throw new CallException(BAD_REQUEST, "STATE", "state is neither ready nor unloading");
        }
        require("address", address);
        if (!address.equals(app)) {
            throw new CallException(MISDIRECTED, "ELSEWHERE", "the upstream here is at " + app + ", not at " + address);
        }
        require("depot", service);
        return new Heartbeat(
                id, service, unloading, Math.max(1, Math.min(MAX_BERTHS, berths)), Math.max(0, warmUpMs), callCount);
    }

    private static void require(String name, String value) {
        if (value == null) {
            throw new CallException(BAD_REQUEST, "MISSING", name + " is missing or no text");
        }
    }
}
