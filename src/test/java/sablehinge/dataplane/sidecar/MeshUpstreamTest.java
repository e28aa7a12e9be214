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

/** What a balancer says to another one; the time is the test's. */
class MeshUpstreamTest {

    private static final double NOW = 1_000;
    private static final Roster.Member MEMBER =
            new Roster.Member(new Upstream(1, 0, 0, 0, State.READY, 1, 0), new InetSocketAddress(1));

    private final MeshUpstream dialect = new MeshUpstream(() -> NOW);

    /**
     * For how long a request may wait at the other balancer that may do so for {@code queueTimeoutMs}, as it is sent.
     */
    private String sentWith(double queueTimeoutMs) {
        HttpRequest given = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        given.headers().set(MeshHeaders.QUEUE_TIMEOUT, NOW + queueTimeoutMs);
        HttpRequest sent = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        dialect.setHeaders(sent, given, MEMBER, 5_000, null);
        return sent.headers().get(MeshHeaders.QUEUE_TIMEOUT);
    }

    @Test
    void whenTheProcessIsAboutToEndThenNoRequestWaitsForItsUpstreamUntilItIsTooLate() {
        assertEquals("900", sentWith(900));
        dialect.drain(new ShutdownDeadlines(NOW, NOW + 400, NOW + 800));
        assertEquals("400", sentWith(900));
        assertEquals("300", sentWith(300));
    }
}
