package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** DRAIN: what one process of a sidecar has acknowledged to its upstream binds the next one. */
@Timeout(60)
class DepartureTest {

    private static final int ACKNOWLEDGED = 200;
    private static final int REFUSED = 503;

    /** How an upstream announces that it leaves. */
    private enum Announcement {
        SIGN_OFF,
        UNLOADING;

        int send(SidecarFixture mesh, String id) throws Exception {
            return (this == SIGN_OFF ? mesh.signOff(id) : mesh.heartbeat(id, "unloading")).status();
        }
    }

    private static SidecarFixture mesh() throws Exception {
        return SidecarFixture.withUpstream().respond(request -> SidecarFixture.ok(request.id(), "x"));
    }

    private static int request(SidecarFixture mesh, String id, String incarnation) throws Exception {
        try (PlainConnection peer = mesh.connectAsPeer()) {
            return peer.request(SidecarFixture.peerRequest(id, incarnation)).status();
        }
    }

    /** A late heartbeat reopened admission, as the new process knew nothing of the acknowledgement. */
    @ParameterizedTest
    @EnumSource(Announcement.class)
    void acknowledgedDepartureBindsNextProcess(Announcement announcement) throws Exception {
        try (SidecarFixture mesh = mesh()) {
            assertEquals(ACKNOWLEDGED, announcement.send(mesh, "i-1"));
            mesh.restartSidecar();
            mesh.core.awaitKnown("");
            assertEquals(ACKNOWLEDGED, mesh.heartbeat("i-1", "ready").status());
            assertEquals(REFUSED, request(mesh, "t-1", "i-1"));
            assertFalse(mesh.core.lastRegistration().ready());
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** The late heartbeat arrives before the new process has heard of the control plane. */
    @ParameterizedTest
    @EnumSource(Announcement.class)
    void admitsNothingBeforeControlPlaneIsHeard(Announcement announcement) throws Exception {
        try (SidecarFixture mesh = mesh()) {
            assertEquals(ACKNOWLEDGED, announcement.send(mesh, "i-1"));
            mesh.core.setConfirming(false);
            mesh.restartSidecar();
            assertEquals(ACKNOWLEDGED, mesh.heartbeat("i-1", "ready").status());
            assertEquals(REFUSED, request(mesh, "t-1", "i-1"));
            mesh.core.setConfirming(true);
            mesh.core.awaitKnown("i-1");
            assertEquals(REFUSED, request(mesh, "t-2", "i-1"));
            assertFalse(mesh.core.lastRegistration().ready());
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** The sign-off is the first that the second process hears of the upstream. */
    @Test
    void departureThatSecondProcessAcknowledgesBindsThirdOne() throws Exception {
        try (SidecarFixture mesh = mesh()) {
            mesh.restartSidecar();
            assertEquals(ACKNOWLEDGED, Announcement.SIGN_OFF.send(mesh, "i-1"));
            mesh.restartSidecar();
            mesh.core.awaitKnown("");
            assertEquals(ACKNOWLEDGED, mesh.heartbeat("i-1", "ready").status());
            assertEquals(REFUSED, request(mesh, "t-1", "i-1"));
        }
    }

    @ParameterizedTest
    @EnumSource(Announcement.class)
    void nextProcessAdmitsNewIncarnation(Announcement announcement) throws Exception {
        try (SidecarFixture mesh = mesh()) {
            assertEquals(ACKNOWLEDGED, announcement.send(mesh, "i-1"));
            mesh.restartSidecar();
            mesh.core.awaitKnown("");
            assertEquals(ACKNOWLEDGED, mesh.heartbeat("i-2", "ready").status());
            mesh.heartbeat("i-1", "ready");
            mesh.core.awaitKnown("i-2");
            assertEquals(200, request(mesh, "t-1", "i-2"));
            assertEquals(REFUSED, request(mesh, "t-2", "i-1"));
        }
    }

    @Test
    void nextProcessAdmitsIncarnationThatStays() throws Exception {
        try (SidecarFixture mesh = mesh()) {
            mesh.restartSidecar();
            mesh.heartbeat("i-1", "ready");
            mesh.core.awaitKnown("i-1");
            assertEquals(200, request(mesh, "t-1", "i-1"));
        }
    }

    /** An acknowledgement that the control plane can't record would bind nobody. */
    @ParameterizedTest
    @EnumSource(Announcement.class)
    void withholdsAcknowledgementThatIsNotRecorded(Announcement announcement) throws Exception {
        try (SidecarFixture mesh = mesh()) {
            mesh.core.setConfirming(false);
            assertEquals(REFUSED, announcement.send(mesh, "i-1"));
            mesh.core.setConfirming(true);
            assertEquals(ACKNOWLEDGED, announcement.send(mesh, "i-1"));
        }
    }
}
