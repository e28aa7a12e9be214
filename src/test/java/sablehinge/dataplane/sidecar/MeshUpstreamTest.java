package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.ShutdownDeadlines;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** Requests from a sidecar to a peer, with a simulated clock. */
class MeshUpstreamTest {

    private static final double NOW = 1_000;
    private static final Roster.Member MEMBER =
            new Roster.Member(new Upstream(1, 0, 0, 0, State.READY, 1, 0), new InetSocketAddress(1));

    private final MeshUpstream dialect = new MeshUpstream(() -> NOW);

    /** The queue timeout that is sent to the peer for a request that may wait for {@code queueTimeoutMs}. */
    private String forwardedQueueTimeout(double queueTimeoutMs) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(MeshHeaders.QUEUE_TIMEOUT, NOW + queueTimeoutMs);
        HttpRequest sent = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        dialect.setHeaders(sent, request, MEMBER, 5_000, null);
        return sent.headers().get(MeshHeaders.QUEUE_TIMEOUT);
    }

    @Test
    void limitsQueueTimeoutDuringShutdown() {
        assertEquals("900", forwardedQueueTimeout(900));
        dialect.drain(new ShutdownDeadlines(NOW, NOW + 400, NOW + 800));
        assertEquals("400", forwardedQueueTimeout(900));
        assertEquals("300", forwardedQueueTimeout(300));
    }
}
