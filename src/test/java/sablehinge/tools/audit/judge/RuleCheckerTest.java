package sablehinge.tools.audit.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Breach.Rule;
import sablehinge.tools.audit.judge.Evidence.BalancerNote;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.ColdOverload;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.PartyEnded;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.Evidence.ServerStateUpdate;

class RuleCheckerTest {

    private static final AuditRules TERMS = new AuditRules(
            Map.of(
                    "safe",
                    new ClassTerms(Effect.SAFE, Group.ALL, 0),
                    "keyed",
                    new ClassTerms(Effect.KEYED, Group.CELL, 4_000),
                    "open",
                    new ClassTerms(Effect.KEYED, Group.ALL, 4_000),
                    "zoned",
                    new ClassTerms(Effect.KEYED, Group.ZONE, 4_000),
                    "unsafe",
                    new ClassTerms(Effect.UNSAFE, Group.ALL, 0)),
            70,
            2_050,
            100,
            10_000,
            true,
            true);

    private final List<Breach> breaches = new ArrayList<>();
    private final RuleChecker judge = new RuleChecker(TERMS, breaches::add);

    private static ClientAttempt tried(String type, double sent, double answered, End end, int status) {
        return new ClientAttempt(
                Double.isNaN(answered) ? sent + 1_150 : answered,
                "c",
                "b1",
                "q1",
                "q1",
                type,
                "",
                sent,
                sent + 1_000,
                answered,
                end,
                status,
                status == 200 ? Echo.SAME : Echo.UNKNOWN);
    }

    private static ServerAttempt ran(int server, double begun, double ended, How how) {
        return new ServerAttempt(
                ended, "s" + server, "z" + server % 2, server / 2, "b1", "q1", "", "", "", begun, begun, how);
    }

    /** The rules that are broken, in the order of finding. */
    private List<Rule> rules(Evidence... evidence) {
        List.of(evidence).forEach(judge::take);
        judge.end();
        return breaches.stream().map(Breach::rule).toList();
    }

    @Test
    void aRequestThatIsServedOnceInTimeIsWell() {
        assertEquals(List.of(), rules(ran(1, 5, 20, How.SERVED), tried("unsafe", 0, 30, End.ANSWERED, 200)));
        assertEquals(1, judge.requests());
        assertEquals(0, judge.unexplained());
    }

    @Test
    void noAnswerIsABreachUnlessTheBalancerEnded() {
        assertEquals(List.of(Rule.ANSWER), rules(tried("safe", 0, Double.NaN, End.SILENT, 0)));
        breaches.clear();
        assertEquals(List.of(), rules(new PartyEnded(500, "b1"), tried("safe", 0, Double.NaN, End.SILENT, 0)));
        RuleChecker other = new RuleChecker(TERMS, breaches::add);
        other.take(tried("safe", 0, Double.NaN, End.SILENT, 0));
        other.take(new PartyEnded(1_151, "b1"));
        other.end();
        assertEquals(1, breaches.size(), "an end that came later excuses nothing");
    }

    @Test
    void anEndedConnectionIsABreachUnlessTheAnswerHadBegun() {
        assertEquals(List.of(Rule.ANSWER), rules(tried("safe", 0, Double.NaN, End.BROKEN, 0)));
        breaches.clear();
        assertEquals(List.of(), rules(tried("safe", 0, Double.NaN, End.PARTIAL, 0)));
        assertEquals(List.of(), rules(tried("safe", Double.NaN, Double.NaN, End.UNREACHABLE, 0)));
        assertEquals(List.of(), rules(tried("safe", 0, Double.NaN, End.LEFT, 0)));
    }

    @Test
    void anAnswerAfterTheGraceIsLate() {
        assertEquals(List.of(), rules(tried("safe", 0, 1_070, End.ANSWERED, 502)));
        assertEquals(List.of(Rule.ANSWER), rules(tried("safe", 0, 1_071, End.ANSWERED, 502)));
        assertTrue(breaches.get(0).what().contains("71 ms after its time was up"));
    }

    @Test
    void twoAnswersAndAnAnswerOfAnotherRequestAreBreaches() {
        assertEquals(
                List.of(Rule.ANSWER),
                rules(
                        ran(1, 5, 20, How.SERVED),
                        tried("safe", 0, 30, End.ANSWERED, 200),
                        new DuplicateAnswer(35, "c", "b1", "q1")));
        breaches.clear();
        ClientAttempt other =
                new ClientAttempt(30, "c", "b1", "q2", "q2", "safe", "", 0, 1_000, 30, End.ANSWERED, 200, Echo.OTHER);
        assertEquals(List.of(Rule.ANSWER), rules(other));
        assertEquals("q2", breaches.get(0).txn());
    }

    @Test
    void aSendAfterTheAnswerIsABreach() {
        assertEquals(List.of(), rules(ran(1, 129, 140, How.SERVED), tried("safe", 0, 30, End.ANSWERED, 200)));
        assertEquals(
                List.of(Rule.ANSWER), rules(ran(1, 131, 140, How.SERVED), tried("safe", 0, 30, End.ANSWERED, 200)));
    }

