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

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Handles calls of one kind. */
    interface Listener<Q> {

        /** Handles a call and reports once, possibly later, whether it is acknowledged. */
        void onCall(Q call, Consumer<Acknowledgement> callback);
    }

    /** Whether a call is acknowledged. If not, the upstream calls again. */
    enum Acknowledgement {
        GIVEN,
        /** The control plane has not recorded in time what the acknowledgement would promise. */
        WITHHELD;

        private ApiResponse response() {
            return this == GIVEN
                    ? ApiResponse.of(OK)
                    : ApiResponse.error(UNAVAILABLE, "NOT_RECORDED", "the control plane has not recorded it yet");
        }
    }

    /** The sign-off of an upstream that leaves. */
    record SignOff(String id) {}

    /**
     * The heartbeat operation. Heartbeats of upstreams on other machines are not acknowledged, as their requests are
     * not admitted here.
     *
     * @param app the address of the local upstream, {@code ip:port}
     */
    static Operation<Heartbeat, Acknowledgement> heartbeats(String app, Listener<Heartbeat> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(ApiRequest request) {
                return HeartbeatReader.read(request.name(), request.body(), app);
            }

            @Override
            public void execute(Heartbeat heartbeat, Consumer<Acknowledgement> callback) {
                listener.onCall(heartbeat, callback);
            }

            @Override
            public ApiResponse write(Acknowledgement acknowledgement) {
                return acknowledgement.response();
            }
        };
    }

    /** The sign-off operation. */
    static Operation<SignOff, Acknowledgement> signOffs(Listener<SignOff> listener) {
        return new HttpOperation<>("POST", "/sablehinge/Servers.SignOff/") {
            @Override
            public SignOff read(ApiRequest request) {
                return new SignOff(request.name());
            }

            @Override
            public void execute(SignOff call, Consumer<Acknowledgement> callback) {
                listener.onCall(call, callback);
            }

            @Override
            public ApiResponse write(Acknowledgement acknowledgement) {
                return acknowledgement.response();
            }
        };
    }
}
