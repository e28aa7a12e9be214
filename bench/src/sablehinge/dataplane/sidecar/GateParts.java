package sablehinge.dataplane.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.admission.AdmissionController;
import sablehinge.dataplane.http1.BodyMemory;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * The real front end, admission control and transport of an upstream's sidecar, assembled on a given event loop and
 * clock.
 */
public final class GateParts {

    /** The incarnation to which requests are admitted. */
    public static final String INCARNATION = "i-1";

    private static final int BERTHS = 2;
    private AdmissionController admission;

    private GateParts(
            EventLoop loop,
            Clock clock,
            Timers timers,
            Sockets sockets,
            ByteBufAllocator memory,
            InetSocketAddress upstream,
            InetSocketAddress at,
            Consumer<String> done) {
        RequestProxy proxy = new RequestProxy(clock, timers, actions -> {
            admission = new AdmissionController(actions);
            return admission;
        });
        Frontend front = new Frontend(loop, sockets, memory, BodyMemory.ofProcess(), proxy, new InboundFront(proxy));
        UpstreamClient transport = new UpstreamClient(loop, clock, sockets, memory, new MeshUpstream(clock, () -> {}));
        Upstream localUpstream = new Upstream(AdmissionController.UPSTREAM, 0, 0, 0, State.READY, 1, 0);
        proxy.start(
                BalancerSettings.inboundVersion(),
                1,
                new Roster(1, true, List.of(new Roster.Member(localUpstream, upstream))),
                transport,
                new Registry() {
                    @Override
                    public void fetch() {
                        // The only upstream is known.
                    }

                    @Override
                    public void watch(boolean on) {
                        // The only upstream is known.
                    }
                });
        admission.open(clock.now(), MeshHeaders.incarnation(INCARNATION), BERTHS);
        front.open(at, done);
    }

    /** Assembles the parts and opens admission; {@code done} receives the reason if they can't listen, or null. */
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
