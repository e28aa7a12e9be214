package sablehinge.dataplane.sidecar;

import java.util.function.Consumer;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.HttpOperation;
import sablehinge.mesh.api.Operation;

/** The calls of the upstream beside a balancer (PROTOCOL, "Which upstreams there are"). */
final class UpstreamCalls {

    private UpstreamCalls() {}

    /** That a beat was heard. */
    record Acknowledgement() {}

    /** An upstream has left. */
    record SignOff(String id) {}

    /**
     * The operation of heartbeats. One of an upstream elsewhere is not acknowledged: the gate before it is not here.
     *
     * @param app the address of the upstream of the own machine, {@code ip:port}
     */
    static Operation<Heartbeat, Acknowledgement> beats(String app, Consumer<Heartbeat> hears) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(ApiRequest asked) {
                return HeartbeatReader.read(asked.name(), asked.body(), app);
            }

            @Override
            public void carryOut(Heartbeat beat, Consumer<Acknowledgement> answer) {
                hears.accept(beat);
                answer.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement heard) {
                return ApiResponse.of(200);
            }
        };
    }

    /** The operation of those that leave. */
    static Operation<SignOff, Acknowledgement> signOffs(Consumer<SignOff> hears) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.SignOff/") {
            @Override
            public SignOff read(ApiRequest asked) {
                return new SignOff(asked.name());
            }

            @Override
            public void carryOut(SignOff call, Consumer<Acknowledgement> answer) {
                hears.accept(call);
                answer.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement heard) {
                return ApiResponse.of(200);
            }
        };
    }
}
