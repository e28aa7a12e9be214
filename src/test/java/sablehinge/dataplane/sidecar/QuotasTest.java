package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Registration;

/** A balancer's even part of a quota, over changes of the leader; no pool answers. */
@Timeout(60)
class QuotasTest {

    private static final int FLEET = 60;
    private static final int PER_SECOND = 600;
    private static final Configuration.Tenant TENANT = new Configuration.Tenant("t", List.of("k"), -1, PER_SECOND, 60);
    private static final LocalSettings.Bounds BOUNDS = new LocalSettings.Bounds(
            3, 2, 5_000, 6_000, 6, 3_000, 6, 200, 3_000, 250, 10_000, false, 5_000, 0.2, 10, 166, 5, 0, 0, 15);
    private final Quotas quotas = new Quotas(BOUNDS, (tenant, count) -> {});

    private int granted(double from, double ms) {
        int granted = 0;
        for (double now = from; now < from + ms; now++) {
            granted += quotas.claim(now, TENANT) == Quotas.Claim.GRANTED ? 1 : 0;
        }
        return granted;
    }

    /** All other balancers may have spent all of the burst before their processes began anew. */
    @Test
    void aProcessThatBeginsHasHalfOfItsPartOfTheBurst() throws Exception {
        int balancers = 10;
        try (SidecarFixture mesh = new SidecarFixture(false).answers(request -> SidecarFixture.ok(request.id(), ""))) {
            for (int i = 2; i <= balancers; i++) {
                mesh.core.tells(new Registration("s-" + i, "monza-a", "127.0.0.1:" + i, "other", "o-" + i, true, 4, 0));
            }
            mesh.core.holds(
                    SidecarFixture.configuration(
                            4, "{\"name\":\"t\",\"passes\":[\"k\"],\"perS\":0.01," + "\"burst\":400}", ""),
                    4);
            mesh.heartbeat("i-1", "ready");
            SidecarFixture.await("it asks", () -> mesh.core.confirmationsRequested() > 0);
            mesh.core.confirms(true);
            mesh.core.awaitKnown("i-1");
            PlainConnection client = mesh.client();
            int served = 0;
            while (client.ask(SidecarFixture.get("/s/x", "t-" + served, "Sablehinge-Key: k\r\n"))
                            .status()
                    == 200) {
                served++;
            }
            assertEquals(400 * 0.6 / balancers / 2, served);
        }
    }

    /** A leader that has just begun has heard of one balancer, and all others still hold their parts. */
    @Test
    void aNewLeaderThatHasHeardOfFewGivesNobodyAGreaterPart() {
        quotas.divide(0, FLEET, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int calm = granted(5_000, 2_000);
        quotas.divide(7_000, 1, false);
        quotas.divide(7_010, 3, false);
        assertEquals(calm, granted(7_010, 2_000), 1);
        assertTrue(calm <= 2.0 * PER_SECOND / FLEET, "granted " + calm);
    }

    /** RULES, QUOTA: counted across all machines, whether in touch or not. */
    @Test
    void aNewLeaderThatNeverHearsHalfOfThemGivesTheRestNoGreaterPartForAWhile() {
        quotas.divide(0, FLEET, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int calm = granted(5_000, 2_000);
        quotas.divide(7_000, 1, false);
        quotas.divide(9_500, FLEET / 2, true);
        assertEquals(calm, granted(9_500, 2_000), 1);
        quotas.divide(12_000, 1, false);
        quotas.divide(14_500, FLEET / 2, true);
        assertEquals(calm, granted(14_500, 2_000), 1, "nor does another leader soon after");
        quotas.divide(12_000 + Quotas.HELD_MS, FLEET / 2, true);
        assertEquals(2 * calm, granted(12_000 + Quotas.HELD_MS, 2_000), 2);
    }

    @Test
    void aCompleteRosterCountsWhetherItHasMoreOrFewer() {
        quotas.divide(0, FLEET, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int calm = granted(5_000, 2_000);
        quotas.divide(7_000, FLEET / 2, true);
        assertEquals(2 * calm, granted(7_000, 2_000), 2);
        quotas.divide(9_000, FLEET, false);
        assertEquals(calm, granted(9_000, 2_000), 1);
    }

    /** It can't know how many there are, and reckons with sixteen. */
    @Test
    void oneThatHasJustStartedTakesNoMoreThanASixteenthBeforeARosterIsComplete() {
        quotas.divide(0, 1, false);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        assertTrue(granted(5_000, 2_000) <= 2.0 * PER_SECOND / 16);
    }
}
