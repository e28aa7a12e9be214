package sablehinge.dataplane.sidecar;

import java.util.function.Consumer;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.mesh.api.Asked;
import sablehinge.mesh.api.Headed;
import sablehinge.mesh.api.Operation;
import sablehinge.mesh.api.Reply;

/** The calls of the upstream beside a balancer (PROTOCOL, "Which upstreams there are"). */
final class Beats {

    private Beats() {}

    /** That a beat was heard. */
    record Heard() {}

    /** An upstream has left. */
    record SignOff(String id) {}

    /**
     * The operation of heartbeats. One of an upstream elsewhere is not acknowledged: the gate before it is not here.
     *
     * @param app the address of the upstream of the own machine, {@code ip:port}
     */
    static Operation<Heartbeat, Heard> beats(String app, Consumer<Heartbeat> hears) {
        return new Headed<>("POST", "/sablehinge/Servers.Heartbeat/") {
            @Override
            public Heartbeat read(Asked asked) {
                return HeartbeatReader.read(asked.name(), asked.body(), app);
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
}
