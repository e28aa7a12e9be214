package sablehinge.dataplane.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.controlplane.node.WatchServer;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.WatchRequest;

/** Plays the core: it holds what the test says, and confirms it when the test lets it. */
final class StubCore implements Connection.Handler, AutoCloseable {

    private static final long TERM = 3;
    private final EventLoop loop = ClosingEventLoops.single("stub-core");
    private final Clock clock = Clock.system();
    private final Registry registry = new Registry(0, 600_000);
    private final WatchServer<Connection.Link> watchServer = new WatchServer<>(registry);
    private final String address;
    private long edition;
    private long nextEdition;
    private byte[] nextBody;
    private WatchRequest last;
    private Connection.Link lastFrom;
    private boolean confirms = true;
    private int confirmationsRequested;
    private long readyAt;
    private int connections;

    StubCore(String ip, int port) throws Exception {
        address = ip + ":" + port;
        loop.submit(() -> {
                    watchServer.startTerm(clock.now(), TERM);
                    watchServer.configurationChanged(0, new byte[0], List.of(address));
                })
                .sync();
        new Connection(loop, 300, 1_200)
                .listen(new InetSocketAddress(ip, port), this)
                .sync();
        loop.scheduleAtFixedRate(this::answer, 10, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T request(Callable<T> what) {
        try {
            return loop.submit(what).sync().getNow();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void answer() {
        for (WatchServer.Delivery<Connection.Link> delivery : watchServer.dueDeliveries(clock.now())) {
            delivery.to().send(new Frame(Frame.Kind.UPDATE, delivery.update().bytes()));
        }
    }

    @Override
    public void opened(Connection.Link link) {
        connections++;
    }

    @Override
    public void onFrame(Connection.Link link, Frame frame) {
        if (frame.kind() != Frame.Kind.ASK) {
            return;
        }
        try {
            last = WatchRequest.read(frame.body());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        lastFrom = link;
        readyAt = last.registration().ready() ? System.nanoTime() : readyAt;
        watchServer.handleRequest(clock.now(), link, last);
        confirmationsRequested += last.confirm() ? 1 : 0;
        if (last.confirm() && nextEdition > 0) {
            edition = nextEdition;
            nextEdition = 0;
            watchServer.configurationChanged(edition, nextBody, List.of(address));
        }
        if (last.confirm() && confirms) {
            watchServer.confirmed(link, last.number());
        }
        answer();
    }

    @Override
    public void closed(Connection.Link link) {
        watchServer.removeSubscriber(link);
    }

    /** A configuration is in force. */
    void holds(String configuration, long next) {
        request(() -> {
            edition = next;
            watchServer.configurationChanged(next, packed(configuration), List.of(address));
            answer();
            return null;
        });
    }

    /** What travels as the configuration in force is what the test says. */
    void holdsAsItTravels(byte[] packed, long next) {
        request(() -> {
            edition = next;
            watchServer.configurationChanged(next, packed, List.of(address));
            answer();
            return null;
        });
    }

    /** A configuration as it travels. */
    static byte[] packed(String configuration) {
        return PackedConfiguration.pack(configuration.getBytes(StandardCharsets.UTF_8));
    }

    /** A configuration is in force of which nobody is notified before somebody asks whether theirs is the newest. */
    void holdsUntilRequested(String configuration, long next) {
        request(() -> {
            nextEdition = next;
            nextBody = packed(configuration);
            return null;
        });
    }

    /** A balancer that the test plays is there. */
    void tells(Registration registration) {
        request(() -> registry.register(clock.now(), registration));
    }

    /** Confirmations wait from now on, or no more. */
    void confirms(boolean on) {
        request(() -> {
            confirms = on;
            if (on && last != null) {
                watchServer.confirmed(lastFrom, last.number());
                answer();
            }
            return null;
        });
    }

    /** How often it was queried whether what it holds is the newest. */
    int confirmationsRequested() {
        return request(() -> confirmationsRequested);
    }

    /** Waits until whoever asks knows all that is held, and that its upstream is there as reported. */
    void awaitKnown(String upstream) {
        SidecarFixture.await(
                "the news are known",
                () -> request(() -> last != null
                        && last.edition() == edition
                        && last.term() == TERM
                        && last.stamp() == registry.stamp()
                        && last.registration().upstream().equals(upstream)));
    }

    /** How often somebody has connected. */
    int connections() {
        return request(() -> connections);
    }

    /** What was last reported of who asks. */
    Registration lastRegistration() {
        return request(() -> last == null ? null : last.registration());
    }

    /** When it was last notified that the upstream there is to be drawn, by {@link System#nanoTime}. */
    long readyAt() {
        return request(() -> readyAt);
    }

    /** Whom the last to ask accused. */
    List<Suspicion> suspicions() {
        return request(() -> last == null ? List.of() : last.suspicions());
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
