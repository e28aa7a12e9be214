package sablehinge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.function.Consumer;
import sablehinge.api.Asked;
import sablehinge.api.CallException;
import sablehinge.api.Headed;
import sablehinge.api.Operation;
import sablehinge.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.api.Reply;

/** The calls of the upstream beside a balancer (PROTOCOL, "Which upstreams there are"). */
final class Beats {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_BERTHS = 60_000;
    private static final int MISDIRECTED = 421;

    private Beats() {
    }

    /** That a beat was heard. */
    record Heard() { }

    /** An upstream has left. */
    record SignOff(String id) { }

    /**
     * The operation of heartbeats. One of an upstream elsewhere is not acknowledged: the gate before it is
     * not here.
     *
     * @param app the address of the upstream of the own machine, {@code ip:port}
     */
    static Operation<Heartbeat, Heard> beats(String app, Consumer<Heartbeat> hears) {
        return new Headed<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(Asked asked) {
                JsonNode body;
                try {
                    body = JSON.readTree(asked.body());
                } catch (IOException e) {
                    throw new CallException(400, "NOT_JSON", "the beat is no JSON");
                }
                String state = text(body, "state");
                if (!state.equals("ready") && !state.equals("unloading")) {
                    throw new CallException(400, "STATE", "state is neither ready nor unloading");
                }
                String address = text(body, "address");
                if (!address.equals(app)) {
                    throw new CallException(MISDIRECTED, "ELSEWHERE", "the upstream here is at " + app
                            + ", not at " + address);
                }
                return new Heartbeat(asked.name(), text(body, "depot"), state.equals("unloading"),
                        Math.max(1, Math.min(MOST_BERTHS, body.path("berths").asInt(1))),
                        Math.max(0, body.path("coldLeftMs").asInt(0)), body.path("callCount").asLong(0));
            }

            @Override
            public void carryOut(Heartbeat beat, Consumer<Heard> answer) {
                hears.accept(beat);
                answer.accept(new Heard());
            }

            @Override
            public Reply write(Heard heard) {
                return Reply.of(200);
            }
        };
    }

    /** The operation of those that leave. */
    static Operation<SignOff, Heard> signOffs(Consumer<SignOff> hears) {
        return new Headed<>("POST", "/sablehinge/Servers.SignOff/") {
            @Override
            public SignOff read(Asked asked) {
                return new SignOff(asked.name());
            }

            @Override
            public void carryOut(SignOff call, Consumer<Heard> answer) {
                hears.accept(call);
                answer.accept(new Heard());
            }

            @Override
            public Reply write(Heard heard) {
                return Reply.of(200);
            }
        };
    }

    private static String text(JsonNode body, String name) {
        JsonNode value = body.path(name);
        if (!value.isTextual()) {
            throw new CallException(400, "MISSING", name + " is missing or no text");
        }
        return value.asText();
    }
}
