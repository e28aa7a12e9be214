package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.admission.AdmissionController;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** The real front, gate and transport before an upstream, put together on somebody else's loop and clock. */
public final class GateParts {

    /** The incarnation to which the gate is open. */
    public static final String INCARNATION = "i-1";

    private static final int BERTHS = 2;
    private AdmissionController gate;

    private GateParts(
            EventLoop loop,
            Clock clock,
            Timers timers,
            Sockets sockets,
            ByteBufAllocator memory,
            InetSocketAddress upstream,
            InetSocketAddress at,
            Consumer<String> done) {
        RequestProxy core = new RequestProxy(clock, timers, actions -> {
            gate = new AdmissionController(actions);
            return gate;
        });
        Frontend front = new Frontend(loop, sockets, memory, core, new InboundFront(core));
        UpstreamClient transport = new UpstreamClient(loop, clock, sockets, memory, new MeshUpstream(clock, () -> {}));
        Upstream own = new Upstream(AdmissionController.UPSTREAM, 0, 0, 0, State.READY, 1, 0);
        core.start(
                BalancerSettings.gate(),
                1,
                new Roster(1, true, List.of(new Roster.Member(own, upstream))),
                transport,
                new Registry() {
                    @Override
                    public void fetch() {
                        // The one upstream is known.
                    }

                    @Override
                    public void watch(boolean on) {
                        // The one upstream is known.
                    }
                });
        gate.open(clock.now(), MeshHeaders.incarnation(INCARNATION), BERTHS);
        front.open(at, done);
    }

    /** Puts them together, with the gate open; {@code done} gets why they can't listen, or null. */
    public static void start(
            EventLoop loop,
            Clock clock,
            Timers timers,
            Sockets sockets,
            ByteBufAllocator memory,
            InetSocketAddress upstream,
            InetSocketAddress at,
            Consumer<String> done) {
        new GateParts(loop, clock, timers, sockets, memory, upstream, at, done);
    }
}
