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

    /** The acknowledgement of a heartbeat. */
    record Acknowledgement() {}

    /** An upstream has left. */
    record SignOff(String id) {}

    /**
     * The operation of heartbeats. One of an upstream elsewhere is not acknowledged: the gate before it is not here.
     *
     * @param app the address of the upstream of the own machine, {@code ip:port}
     */
    static Operation<Heartbeat, Acknowledgement> heartbeats(String app, Consumer<Heartbeat> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(ApiRequest request) {
                return HeartbeatReader.read(request.name(), request.body(), app);
            }

            @Override
            public void execute(Heartbeat heartbeat, Consumer<Acknowledgement> answer) {
                listener.accept(heartbeat);
                answer.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement heard) {
                return ApiResponse.of(200);
            }
        };
    }

    /** The operation of those that leave. */
    static Operation<SignOff, Acknowledgement> signOffs(Consumer<SignOff> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.SignOff/") {
            @Override
            public SignOff read(ApiRequest request) {
                return new SignOff(request.name());
            }

            @Override
            public void execute(SignOff call, Consumer<Acknowledgement> answer) {
                listener.accept(call);
                answer.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement heard) {
                return ApiResponse.of(200);
            }
        };
    }
}