    @Test
    void anUnsafeRequestMayGoOnOnlyAfterProofThatItNeverRan() {
        for (How proof : List.of(How.TURNED_AWAY, How.CUT)) {
            assertEquals(
                    List.of(),
                    rules(ran(1, 5, 10, proof), ran(2, 11, 20, How.SERVED), tried("unsafe", 0, 30, End.ANSWERED, 200)),
                    proof.toString());
        }
        for (How doubt : List.of(How.ERROR, How.RESET, How.CANCELLED, How.SERVED)) {
            breaches.clear();
            assertEquals(
                    List.of(Rule.EFFECT),
                    rules(ran(1, 5, 10, doubt), ran(2, 11, 20, How.SERVED), tried("unsafe", 0, 30, End.ANSWERED, 200)),
                    doubt.toString());
        }
        breaches.clear();
        assertEquals(
                List.of(Rule.EFFECT),
                rules(
                        ran(1, 5, 15, How.TURNED_AWAY),
                        ran(2, 11, 20, How.SERVED),
                        tried("unsafe", 0, 30, End.ANSWERED, 200)),
                "nobody could know yet that it was turned away");
        assertTrue(breaches.get(0).what().contains("s2 while it was out at s1"));
        assertEquals(List.of(), new ArrayList<>(rules2("safe")), "a safe one may run as often as it likes");
    }

    private List<Rule> rules2(String type) {
        breaches.clear();
        return rules(ran(1, 5, 10, How.ERROR), ran(2, 6, 20, How.SERVED), tried(type, 0, 30, End.ANSWERED, 200));
    }

    @Test
    void aKeyedRequestStaysInItsGroupAndWindow() {
        // s2 and s3 are of one cell, s1 and s3 of one zone.
        assertEquals(List.of(), keyed("keyed", 2, 3, 11));
        assertEquals(List.of(Rule.EFFECT), keyed("keyed", 1, 3, 11));
        assertEquals(List.of(), keyed("zoned", 1, 3, 11));
        assertEquals(List.of(Rule.EFFECT), keyed("zoned", 2, 3, 11));
        assertEquals(List.of(), keyed("open", 1, 2, 4_105));
        assertEquals(List.of(Rule.EFFECT), keyed("open", 1, 2, 4_106));
    }

