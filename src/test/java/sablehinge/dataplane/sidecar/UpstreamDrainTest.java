package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Admission at a real sidecar and the calls of its local upstream (RULES, DRAIN); the test of {@code UpstreamLifecycle}
 * covers the orders of events.
 */
@Timeout(60)
class UpstreamDrainTest {

    private static final int MISDIRECTED = 421;
    private static final int REFUSED = 503;

    /** Health checks may be wrong: only a heartbeat states whether the upstream is leaving. */
    @Test
    void waitsForHeartbeatInsteadOfProbingHealthPathAfterStart() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.respond(request -> request.startLine().contains("/health")
                    ? "HTTP/1.1 200 OK\r\nSablehinge-Answered-By: i-1\r\nContent-Length: 0\r\n\r\n"
                    : SidecarFixture.ok(request.id(), "x"));
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            mesh.core.awaitKnown("");
            PlainConnection peer = mesh.connectAsPeer();
            assertEquals(
                    REFUSED,
                    peer.request(SidecarFixture.peerRequest("t-1", "i-1")).status());
            mesh.heartbeat("i-1", "ready");
            assertEquals(
                    200, peer.request(SidecarFixture.peerRequest("t-2", "i-1")).status());
            assertEquals(List.of("t-2"), mesh.arrivedIds());
        }
    }

    /** The previous process may have acknowledged long ago that the upstream is leaving. */
    @Test
    void sendsNothingToUpstreamThatIsUnloadingInFirstHeartbeat() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().respond(request -> SidecarFixture.ok(request.id(), "x"))) {
            assertEquals(200, mesh.heartbeat("i-1", "unloading").status());
            assertEquals(
                    REFUSED,
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .status());
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** An acknowledgement by a sidecar that is not the upstream's own would have no effect. */
    @Test
    void rejectsHeartbeatOfUpstreamOnOtherMachine() throws Exception {
        try (SidecarFixture mesh =
                SidecarFixture.withUpstream().respond(request -> SidecarFixture.ok(request.id(), "x"))) {
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
                    200,
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .status());
        }
    }

    /** A late heartbeat must not reactivate the incarnation. */
    @Test
    void ignoresHeartbeatOfIncarnationThatSignedOffBefore() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().respond(request -> SidecarFixture.ok(request.id(), "x"))) {
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-1", "")
                            .status());
            assertEquals(200, mesh.heartbeat("i-1", "ready").status());
            assertEquals(
                    REFUSED,
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .status());
        }
    }

    /** The sockets are open long before the rest is loaded: a heartbeat that arrives meanwhile enables admission. */
    @Test
    void acceptsHeartbeatSentDuringStart() throws Exception {
        PlainConnection[] upstream = new PlainConnection[1];
        try (SidecarFixture mesh =
                new SidecarFixture(true, early -> upstream[0] = early.sendHeartbeat("i-1", "ready"))) {
            mesh.respond(request -> SidecarFixture.ok(request.id(), "x"));
            assertEquals(200, upstream[0].read().status());
            // The process must know what an earlier one has acknowledged.
            mesh.core.awaitKnown("i-1");
            assertEquals(
                    200,
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .status());
        }
    }
}
