package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.watch.Registration;

/** A sidecar's even part of a quota across leader changes; no pool responds. */
@Timeout(60)
class QuotasTest {

    private static final int SIDECARS = 60;
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

    /** The other sidecars may have spent the whole burst before they restarted. */
    @Test
    void startsWithHalfOfItsPartOfTheBurst() throws Exception {
        int balancers = 10;
        try (SidecarFixture mesh = new SidecarFixture(false).respond(request -> SidecarFixture.ok(request.id(), ""))) {
            for (int i = 2; i <= balancers; i++) {
                mesh.core.register(
                        new Registration("s-" + i, "monza-a", "127.0.0.1:" + i, "other", "o-" + i, true, 4, 0));
            }
            mesh.core.setConfiguration(
                    SidecarFixture.configuration(
                            4, "{\"name\":\"t\",\"passes\":[\"k\"],\"perS\":0.01," + "\"burst\":400}", ""),
                    4);
            mesh.heartbeat("i-1", "ready");
            SidecarFixture.await("the sidecar requests a confirmation", () -> mesh.core.confirmationsRequested() > 0);
            mesh.core.setConfirming(true);
            mesh.core.awaitKnown("i-1");
            PlainConnection client = mesh.client();
            int served = 0;
            while (client.request(SidecarFixture.get("/s/x", "t-" + served, "Sablehinge-Key: k\r\n"))
                            .status()
                    == 200) {
                served++;
            }
            assertEquals(400 * 0.6 / balancers / 2, served);
        }
    }

    /** A new leader knows a single sidecar, while all others still use their parts. */
    @Test
    void keepsPartWhenNewLeaderKnowsFewSidecars() {
        quotas.divide(0, SIDECARS, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int stableGrants = granted(5_000, 2_000);
        quotas.divide(7_000, 1, false);
        quotas.divide(7_010, 3, false);
        assertEquals(stableGrants, granted(7_010, 2_000), 1);
        assertTrue(stableGrants <= 2.0 * PER_SECOND / SIDECARS, "granted " + stableGrants);
    }

    /** RULES, QUOTA: quotas are counted across all machines, including partitioned ones. */
    @Test
    void keepsPartForHoldTimeWhenNewLeaderKnowsHalfOfTheSidecars() {
        quotas.divide(0, SIDECARS, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int stableGrants = granted(5_000, 2_000);
        quotas.divide(7_000, 1, false);
        quotas.divide(9_500, SIDECARS / 2, true);
        assertEquals(stableGrants, granted(9_500, 2_000), 1);
        quotas.divide(12_000, 1, false);
        quotas.divide(14_500, SIDECARS / 2, true);
        assertEquals(stableGrants, granted(14_500, 2_000), 1, "a second leader change soon after must not increase it");
        quotas.divide(12_000 + Quotas.LEADER_CHANGE_HOLD_MS, SIDECARS / 2, true);
        assertEquals(2 * stableGrants, granted(12_000 + Quotas.LEADER_CHANGE_HOLD_MS, 2_000), 2);
    }

    @Test
    void dividesByCompleteRegistryWhetherLargerOrSmaller() {
        quotas.divide(0, SIDECARS, true);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        int stableGrants = granted(5_000, 2_000);
        quotas.divide(7_000, SIDECARS / 2, true);
        assertEquals(2 * stableGrants, granted(7_000, 2_000), 2);
        quotas.divide(9_000, SIDECARS, false);
        assertEquals(stableGrants, granted(9_000, 2_000), 1);
    }

    /** Without a complete registry, sixteen sidecars are assumed. */
    @Test
    void grantsAtMostASixteenthBeforeRegistryIsComplete() {
        quotas.divide(0, 1, false);
        quotas.adopt(0, List.of(TENANT));
        granted(0, 5_000);
        assertTrue(granted(5_000, 2_000) <= 2.0 * PER_SECOND / 16);
    }
}