    private List<Rule> keyed(String type, int first, int second, double at) {
        breaches.clear();
        ClientAttempt last = new ClientAttempt(
                at + 30, "c", "b1", "q1", "q1", type, "k", 0, 10_000, at + 30, End.ANSWERED, 200, Echo.SAME);
        return rules(ran(first, 5, 10, How.RESET), ran(second, at, at + 20, How.SERVED), last);
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsABreachWhereTryingAgainDoesHarm() {
        Map.of("safe", false, "open", false, "keyed", true, "zoned", true, "unsafe", true)
                .forEach((type, harm) -> {
                    for (int status : new int[] {429, 503}) {
                        breaches.clear();
                        assertEquals(
                                harm ? List.of(Rule.EFFECT) : List.of(),
                                rules(ran(1, 5, 10, How.ERROR), tried(type, 0, 30, End.ANSWERED, status)),
                                type);
                        breaches.clear();
                        assertEquals(
                                List.of(),
                                rules(ran(1, 5, 10, How.TURNED_AWAY), tried(type, 0, 30, End.ANSWERED, status)),
                                type);
                    }
                });
    }

    @Test
    void drainsCountFromTheFirstNewsUntilItIsUpAgain() {
        assertEquals(List.of(), drained(2_100, new ServerStateUpdate(50, "b1", "s1", "draining")));
        assertEquals(List.of(Rule.DRAIN), drained(2_101, new ServerStateUpdate(50, "b1", "s1", "draining")));
        assertEquals(
                List.of(Rule.DRAIN),
                drained(
                        2_101,
                        new ServerStateUpdate(50, "b1", "s1", "draining"),
                        new ServerStateUpdate(2_000, "b1", "s1", "removed")));
        assertEquals(
                List.of(),
                drained(
                        2_101,
                        new ServerStateUpdate(50, "b1", "s1", "draining"),
                        new ServerStateUpdate(90, "b1", "s1", "up")));
        assertEquals(
                List.of(), drained(2_101, new ServerStateUpdate(50, "b2", "s1", "draining")), "another one was told");
        assertEquals(List.of(), drained(2_101, new ServerStateUpdate(50, "b1", "s2", "draining")), "of another one");
    }

    private List<Rule> drained(double begun, ServerStateUpdate... update) {
        breaches.clear();
        RuleChecker fresh = new RuleChecker(TERMS, breaches::add);
        List.of(update).forEach(fresh::take);
        fresh.take(ran(1, begun, begun + 5, How.SERVED));
        // What is reported after the send says nothing of it.
        fresh.take(new ServerStateUpdate(begun + 6, "b1", "s1", "up"));
        fresh.take(new ClientAttempt(
                begun + 10,
                "c",
                "b1",
                "q1",
                "q1",
                "safe",
                "",
                begun - 5,
                begun + 995,
                begun + 10,
                End.ANSWERED,
                200,
                Echo.SAME));
        fresh.end();
        return breaches.stream().map(Breach::rule).toList();
    }

    @Test
    void aFallCountsIfTwoThirdsKnewBetter() {
        assertEquals(List.of(), rules(new ColdOverload(1, "s1", 0.66)));
        assertEquals(List.of(Rule.COLD), rules(new ColdOverload(1, "s1", 0.67)));
    }

    @Test
    void whatOnlyOnePartySawIsUnexplained() {
        rules(ran(1, 5, 10, How.SERVED));
        assertEquals(1, judge.unexplained());
        rules(tried("safe", 0, 30, End.ANSWERED, 200));
        assertEquals(2, judge.unexplained());
        rules(new BalancerNote(7, "b1", "q9", "refused"));
        assertEquals(2, judge.unexplained(), "a balancer's own word is no evidence");
    }

    @Test
    void theTimelineHasAllPartiesInOrder() {
        rules(
                tried("unsafe", 0, 30, End.ANSWERED, 200),
                ran(2, 11, 20, How.SERVED),
                ran(1, 5, 10, How.ERROR),
                new BalancerNote(31, "b1", "q1", "served after 2 attempts"));
        List<String> order = breaches.get(0).timeline().stream()
                .map(one -> one.getClass().getSimpleName() + (one instanceof ServerAttempt ran ? ran.server() : ""))
                .toList();
        assertEquals(List.of("ClientAttempt", "ServerAttempts1", "ServerAttempts2", "BalancerNote"), order);
    }

    @Test
    void whatIsHeldIsBoundedAndTheOldestIsJudgedFirst() {
        RuleChecker bounded = new RuleChecker(TERMS, breaches::add, 100);
        for (int i = 0; i < 1_000; i++) {
            bounded.take(new ClientAttempt(
                    i, "c", "b1", "q" + i, "q" + i, "safe", "", i, i + 10, i + 5, End.ANSWERED, 503, Echo.UNKNOWN));
            assertTrue(bounded.held() <= 100);
        }
        assertEquals(900, bounded.early());
        bounded.end();
        assertEquals(1_000, bounded.requests());
    }

    @Test
    void whatIsOldEnoughIsJudgedAndForgotten() {
        for (int i = 0; i < 1_000; i++) {
            double at = i * 100.0;
            judge.take(new ClientAttempt(
                    at, "c", "b1", "q" + i, "q" + i, "safe", "", at, at + 10, at + 5, End.ANSWERED, 503, Echo.UNKNOWN));
            assertTrue(judge.held() <= 102);
        }
        assertEquals(0, judge.early());
    }

    /** Histories that keep the rules by their making, reported in any order that stays within the lease. */
    @Test
    void randomHistoriesThatKeepTheRulesHaveNoBreach() {
        for (long seed = 0; seed < 300; seed++) {
            List<Evidence> history = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < 100; i++) {
                good(history, "q" + i, i * 7.0, random);
            }
            List<Evidence> received = new ArrayList<>(history);
            Collections.shuffle(received.subList(0, received.size() / 2), new Random(seed));
            received.sort(Comparator.comparingDouble(one -> one.at() - one.at() % 500));
            List<Breach> found = new ArrayList<>();
            RuleChecker fresh = new RuleChecker(TERMS, found::add);
            received.forEach(fresh::take);
            fresh.end();
            assertEquals(List.of(), found, "seed " + seed);
            assertEquals(100, fresh.requests(), "seed " + seed);
        }
    }

    private static void good(List<Evidence> history, String txn, double at, SplittableRandom random) {
        String type = List.of("safe", "keyed", "open", "unsafe").get(random.nextInt(4));
        double time = at;
        boolean mayHaveRun = false;
        int cell = random.nextInt(3);
        How last = null;
        int tries = random.nextInt(0, 4);
        for (int i = 0; i < tries; i++) {
            boolean may = type.equals("safe") || !mayHaveRun || !type.equals("unsafe");
            if (!may || last == How.SERVED) {
                break;
            }
            int server = type.equals("keyed") && mayHaveRun ? cell * 2 + random.nextInt(2) : random.nextInt(6);
            cell = server / 2;
            last = How.values()[random.nextInt(How.values().length)];
            double took = random.nextDouble(1, 100);
            history.add(new ServerAttempt(
                    time + took,
                    "s" + server,
                    "z" + server % 2,
                    cell,
                    "b1",
                    txn,
                    "",
                    "",
                    "",
                    time + 0.5,
                    time + 0.6,
                    last));
            mayHaveRun |= last.mayHaveRun();
            time += took + 1;
        }
        boolean harm = mayHaveRun && (type.equals("unsafe") || type.equals("keyed"));
        int status = last == How.SERVED ? 200 : harm || random.nextBoolean() ? 502 : 503;
        history.add(new ClientAttempt(
                time + 1,
                "c",
                "b1",
                txn,
                txn,
                type,
                "",
                at,
                at + 1_000,
                time + 1,
                End.ANSWERED,
                status,
                status == 200 ? Echo.SAME : Echo.UNKNOWN));
    }
}
