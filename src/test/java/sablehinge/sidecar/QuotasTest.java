package sablehinge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.config.local.LocalSettings;
import sablehinge.quota.Quota;
import sablehinge.routing.Configuration;

/** Among how many a tenant's quota is divided, whoever leads or is cut off; the time is the test's. */
class QuotasTest {

    private static final int BALANCERS = 40;
    private final Quotas quotas = new Quotas(new LocalSettings.Bounds(3, 2, 3_000, 5_000, 4, 2_500, 6, 200,
            2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0.1, 20, 15), (tenant, count) -> { });

    QuotasTest() {
        quotas.adopt(0, List.of(new Configuration.Tenant("t", List.of("k"), 0, 100, 100)));
        quotas.divide(0, 3, true, BALANCERS);
    }

    private double among() {
        return Math.rint(100 * Quota.EVEN / quotas.part("t").perSecond());
    }

    @Test
    void itIsDividedAmongAsManyAsTheLeaderTells() {
        assertEquals(BALANCERS, among());
        quotas.divide(1, 3, true, BALANCERS - 1);
        assertEquals(BALANCERS - 1, among(), "one has left");
        quotas.divide(2, 3, true, BALANCERS + 5);
        assertEquals(BALANCERS + 5, among());
    }

    /** The new leader hears only those on its side; the others go on with what they have. */
    @Test
    void aNewLeaderThatHearsFewerBringsNobodyAGreaterPartForAWhile() {
        quotas.divide(100, 4, false, 3);
        assertEquals(BALANCERS, among());
        quotas.divide(2_700, 4, true, BALANCERS / 2);
        assertEquals(BALANCERS, among());
        quotas.divide(3_000, 5, false, 1);
        quotas.divide(6_000, 5, true, BALANCERS / 4);
        assertEquals(BALANCERS, among(), "nor another leader soon after");
        quotas.divide(3_000 + Quotas.HELD_MS - 1, 5, true, BALANCERS / 4);
        assertEquals(BALANCERS, among());
        quotas.divide(3_000 + Quotas.HELD_MS, 5, true, BALANCERS / 4);
        assertEquals(BALANCERS / 4, among());
    }

    @Test
    void whoHasJustStartedReckonsWithSixteenUntilTheRollIsComplete() {
        Quotas fresh = new Quotas(new LocalSettings.Bounds(3, 2, 3_000, 5_000, 4, 2_500, 6, 200, 2_500, 250,
                8_000, false, 5_000, 0.2, 10, 62, 5, 0.1, 20, 15), (tenant, count) -> { });
        fresh.adopt(0, List.of(new Configuration.Tenant("t", List.of("k"), 0, 100, 100)));
        fresh.divide(0, 3, false, 2);
        assertEquals(100 * Quota.EVEN / 16, fresh.part("t").perSecond());
        fresh.divide(10, 3, true, 11);
        assertEquals(100 * Quota.EVEN / 11, fresh.part("t").perSecond());
    }
}
