package sablehinge.mesh.retrybudget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests claims and grants of shares. */
class RetryBudgetSharesTest {

    private static final RetryBudgetRule RULE = new RetryBudgetRule(0.2, 10_000, 62);
    private static final String ATLAS = "atlas";
    private static final String RELEVE = "releve";

    private final RetryBudgetAllocator allocator = new RetryBudgetAllocator(RULE);
    private int claims;
    private int answers;

    RetryBudgetSharesTest() {
        allocator.begin(1);
        allocator.adopt(0, List.of(ATLAS, RELEVE));
    }

    private Claim claim(long incarnation, long term, String localService, Claim.Line... lines) {
        return new Claim(incarnation, ++claims, term, localService, List.of(lines));
    }

    private int share(double now, long incarnation, int requests, int spent, int share, int wanted) {
        return allocator
                .grant(now, claim(incarnation, 1, RELEVE, new Claim.Line(ATLAS, requests, 0, spent, share, wanted)))
                .lines()
                .get(0)
                .share();
    }

    @Test
    void poolEarnsTokensFromReportedRequestsAndTime() {
        assertEquals(
                0, share(0, 1, 1_000, 0, 0, 9), "requests before the first claim may have been reported elsewhere");
        assertEquals(4, share(0, 1, 1_080, 0, 0, 100), "half of the eight earned; the rest is for other balancers");
        assertEquals(4, share(0, 1, 1_000, 0, 4, 0), "counts never decrease");
        assertEquals(6, share(0, 1, 1_080, 0, 4, 100));
        assertNull(allocator.grant(0, new Claim(1, claims, 1, RELEVE, List.of())), "duplicated claim");
    }

    @Test
    void shareOfSilentBalancerIsNotGrantedAgainAndCountsAsSpentOnExpiry() {
        share(0, 1, 0, 0, 0, 0);
        assertEquals(7, share(0, 1, 10_000, 0, 0, 100), "half of the pool's bound");
        share(0, 2, 0, 0, 0, 0);
        assertEquals(4, share(0, 2, 10_000, 0, 0, 100));
        assertEquals(2, share(500, 3, 0, 0, 0, 100), "requests earn nothing while the granted tokens reach the bound");
        assertEquals(6, share(500, 2, 20_000, 4, 4, 2), "spent tokens make room");
        assertEquals(8, share(1_100, 2, 20_000, 6, 6, 100), "an expired share returns no tokens");
        assertEquals(14, share(1_100, 2, 30_000, 8, 8, 100), "but it makes room in the pool");
    }

    @Test
    void newLeaderGrantsOnlyTokensEarnedInItsTerm() {
        share(0, 1, 0, 0, 0, 0);
        share(0, 1, 10_000, 0, 0, 100);
        allocator.begin(2);
        allocator.adopt(100, List.of(ATLAS, RELEVE));
        assertEquals(0, share(100, 1, 20_000, 5, 12, 100));
        assertEquals(
                5,
                allocator
                        .grant(100, claim(1, 2, RELEVE, new Claim.Line(ATLAS, 20_100, 0, 0, 0, 100)))
                        .lines()
                        .get(0)
                        .share(),
                "counted from the second claim on");
    }

    @Test
    void retryIsGrantedTogetherWithTheCallsOfItsRun() {
        allocator.grant(
                0, claim(1, 1, ATLAS, new Claim.Line(ATLAS, 0, 0, 0, 0, 0), new Claim.Line(RELEVE, 0, 0, 0, 0, 0)));
        Grant grant = allocator.grant(
                0,
                claim(1, 1, ATLAS, new Claim.Line(ATLAS, 500, 0, 0, 0, 100), new Claim.Line(RELEVE, 60, 500, 0, 0, 0)));
        assertEquals(2, grant.lines().get(0).share(), "half of the six tokens of releve, for the calls");
    }

    /** A callback that gets a token may send another claim before the rest of the grant is processed. */
    @Test
    void claimMadeInGrantCallbackReportsTheWholeGrant() {
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, RELEVE);
        shares.adopt(List.of(ATLAS, RELEVE));
        shares.setPosition(0, 100);
        acquire(shares, 0, ATLAS, false);
        shares.onGrant(1, new Grant(shares.nextClaim(0).number(), 1, List.of(new Grant.Line(ATLAS, 0))));
        Claim[] nestedClaim = new Claim[1];
        shares.acquire(20, ATLAS, false, token -> nestedClaim[0] = shares.nextClaim(421));
        acquire(shares, 20, RELEVE, false);
        Claim claim = shares.nextClaim(20);
        shares.onGrant(25, new Grant(claim.number(), 1, List.of(new Grant.Line(ATLAS, 3), new Grant.Line(RELEVE, 1))));
        for (Claim.Line line : nestedClaim[0].lines()) {
            assertEquals(line.service().equals(RELEVE) ? 1 : 2, line.share(), line.service());
        }
        assertEquals(2, nestedClaim[0].lines().size());
    }

    /** Returns 1 for a token, 0 for none, -1 while the retry waits. */
    private int acquire(RetryBudgetShares shares, double now, String service, boolean speculative) {
        int[] result = {-1};
        answers = 0;
        shares.acquire(now, service, speculative, token -> {
            result[0] = token == null ? 0 : 1;
            answers += token == null ? 2 : 1;
        });
        return result[0];
    }

    /** docs/CAPACITY.md requires this number of services. */
    @Test
    void claimCoversSixtySixServices() {
        List<String> services =
                IntStream.range(0, 66).mapToObj(i -> "service-" + i).toList();
        allocator.adopt(0, services);
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, services.get(0));
        shares.adopt(services);
        shares.setPosition(0, 100);
        services.forEach(shares::onRequest);
        services.forEach(service -> acquire(shares, 0, service, false));
        Claim claim = shares.nextClaim(0);
        assertEquals(66, claim.lines().size());
        assertEquals(66, allocator.grant(0, claim).lines().size());
    }

    @Test
    void shareExpiresAtTheBalancerBeforeItExpiresAtTheLeader() {
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, RELEVE);
        shares.adopt(List.of(ATLAS));
        shares.setPosition(0, 100);
        assertEquals(0, acquire(shares, 0, ATLAS, false), "no leader was ever in contact, and no token is reserved");
        Claim first = shares.nextClaim(0);
        assertEquals(1, first.lines().get(0).wanted());
        shares.onGrant(880, new Grant(first.number(), 1, List.of(new Grant.Line(ATLAS, 2))));
        assertEquals(1, acquire(shares, 899, ATLAS, false));
        assertEquals(0, acquire(shares, 899, ATLAS, true), "the last token is not for a speculative attempt");
        assertEquals(0, acquire(shares, 900, RELEVE, false), "no such service");
        assertEquals(-1, acquire(shares, 900, ATLAS, false), "the retry waits for the leader's answer");
        assertEquals(0, shares.nextClaim(901).term());
        shares.onGrant(1_801, new Grant(2, 1, List.of(new Grant.Line(ATLAS, 2))));
        assertEquals(0, answers, "the grant arrives after the share has expired");
        shares.expireWaiting(1_801);
        assertEquals(2, answers, "the callback runs once, without a token");
    }
}
