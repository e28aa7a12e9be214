package sablehinge.mesh.retrybudget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Shares of the pools, step by step. */
class RetryBudgetSharesTest {

    private static final RetryBudgetRule RULE = new RetryBudgetRule(0.2, 10_000, 62);
    private static final String A = "atlas";
    private static final String B = "releve";

    private final RetryBudgetAllocator allocator = new RetryBudgetAllocator(RULE);
    private int claims;
    private int heard;

    RetryBudgetSharesTest() {
        allocator.begin(1);
        allocator.adopt(0, List.of(A, B));
    }

    private Claim claim(long incarnation, long term, String localService, Claim.Line... lines) {
        return new Claim(incarnation, ++claims, term, localService, List.of(lines));
    }

    private int share(double now, long incarnation, int requests, int spent, int share, int wanted) {
        return allocator
                .grant(now, claim(incarnation, 1, B, new Claim.Line(A, requests, 0, spent, share, wanted)))
                .lines()
                .get(0)
                .share();
    }

    @Test
    void aPoolEarnsByRequestsThatAreToldAndByTime() {
        assertEquals(0, share(0, 1, 1_000, 0, 0, 9), "those before the first claim may be told elsewhere");
        assertEquals(4, share(0, 1, 1_080, 0, 0, 100), "half of the eight earned, the rest for others");
        assertEquals(4, share(0, 1, 1_000, 0, 4, 0), "a count never goes back");
        assertEquals(6, share(0, 1, 1_080, 0, 4, 100));
        assertNull(allocator.grant(0, new Claim(1, claims, 1, B, List.of())), "doubled");
    }

    @Test
    void whatIsOutWithOneThatIsSilentIsNotGivenAgainAndIsSpentAtItsEnd() {
        share(0, 1, 0, 0, 0, 0);
        assertEquals(7, share(0, 1, 10_000, 0, 0, 100), "half of what a pool may have");
        share(0, 2, 0, 0, 0, 0);
        assertEquals(4, share(0, 2, 10_000, 0, 0, 100));
        assertEquals(2, share(500, 3, 0, 0, 0, 100), "requests bring nothing while so much is out");
        assertEquals(6, share(500, 2, 20_000, 4, 4, 2), "what was spent makes room");
        assertEquals(8, share(1_100, 2, 20_000, 6, 6, 100), "nothing of a share comes back at its end");
        assertEquals(14, share(1_100, 2, 30_000, 8, 8, 100), "but it makes room");
    }

    @Test
    void whoTakesTheDutyOverGivesOutOnlyWhatIsEarnedSince() {
        share(0, 1, 0, 0, 0, 0);
        share(0, 1, 10_000, 0, 0, 100);
        allocator.begin(2);
        allocator.adopt(100, List.of(A, B));
        assertEquals(0, share(100, 1, 20_000, 5, 12, 100));
        assertEquals(
                5,
                allocator
                        .grant(100, claim(1, 2, B, new Claim.Line(A, 20_100, 0, 0, 0, 100)))
                        .lines()
                        .get(0)
                        .share(),
                "counted from the second claim on");
    }

    @Test
    void aTryIsGivenWithTheCallsThatItsRunWillMake() {
        allocator.grant(0, claim(1, 1, A, new Claim.Line(A, 0, 0, 0, 0, 0), new Claim.Line(B, 0, 0, 0, 0, 0)));
        Grant grant = allocator.grant(
                0, claim(1, 1, A, new Claim.Line(A, 500, 0, 0, 0, 100), new Claim.Line(B, 60, 500, 0, 0, 0)));
        assertEquals(2, grant.lines().get(0).share(), "half of the six of releve, for its calls");
    }

    /** Whoever gets a token may fail at once and claim again while the rest of the answer is unread. */
    @Test
    void aClaimMadeInTheMidstOfAnAnswerTellsOfAllOfIt() {
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, B);
        shares.adopt(List.of(A, B));
        shares.setPosition(0, 100);
        taken(shares, 0, A, false);
        shares.onGrant(1, new Grant(shares.nextClaim(0).number(), 1, List.of(new Grant.Line(A, 0))));
        Claim[] again = new Claim[1];
        shares.acquire(20, A, false, token -> again[0] = shares.nextClaim(421));
        taken(shares, 20, B, false);
        Claim claim = shares.nextClaim(20);
        shares.onGrant(25, new Grant(claim.number(), 1, List.of(new Grant.Line(A, 3), new Grant.Line(B, 1))));
        for (Claim.Line line : again[0].lines()) {
            assertEquals(line.service().equals(B) ? 1 : 2, line.share(), line.service());
        }
        assertEquals(2, again[0].lines().size());
    }

    /** 1 for a token, 0 for none, -1 while it waits. */
    private int taken(RetryBudgetShares shares, double now, String service, boolean spare) {
        int[] reportedRequests = {-1};
        heard = 0;
        shares.acquire(now, service, spare, token -> {
            reportedRequests[0] = token == null ? 0 : 1;
            heard += token == null ? 2 : 1;
        });
        return reportedRequests[0];
    }

    /** So many services are required by docs/CAPACITY.md. */
    @Test
    void furtherTriesOfEachOfSixtySixServicesHaveAShare() {
        List<String> services =
                IntStream.range(0, 66).mapToObj(i -> "service-" + i).toList();
        allocator.adopt(0, services);
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, services.get(0));
        shares.adopt(services);
        shares.setPosition(0, 100);
        services.forEach(shares::onRequest);
        services.forEach(service -> taken(shares, 0, service, false));
        Claim claim = shares.nextClaim(0);
        assertEquals(66, claim.lines().size());
        assertEquals(66, allocator.grant(0, claim).lines().size());
    }

    @Test
    void aShareEndsWithItsOwnerBeforeItEndsWithTheHolder() {
        RetryBudgetShares shares = new RetryBudgetShares(RULE, 7, B);
        shares.adopt(List.of(A));
        shares.setPosition(0, 100);
        assertEquals(0, taken(shares, 0, A, false), "no holder was ever in touch, and none is reserved");
        Claim first = shares.nextClaim(0);
        assertEquals(1, first.lines().get(0).wanted());
        shares.onGrant(880, new Grant(first.number(), 1, List.of(new Grant.Line(A, 2))));
        assertEquals(1, taken(shares, 899, A, false));
        assertEquals(0, taken(shares, 899, A, true), "the last is not for a second copy");
        assertEquals(0, taken(shares, 900, B, false), "no such service");
        assertEquals(-1, taken(shares, 900, A, false), "it waits for what the holder says");
        assertEquals(0, shares.nextClaim(901).term());
        shares.onGrant(1_801, new Grant(2, 1, List.of(new Grant.Line(A, 2))));
        assertEquals(0, heard, "an answer that comes after its end");
        shares.expireWaiting(1_801);
        assertEquals(2, heard, "told once, of nothing");
    }
}
