package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a real sidecar handles updates of the control plane and heartbeats of its upstream. */
@Timeout(60)
class WatchClientTest {

    /** The minimum time for which a request with a timeout of 12 s and an unknown route or key waits for an update. */
    private static final long MIN_HOLD_MS = 340;

    private static final String TENANT = "{\"name\":\"hule930\",\"passes\":[\"%s\"]}";
    private static final String KEY = "Sablehinge-Key: k-2\r\n";

    private static String echo(PlainConnection.Message request) {
        return SidecarFixture.ok(request.id(), request.body());
    }

    @Test
    void isNotReadyAndAnswersNotRunWithoutConfiguration() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().respond(WatchClientTest::echo)) {
            assertEquals(503, mesh.ready());
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.get("/s/x", "t-1"));
            assertEquals(503, answer.status());
            assertNotNull(answer.header("Retry-After"));
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            mesh.heartbeat("i-1", "ready");
            mesh.core.awaitKnown("i-1");
            assertEquals(200, mesh.ready());
            assertEquals(
                    200,
                    mesh.client().request(SidecarFixture.get("/s/x", "t-2")).status());
        }
    }

    @Test
    void rejectsCorruptConfigurationAndRequestsItAgain() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(WatchClientTest::echo)) {
            byte[] torn =
                    StubCore.packed(SidecarFixture.configuration(9, "", "").replace("\"/s/\"", "\"/moved/\""));
            torn[torn.length - 1]++;
            int connections = mesh.core.connections();
            mesh.core.setPackedConfiguration(torn, 9);
            SidecarFixture.await("the sidecar reconnects", () -> mesh.core.connections() > connections);
            assertEquals(
                    200,
                    mesh.client().request(SidecarFixture.get("/s/x", "t-1")).status());
            torn[torn.length - 1]--;
            mesh.core.setPackedConfiguration(torn, 9);
            mesh.core.awaitKnown("i-1");
            assertEquals(
                    200,
                    mesh.client().request(SidecarFixture.get("/moved/x", "t-2")).status());
        }
    }

    @Test
    void isNotReadyUntilConfigurationIsConfirmed() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture(false)) {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            SidecarFixture.await("the sidecar requests a confirmation", () -> mesh.core.confirmationsRequested() > 0);
            assertEquals(503, mesh.ready());
            mesh.core.setConfirming(true);
            mesh.core.awaitKnown("");
            assertEquals(200, mesh.ready());
        }
    }

    /**
     * Repeated with a new route or key each time, as an attempt that took longer than the sidecar waits proves nothing.
     */
    private static void assertHeldUntilUpdate(
            SidecarFixture mesh, IntFunction<String> configuration, IntFunction<String> request) throws Exception {
        PlainConnection.Message answer = null;
        long took = MIN_HOLD_MS;
        for (int i = 9; (answer == null || answer.status() != 200) && took >= MIN_HOLD_MS && i < 30; i++) {
            mesh.core.setConfigurationOnConfirmation(configuration.apply(i), i);
            long begun = System.nanoTime();
            answer = mesh.client().request(request.apply(i));
            took = (System.nanoTime() - begun) / 1_000_000;
        }
        assertEquals(200, answer.status());
    }

    @Test
    void holdsRequestUntilItsNewRouteArrives() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(WatchClientTest::echo)) {
            assertHeldUntilUpdate(
                    mesh,
                    i -> SidecarFixture.configuration(
                            i, "", "," + SidecarFixture.route("r-new", "safe", "/n" + i + "/", false)),
                    i -> SidecarFixture.get("/n" + i + "/x", "t-" + i));
        }
    }

    @Test
    void holdsRequestUntilItsNewKeyArrives() throws Exception {
        try (SidecarFixture mesh =
                SidecarFixture.withUpstream(TENANT.formatted("k-1")).respond(WatchClientTest::echo)) {
            assertHeldUntilUpdate(
                    mesh,
                    i -> SidecarFixture.configuration(i, TENANT.formatted("k-" + i), ""),
                    i -> SidecarFixture.get("/s/x", "t-" + i, "Sablehinge-Key: k-" + i + "\r\n"));
            assertEquals(
                    401,
                    mesh.client()
                            .request(SidecarFixture.get("/s/x", "t-2", KEY.replace("k-2", "k-1")))
                            .status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/none/x", "/s/x"})
    void rejectsUnknownRouteOrKeyOnceConfigurationIsConfirmed(String path) throws Exception {
        try (SidecarFixture mesh =
                SidecarFixture.withUpstream(TENANT.formatted("k-1")).respond(WatchClientTest::echo)) {
            int requested = mesh.core.confirmationsRequested();
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.get(path, "t-1", KEY));
            assertEquals(path.equals("/s/x") ? 401 : 404, answer.status());
            assertTrue(mesh.core.confirmationsRequested() > requested);
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** The route or key may be too new for this sidecar: the request has not run and may be retried. */
    @ParameterizedTest
    @ValueSource(strings = {"/none/x", "/s/x"})
    void answersNotRunIfConfigurationIsNotConfirmedInTime(String path) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream(TENANT.formatted("k-1"))) {
            mesh.core.setConfirming(false);
            long begun = System.nanoTime();
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.get(path, "t-1", KEY));
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
            assertTrue(System.nanoTime() - begun >= MIN_HOLD_MS * 1_000_000);
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    @Test
    void appliesRouteRemovalToNextRequest() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(WatchClientTest::echo)) {
            PlainConnection client = mesh.client();
            assertEquals(200, client.request(SidecarFixture.get("/s/x", "t-1")).status());
            mesh.core.setConfiguration(SidecarFixture.configuration(9, "", "").replace("\"/s/\"", "\"/moved/\""), 9);
            mesh.core.awaitKnown("i-1");
            assertEquals(404, client.request(SidecarFixture.get("/s/x", "t-2")).status());
            assertEquals(
                    200, client.request(SidecarFixture.get("/moved/x", "t-3")).status());
        }
    }

    // ---- Local upstream -------------------------------------------------------------------------

    @Test
    void acknowledgesHeartbeatAndReportsItToControlPlane() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection.Message answer = mesh.heartbeat("i-1", "ready");
            assertEquals(200, answer.status());
            assertTrue(answer.body().length() <= 4_096);
            assertEquals("application/json", answer.header("Content-Type"));
            assertEquals(SidecarFixture.SERVICE, mesh.core.lastRegistration().service());
            assertEquals(4, mesh.core.lastRegistration().berths());
            assertTrue(mesh.core.lastRegistration().ready());
            assertEquals(400, mesh.heartbeat("i-1", "asleep").status());
            assertEquals(
                    400,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.Heartbeat/i-1", "{")
                            .status());
        }
    }

    @Test
    void sendsNothingToUpstreamAfterUnloadPeriod() throws Exception {
        AtomicLong latest = new AtomicLong();
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(request -> {
            latest.set(System.nanoTime());
            return echo(request);
        })) {
            PlainConnection balancer = mesh.connectAsPeer();
            assertEquals(
                    200,
                    balancer.request(SidecarFixture.peerRequest("t-0", "i-1")).status());
            assertEquals(200, mesh.heartbeat("i-1", "unloading").status());
            long acknowledged = System.nanoTime();
            int sent = 0;
            PlainConnection.Message answer = balancer.request(SidecarFixture.peerRequest("t-1", "i-1"));
            while (answer.status() == 200) {
                sent++;
                answer = balancer.request(SidecarFixture.peerRequest("t-" + sent, "i-1"));
            }
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.header("Sablehinge-Verdict"));
            int before = mesh.arrived.size();
            mesh.heartbeat("i-1", "unloading");
            mesh.heartbeat("i-1", "ready");
            assertEquals(
                    "not-run",
                    balancer.request(SidecarFixture.peerRequest("u-1", "i-1")).header("Sablehinge-Verdict"));
            assertEquals(before, mesh.arrived.size());
            long later = (latest.get() - acknowledged) / 1_000_000;
            assertTrue(later < SidecarFixture.UNLOAD_MS, "the last request arrived " + later + " ms later");
            assertFalse(mesh.core.lastRegistration().ready());
            assertEquals(200, mesh.heartbeat("i-2", "ready").status());
            assertEquals(
                    200,
                    balancer.request(SidecarFixture.peerRequest("u-2", "i-2")).status());
        }
    }

    @Test
    void sendsNothingToUpstreamAfterSignOff() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(WatchClientTest::echo)) {
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-0", "{}")
                            .status());
            assertEquals(
                    200,
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .status());
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-1", "{}")
                            .status());
            PlainConnection.Message answer = mesh.connectAsPeer().request(SidecarFixture.peerRequest("t-2", "i-1"));
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.header("Sablehinge-Verdict"));
            assertEquals(List.of("t-1"), mesh.arrivedIds());
        }
    }

    @Test
    void rejectsRequestsForOtherOrMissingIncarnation() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream().respond(WatchClientTest::echo)) {
            PlainConnection.Message answer = mesh.connectAsPeer().request(SidecarFixture.peerRequest("t-1", "i-0"));
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.header("Sablehinge-Verdict"));
            answer = mesh.connectAsPeer().request(SidecarFixture.get("/u/x", "t-2"));
            assertEquals(400, answer.status());
            assertEquals("not-run", answer.header("Sablehinge-Verdict"));
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    @Test
    void ignoresVerdictHeaderOfUpstream() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()
                .respond(request -> "HTTP/1.1 500 Own\r\nSablehinge-Try-Id: t-1\r\n"
                        + "Sablehinge-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")) {
            assertEquals(
                    "ran",
                    mesh.connectAsPeer()
                            .request(SidecarFixture.peerRequest("t-1", "i-1"))
                            .header("Sablehinge-Verdict"));
            PlainConnection.Message answer = mesh.client().request(SidecarFixture.post("/u/x", "t-1", "1"));
            assertEquals(500, answer.status());
            assertNull(answer.header("Sablehinge-Verdict"));
        }
    }
}
