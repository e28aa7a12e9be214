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

/** What a real balancer makes of the core's updates and of its upstream's heartbeats. */
@Timeout(60)
class WatchClientTest {

    /** For how long a request of 12 s with an unknown route or key waits for an update, at least. */
    private static final long WAITS_MS = 340;

    private static final String TENANT = "{\"name\":\"hule930\",\"passes\":[\"%s\"]}";
    private static final String KEY = "Sablehinge-Key: k-2\r\n";

    private static String echo(PlainConnection.Message request) {
        return SidecarFixture.ok(request.id(), request.body());
    }

    @Test
    void aBalancerWithoutAConfigurationIsNotReadyAndPromisesThatNothingRuns() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture().answers(WatchClientTest::echo)) {
            assertEquals(503, mesh.ready());
            PlainConnection.Message answer = mesh.client().ask(SidecarFixture.get("/s/x", "t-1"));
            assertEquals(503, answer.status());
            assertNotNull(answer.one("Retry-After"));
            mesh.core.holds(SidecarFixture.configuration(4, "", ""), 4);
            mesh.heartbeat("i-1", "ready");
            mesh.core.awaitKnown("i-1");
            assertEquals(200, mesh.ready());
            assertEquals(
                    200, mesh.client().ask(SidecarFixture.get("/s/x", "t-2")).status());
        }
    }

    @Test
    void aConfigurationThatIsTornOnItsWayIsNotTakenAndIsAskedForAgain() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(WatchClientTest::echo)) {
            byte[] torn =
                    StubCore.packed(SidecarFixture.configuration(9, "", "").replace("\"/s/\"", "\"/moved/\""));
            torn[torn.length - 1]++;
            int connections = mesh.core.connections();
            mesh.core.holdsAsItTravels(torn, 9);
            SidecarFixture.await("it asks on a new connection", () -> mesh.core.connections() > connections);
            assertEquals(
                    200, mesh.client().ask(SidecarFixture.get("/s/x", "t-1")).status());
            torn[torn.length - 1]--;
            mesh.core.holdsAsItTravels(torn, 9);
            mesh.core.awaitKnown("i-1");
            assertEquals(
                    200,
                    mesh.client().ask(SidecarFixture.get("/moved/x", "t-2")).status());
        }
    }

    @Test
    void whatIsNotConfirmedToBeTheNewestMakesNobodyReady() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture(false)) {
            mesh.core.holds(SidecarFixture.configuration(4, "", ""), 4);
            SidecarFixture.await("it asks", () -> mesh.core.confirmationsRequested() > 0);
            assertEquals(503, mesh.ready());
            mesh.core.confirms(true);
            mesh.core.awaitKnown("");
            assertEquals(200, mesh.ready());
        }
    }

    /** Each time with another route or key; one that took longer than the balancer waits tells nothing. */
    private static void waitsForUpdate(
            SidecarFixture mesh, IntFunction<String> configuration, IntFunction<String> request) throws Exception {
        PlainConnection.Message answer = null;
        long took = WAITS_MS;
        for (int i = 9; (answer == null || answer.status() != 200) && took >= WAITS_MS && i < 30; i++) {
            mesh.core.holdsUntilRequested(configuration.apply(i), i);
            long begun = System.nanoTime();
            answer = mesh.client().ask(request.apply(i));
            took = (System.nanoTime() - begun) / 1_000_000;
        }
        assertEquals(200, answer.status());
    }

    @Test
    void aRouteThatIsNewerThanTheBalancersVersionIsWaitedFor() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(WatchClientTest::echo)) {
            waitsForUpdate(
                    mesh,
                    i -> SidecarFixture.configuration(
                            i, "", "," + SidecarFixture.route("r-new", "safe", "/n" + i + "/", false)),
                    i -> SidecarFixture.get("/n" + i + "/x", "t-" + i));
        }
    }

    @Test
    void aKeyThatIsNewerThanTheBalancersVersionIsWaitedFor() throws Exception {
        try (SidecarFixture mesh =
                SidecarFixture.served(TENANT.formatted("k-1")).answers(WatchClientTest::echo)) {
            waitsForUpdate(
                    mesh,
                    i -> SidecarFixture.configuration(i, TENANT.formatted("k-" + i), ""),
                    i -> SidecarFixture.get("/s/x", "t-" + i, "Sablehinge-Key: k-" + i + "\r\n"));
            assertEquals(
                    401,
                    mesh.client()
                            .ask(SidecarFixture.get("/s/x", "t-2", KEY.replace("k-2", "k-1")))
                            .status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/none/x", "/s/x"})
    void whatIsConfirmedToBeUnknownIsTurnedAwayAndOfNobodyAsked(String path) throws Exception {
        try (SidecarFixture mesh =
                SidecarFixture.served(TENANT.formatted("k-1")).answers(WatchClientTest::echo)) {
            int requested = mesh.core.confirmationsRequested();
            PlainConnection.Message answer = mesh.client().ask(SidecarFixture.get(path, "t-1", KEY));
            assertEquals(path.equals("/s/x") ? 401 : 404, answer.status());
            assertTrue(mesh.core.confirmationsRequested() > requested);
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    /** It may be one that this balancer has not heard of: it has not run, and may be tried again. */
    @ParameterizedTest
    @ValueSource(strings = {"/none/x", "/s/x"})
    void whereNobodyConfirmsItWhatIsUnknownIsRefusedOnceItsPatienceIsOver(String path) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served(TENANT.formatted("k-1"))) {
            mesh.core.confirms(false);
            long begun = System.nanoTime();
            PlainConnection.Message answer = mesh.client().ask(SidecarFixture.get(path, "t-1", KEY));
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.one("Retry-After")) > 0);
            assertTrue(System.nanoTime() - begun >= WAITS_MS * 1_000_000);
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    @Test
    void aVersionThatDropsARouteIsInForceForTheNextRequest() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(WatchClientTest::echo)) {
            PlainConnection client = mesh.client();
            assertEquals(200, client.ask(SidecarFixture.get("/s/x", "t-1")).status());
            mesh.core.holds(SidecarFixture.configuration(9, "", "").replace("\"/s/\"", "\"/moved/\""), 9);
            mesh.core.awaitKnown("i-1");
            assertEquals(404, client.ask(SidecarFixture.get("/s/x", "t-2")).status());
            assertEquals(200, client.ask(SidecarFixture.get("/moved/x", "t-3")).status());
        }
    }

    // ---- The upstream beside -------------------------------------------------------------------------

    @Test
    void aBeatIsAcknowledgedShortlyAndToldToTheCore() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served()) {
            PlainConnection.Message answer = mesh.heartbeat("i-1", "ready");
            assertEquals(200, answer.status());
            assertTrue(answer.body().length() <= 4_096);
            assertEquals("application/json", answer.one("Content-Type"));
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
    void afterItsLeaveWasAcknowledgedAnUpstreamIsSentNothingLaterThanItsTime() throws Exception {
        AtomicLong latest = new AtomicLong();
        try (SidecarFixture mesh = SidecarFixture.served().answers(request -> {
            latest.set(System.nanoTime());
            return echo(request);
        })) {
            PlainConnection balancer = mesh.balancer();
            assertEquals(200, balancer.ask(SidecarFixture.meant("t-0", "i-1")).status());
            assertEquals(200, mesh.heartbeat("i-1", "unloading").status());
            long acknowledged = System.nanoTime();
            int sent = 0;
            PlainConnection.Message answer = balancer.ask(SidecarFixture.meant("t-1", "i-1"));
            while (answer.status() == 200) {
                sent++;
                answer = balancer.ask(SidecarFixture.meant("t-" + sent, "i-1"));
            }
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.one("Sablehinge-Verdict"));
            int before = mesh.arrived.size();
            mesh.heartbeat("i-1", "unloading");
            mesh.heartbeat("i-1", "ready");
            assertEquals(
                    "not-run", balancer.ask(SidecarFixture.meant("u-1", "i-1")).one("Sablehinge-Verdict"));
            assertEquals(before, mesh.arrived.size());
            long later = (latest.get() - acknowledged) / 1_000_000;
            assertTrue(later < SidecarFixture.UNLOAD_MS, "the last one came " + later + " ms later");
            assertFalse(mesh.core.lastRegistration().ready());
            assertEquals(200, mesh.heartbeat("i-2", "ready").status());
            assertEquals(200, balancer.ask(SidecarFixture.meant("u-2", "i-2")).status());
        }
    }

    @Test
    void whoSignsOffIsSentNothingMore() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(WatchClientTest::echo)) {
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-0", "{}")
                            .status());
            assertEquals(
                    200, mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).status());
            assertEquals(
                    200,
                    mesh.call(mesh.at.control(), "POST", "/sablehinge/Servers.SignOff/i-1", "{}")
                            .status());
            PlainConnection.Message answer = mesh.balancer().ask(SidecarFixture.meant("t-2", "i-1"));
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.one("Sablehinge-Verdict"));
            assertEquals(List.of("t-1"), mesh.arrivedIds());
        }
    }

    @Test
    void whatIsMeantForAnotherLifeOrForNobodyDoesNotReachTheUpstream() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served().answers(WatchClientTest::echo)) {
            PlainConnection.Message answer = mesh.balancer().ask(SidecarFixture.meant("t-1", "i-0"));
            assertEquals(503, answer.status());
            assertEquals("not-run", answer.one("Sablehinge-Verdict"));
            answer = mesh.balancer().ask(SidecarFixture.get("/u/x", "t-2"));
            assertEquals(400, answer.status());
            assertEquals("not-run", answer.one("Sablehinge-Verdict"));
            assertEquals(List.of(), mesh.arrivedIds());
        }
    }

    @Test
    void theUpstreamsOwnVerdictIsNotBelieved() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.served()
                .answers(request -> "HTTP/1.1 500 Own\r\nSablehinge-Try-Id: t-1\r\n"
                        + "Sablehinge-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")) {
            assertEquals(
                    "ran",
                    mesh.balancer().ask(SidecarFixture.meant("t-1", "i-1")).one("Sablehinge-Verdict"));
            PlainConnection.Message answer = mesh.client().ask(SidecarFixture.post("/u/x", "t-1", "1"));
            assertEquals(500, answer.status());
            assertNull(answer.one("Sablehinge-Verdict"));
        }
    }
}
