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

/** Simulates the control plane with a configuration set by the test, and confirms it when the test allows. */
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
    private boolean confirming = true;
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

    private <T> T request(Callable<T> action) {
        try {
            return loop.submit(action).sync().getNow();
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
        if (last.confirm() && confirming) {
            watchServer.confirmed(link, last.number());
        }
        answer();
    }

    @Override
    public void closed(Connection.Link link) {
        watchServer.removeSubscriber(link);
    }

    /** Sets the current configuration. */
    void setConfiguration(String configuration, long next) {
        request(() -> {
            edition = next;
            watchServer.configurationChanged(next, packed(configuration), List.of(address));
            answer();
            return null;
        });
    }

    /** Sets the packed bytes of the current configuration, which may be corrupt. */
    void setPackedConfiguration(byte[] packed, long next) {
        request(() -> {
            edition = next;
            watchServer.configurationChanged(next, packed, List.of(address));
            answer();
            return null;
        });
    }

    /** Packs a configuration as it is sent. */
    static byte[] packed(String configuration) {
        return PackedConfiguration.pack(configuration.getBytes(StandardCharsets.UTF_8));
    }

    /** Sets a configuration that is not published before a sidecar requests a confirmation. */
    void setConfigurationOnConfirmation(String configuration, long next) {
        request(() -> {
            nextEdition = next;
            nextBody = packed(configuration);
            return null;
        });
    }

    /** Registers a sidecar simulated by the test. */
    void register(Registration registration) {
        request(() -> registry.register(clock.now(), registration));
    }

    /** Enables or holds back confirmations. */
    void setConfirming(boolean enabled) {
        request(() -> {
            confirming = enabled;
            if (enabled && last != null) {
                watchServer.confirmed(lastFrom, last.number());
                answer();
            }
            return null;
        });
    }

    /** How many requests asked for a confirmation. */
    int confirmationsRequested() {
        return request(() -> confirmationsRequested);
    }

    /** Waits until the sidecar has the current configuration and registry and reports the given upstream. */
    void awaitKnown(String upstream) {
        SidecarFixture.await(
                "the sidecar is up to date",
                () -> request(() -> last != null
                        && last.edition() == edition
                        && last.term() == TERM
                        && last.stamp() == registry.stamp()
                        && last.registration().upstream().equals(upstream)));
    }

    /** The number of connections opened. */
    int connections() {
        return request(() -> connections);
    }

    /** The registration in the last request. */
    Registration lastRegistration() {
        return request(() -> last == null ? null : last.registration());
    }

    /** When a registration with a ready upstream was last received, by {@link System#nanoTime}. */
    long readyAt() {
        return request(() -> readyAt);
    }

    /** The suspicions in the last request. */
    List<Suspicion> suspicions() {
        return request(() -> last == null ? List.of() : last.suspicions());
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
