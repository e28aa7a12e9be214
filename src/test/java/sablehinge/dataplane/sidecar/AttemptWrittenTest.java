package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultPromise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.common.eventloop.Clock;
import sablehinge.dataplane.admission.AdmissionController;
import sablehinge.dataplane.http1.HttpPayload;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.AttemptResult;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Transport;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;

/** An attempt counts as sent completely from the time at which the kernel accepted its last byte. */
@Timeout(60)
class AttemptWrittenTest {

    /** At this nesting depth Netty notifies listeners only in a later turn of the event loop. */
    private static final int NESTING_DEPTH = 8;

    private static final double TIMEOUT_MS = 60_000;

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();

    /** Completes with the result of an attempt. */
    private static final class ResultFuture extends CompletableFuture<Result> implements Transport.Progress {

        @Override
        public double responseStarted() {
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public void finished(AttemptResult result) {
            complete(result.result());
        }
    }

    private Transport.Attempt send(UpstreamClient client, String id, ResultFuture ended) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/u/x", Unpooled.EMPTY_BUFFER);
        request.headers().set(MeshHeaders.TRY_ID, id);
        return client.send(
                BalancerSettings.inboundVersion(),
                AdmissionController.UPSTREAM,
                new HttpPayload(request),
                clock.now() + TIMEOUT_MS,
                null,
                ended);
    }

    private static InetSocketAddress at(Listener listener) {
        String address = listener.address();
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void runNested(int depth, Runnable call) {
        if (depth == 0) {
            call.run();
            return;
        }
        DefaultPromise<Void> promise = new DefaultPromise<>(loop);
        promise.addListener(done -> runNested(depth - 1, call));
        promise.setSuccess(null);
    }

    @Test
    void countsAttemptAsSentBeforeWriteListenerRuns() throws Exception {
        try (Listener upstream = new Listener()) {
            Upstream own = new Upstream(AdmissionController.UPSTREAM, 0, 0, 0, State.READY, 1, 0);
            UpstreamClient client = loop.submit(() -> {
                        UpstreamClient made = new UpstreamClient(
                                loop,
                                clock,
                                new Sockets(100),
                                PooledByteBufAllocator.DEFAULT,
                                new MeshUpstream(clock, () -> {}));
                        made.adopt(BalancerSettings.inboundVersion());
                        made.update(new Roster(1, true, List.of(new Roster.Member(own, at(upstream)))));
                        return made;
                    })
                    .get();
            ResultFuture first = new ResultFuture();
            loop.submit(() -> send(client, "t-1", first)).get();
            Peer peer = upstream.accept();
            peer.read();
            peer.write(SidecarFixture.ok("t-1", "first"));
            assertEquals(Result.OK, first.get(20, TimeUnit.SECONDS));
            ResultFuture second = new ResultFuture();
            boolean[] mayHaveRun = new boolean[1];
            loop.submit(() -> runNested(
                            NESTING_DEPTH,
                            () -> mayHaveRun[0] = send(client, "t-2", second).mayHaveRun()))
                    .get();
            assertEquals("t-2", peer.read().header("Sablehinge-Try-Id"));
            assertTrue(mayHaveRun[0], "the attempt counts as partly sent");
            peer.reset();
            assertEquals(Result.RESET, second.get(20, TimeUnit.SECONDS));
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await();
        }
    }
}
