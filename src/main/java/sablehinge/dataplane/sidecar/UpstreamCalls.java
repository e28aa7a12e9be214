package sablehinge.dataplane.sidecar;

import java.util.function.Consumer;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.HttpOperation;
import sablehinge.mesh.api.Operation;

/** The API for the local upstream (PROTOCOL, "Which upstreams there are"). */
final class UpstreamCalls {

    private UpstreamCalls() {}

    /** The acknowledgement of a call. */
    record Acknowledgement() {}

    /** The sign-off of an upstream that leaves. */
    record SignOff(String id) {}

    /**
     * The heartbeat operation. Heartbeats of upstreams on other machines are not acknowledged, as their requests are
     * not admitted here.
     *
     * @param app the address of the local upstream, {@code ip:port}
     */
    static Operation<Heartbeat, Acknowledgement> heartbeats(String app, Consumer<Heartbeat> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(ApiRequest request) {
                return HeartbeatReader.read(request.name(), request.body(), app);
            }

            @Override
            public void execute(Heartbeat heartbeat, Consumer<Acknowledgement> callback) {
                listener.accept(heartbeat);
                callback.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement acknowledgement) {
                return ApiResponse.of(200);
            }
        };
    }

    /** The sign-off operation. */
    static Operation<SignOff, Acknowledgement> signOffs(Consumer<SignOff> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.SignOff/") {
            @Override
            public SignOff read(ApiRequest request) {
                return new SignOff(request.name());
            }

            @Override
            public void execute(SignOff call, Consumer<Acknowledgement> callback) {
                listener.accept(call);
                callback.accept(new Acknowledgement());
            }

            @Override
            public ApiResponse write(Acknowledgement acknowledgement) {
                return ApiResponse.of(200);
            }
        };
    }
}
