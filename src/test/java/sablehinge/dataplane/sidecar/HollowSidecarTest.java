package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.api.ConfigurationReader;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/** The exchange between a sidecar without a data plane and the control plane. */
@Timeout(30)
class HollowSidecarTest {

    /** Addresses used by this process only, as in {@link SidecarFixture}. */
    private static final long PROCESS = ProcessHandle.current().pid();

    private static final String NET = "127." + (1 + PROCESS % 250) + "." + (1 + PROCESS / 250 % 250) + ".";
    private static final String IP = NET + "91";
    private static final String CORE = NET + "92";
    /** A separate port for each test, as a bound port may be released late. */
    private static final int FIRST_PORT = 7780;

    private static final int SECOND_PORT = 7800;

    private static final class TokenRequestCounter implements Connection.Observer {
        private final AtomicInteger tokens = new AtomicInteger();

        @Override
        public void sent(Frame.Kind kind, int bytes) {
            if (kind == Frame.Kind.TOKENS) {
                tokens.incrementAndGet();
            }
        }
    }

    @Test
    void registersReceivesConfigurationAndRegistryAndClaimsTokens() throws Exception {
        EventLoop loop = ClosingEventLoops.single("test");
        try (StubCore core = new StubCore(CORE, FIRST_PORT)) {
            TokenRequestCounter asks = new TokenRequestCounter();
            HollowSidecar hollow =
                    HollowSidecar.start(settings(FIRST_PORT), loop, "i-1", asks, HollowSidecarTest::read);
            core.register(new Registration("other", "z-1", NET + "93:7703", "s", "i-2", true, 4, 0));
            core.setConfiguration(
                    SidecarFixture.configuration(4, "{\"name\":\"t\",\"passes\":[\"k\"],\"perS\":1,\"burst\":1}", ""),
                    4);
            hollow.await(view -> view.edition() == 4 && view.roster().size() == 2);
            SidecarFixture.await(
                    "the configuration and the registry have arrived", () -> !Double.isNaN(hollow.awaitedAt()));
            core.awaitKnown("i-1");
            assertEquals(IP + ":7703", core.lastRegistration().inbound());
            hollow.replaceUpstream("i-9");
            core.awaitKnown("i-9");
            assertEquals(0, asks.tokens.get());
            hollow.demand(1_000);
            SidecarFixture.await("tokens are claimed", () -> asks.tokens.get() > 0 && hollow.requested() > 0);
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void neverReconnectsAfterClose() throws Exception {
        EventLoop loop = ClosingEventLoops.single("test");
        CountDownLatch requested = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        AtomicInteger asks = new AtomicInteger();
        try {
            new Connection(loop, 300, 60_000)
                    .listen(new InetSocketAddress(CORE, SECOND_PORT), new Connection.Handler() {
                        @Override
                        public void onFrame(Connection.Link link, Frame frame) {
                            if (frame.kind() == Frame.Kind.ASK) {
                                asks.incrementAndGet();
                                requested.countDown();
                            }
                        }

                        @Override
                        public void closed(Connection.Link link) {
                            gone.countDown();
                        }
                    })
                    .sync();
            HollowSidecar hollow = HollowSidecar.start(
                    settings(SECOND_PORT), loop, "i-1", Connection.Observer.NONE, HollowSidecarTest::read);
            requested.await();
            hollow.close();
            gone.await();
            // A lost connection, unlike a closed one, would be re-established 60 ms later by this event loop.
            loop.schedule(() -> {}, 200, TimeUnit.MILLISECONDS).sync();
            assertEquals(1, asks.get());
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static Configuration read(Update update) {
        try {
            return ConfigurationReader.read(PackedConfiguration.unpack(update.body()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static LocalSettings settings(int inner) {
        return new LocalSettings(
                "hollow-1",
                LocalSettings.Role.SIDECAR,
                "sidecar",
                List.of("sidecar"),
                IP,
                "z-1",
                "r-1",
                inner,
                inner + 15,
                List.of(CORE + ":7701"),
                true,
                false,
                null,
                1_500,
                List.of(),
                IP + ":7705",
                "s",
                Map.of("z-1", "r-1"),
                new LocalSettings.ListenOn(IP + ":7703", IP + ":7702", IP + ":7704", IP + ":7701"),
                new LocalSettings.Limits(1, 1, 400, 2_000, 1_000, 0),
                1,
                new LocalSettings.Bounds(
                        3, 2, 3_000, 5_000, 4, 2_500, 6, 200, 2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0.1, 20,
                        15));
    }
}
