package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The gate of a real balancer and the calls of the upstream beside it (RULES, DRAIN); the test of
 * {@code UpstreamLifecycle} has the orders of events.
 */
@Timeout(60)
class UpstreamDrainTest {

    private static final int MISDIRECTED = 421;
    private static final int REFUSED = 503;

    /** Health answers may be false: only a heartbeat tells whether the upstream leaves. */
    @Test
    void aBalancerThatHasBegunAsksNoHealthPathAndWaitsForAHeartbeat() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.answers(request -> request.first().contains("/health")
                    ? "HTTP/1.1 200 OK\r\nSablehinge-Answered-By: i-1\r\nContent-Length: 0\r\n\r\n"
                    : SidecarFixture.ok(request.id(), "x"));
            mesh.core.holds(SidecarFixture.configuration(4, "", ""), 4);
            mesh.core.awaitKnown("");
            PlainConnection peer = mesh.balancer();
            assertEquals(REFUSED, peer.ask(SidecarFixture.meant("t-1", "i-1")).status());
            mesh.heartbeat("i-1", "ready");
            assertEquals(200, peer.ask(SidecarFixture.meant("t-2", "i-1")).status());
            assertEquals(List.of("t-2"), mesh.arrivedIds());
        }
    }

    /** The process before may have acknowledged that it leaves any time ago. */
    @Test
    void anUpstreamThatIsFirstHeardToUnloadGetsNothing() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().answers(request -> SidecarFixture.ok(request.id(), "x"))) {
            assertEquals(200, mesh.heartbeat("i-1", "unloading").status());
            assertEquals(
                    REFUSED,
                    mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).status());
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** An acknowledgement by a balancer that is not beside the upstream would bind nobody. */
    @Test
    void anUpstreamElsewhereIsNotAcknowledged() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(request -> SidecarFixture.ok(request.id(), "x"))) {
            assertEquals(
                    MISDIRECTED,
                    mesh.call(
                                    mesh.at.control(),
                                    "POST",
                                    "/sablehinge/Servers.Heartbeat/i-9",
                                    """
                    {"depot":"huvo11a","address":"127.9.9.9:80","zone":"monza-a","edition":"v1","berths":4,
                     "state":"unloading","coldLeftMs":0,"callCount":9}""")
                            .status());
            assertEquals(
                    200, mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).status());
        }
    }

    /** A late heartbeat must not bring it back. */
    @Test
    void aLifeThatSignedOffBeforeItWasHeardStaysGone() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().answers(request -> SidecarFixture.ok(request.id(), "x"))) {
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-1", "")
                            .status());
            assertEquals(200, mesh.heartbeat("i-1", "ready").status());
            assertEquals(
                    REFUSED,
                    mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).status());
        }
    }

    /** The sockets are there long before the rest: a heartbeat that comes meanwhile opens the gate. */
    @Test
    void aHeartbeatOfWhileTheProcessLoadsIsHeard() throws Exception {
        PlainConnection[] upstream = new PlainConnection[1];
        try (SidecarFixture mesh =
                new SidecarFixture(true, early -> upstream[0] = early.startsHeartbeats("i-1", "ready"))) {
            mesh.answers(request -> SidecarFixture.ok(request.id(), "x"));
            assertEquals(200, upstream[0].read().status());
            assertEquals(
                    200, mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).status());
        }
    }
}
