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

    private static final AuditRules RULES = new AuditRules(
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
    private final RuleChecker checker = new RuleChecker(RULES, breaches::add);

    private static ClientAttempt clientAttempt(String type, double sent, double answered, End end, int status) {
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

    private static ServerAttempt serverAttempt(int server, double begun, double ended, How how) {
        return new ServerAttempt(
                ended, "s" + server, "z" + server % 2, server / 2, "b1", "q1", "", "", "", begun, begun, how);
    }

    /** The breached rules, in the order in which they are reported. */
    private List<Rule> rules(Evidence... evidence) {
        List.of(evidence).forEach(checker::add);
        checker.end();
        return breaches.stream().map(Breach::rule).toList();
    }

    @Test
    void acceptsRequestServedOnceInTime() {
        assertEquals(
                List.of(),
                rules(serverAttempt(1, 5, 20, How.SERVED), clientAttempt("unsafe", 0, 30, End.ANSWERED, 200)));
        assertEquals(1, checker.requests());
        assertEquals(0, checker.unexplained());
    }

    @Test
    void reportsMissingAnswerUnlessBalancerEnded() {
        assertEquals(List.of(Rule.ANSWER), rules(clientAttempt("safe", 0, Double.NaN, End.SILENT, 0)));
        breaches.clear();
        assertEquals(List.of(), rules(new PartyEnded(500, "b1"), clientAttempt("safe", 0, Double.NaN, End.SILENT, 0)));
        RuleChecker second = new RuleChecker(RULES, breaches::add);
        second.add(clientAttempt("safe", 0, Double.NaN, End.SILENT, 0));
        second.add(new PartyEnded(1_151, "b1"));
        second.end();
        assertEquals(1, breaches.size(), "an end after the attempt excuses nothing");
    }

    @Test
    void reportsClosedConnectionUnlessAnswerHadBegun() {
        assertEquals(List.of(Rule.ANSWER), rules(clientAttempt("safe", 0, Double.NaN, End.BROKEN, 0)));
        breaches.clear();
        assertEquals(List.of(), rules(clientAttempt("safe", 0, Double.NaN, End.PARTIAL, 0)));
        assertEquals(List.of(), rules(clientAttempt("safe", Double.NaN, Double.NaN, End.UNREACHABLE, 0)));
        assertEquals(List.of(), rules(clientAttempt("safe", 0, Double.NaN, End.LEFT, 0)));
    }

    @Test
    void reportsAnswerAfterGracePeriod() {
        assertEquals(List.of(), rules(clientAttempt("safe", 0, 1_070, End.ANSWERED, 502)));
        assertEquals(List.of(Rule.ANSWER), rules(clientAttempt("safe", 0, 1_071, End.ANSWERED, 502)));
        assertTrue(breaches.get(0).what().contains("71 ms after its time was up"));
    }

    @Test
    void reportsDuplicateAnswerAndAnswerOfDifferentRequest() {
        assertEquals(
                List.of(Rule.ANSWER),
                rules(
                        serverAttempt(1, 5, 20, How.SERVED),
                        clientAttempt("safe", 0, 30, End.ANSWERED, 200),
                        new DuplicateAnswer(35, "c", "b1", "q1")));
        breaches.clear();
        ClientAttempt other =
                new ClientAttempt(30, "c", "b1", "q2", "q2", "safe", "", 0, 1_000, 30, End.ANSWERED, 200, Echo.OTHER);
        assertEquals(List.of(Rule.ANSWER), rules(other));
        assertEquals("q2", breaches.get(0).txn());
    }

    @Test
    void reportsAttemptSentAfterAnswer() {
        assertEquals(
                List.of(),
                rules(serverAttempt(1, 129, 140, How.SERVED), clientAttempt("safe", 0, 30, End.ANSWERED, 200)));
        assertEquals(
                List.of(Rule.ANSWER),
                rules(serverAttempt(1, 131, 140, How.SERVED), clientAttempt("safe", 0, 30, End.ANSWERED, 200)));
    }

    @Test
    void allowsSecondAttemptOfUnsafeRequestOnlyAfterProofThatItNeverRan() {
        for (How proof : List.of(How.TURNED_AWAY, How.CUT)) {
            assertEquals(
                    List.of(),
                    rules(
                            serverAttempt(1, 5, 10, proof),
                            serverAttempt(2, 11, 20, How.SERVED),
                            clientAttempt("unsafe", 0, 30, End.ANSWERED, 200)),
                    proof.toString());
        }
        for (How doubt : List.of(How.ERROR, How.RESET, How.CANCELLED, How.SERVED)) {
            breaches.clear();
            assertEquals(
                    List.of(Rule.EFFECT),
                    rules(
                            serverAttempt(1, 5, 10, doubt),
                            serverAttempt(2, 11, 20, How.SERVED),
                            clientAttempt("unsafe", 0, 30, End.ANSWERED, 200)),
                    doubt.toString());
        }
        breaches.clear();
        assertEquals(
                List.of(Rule.EFFECT),
                rules(
                        serverAttempt(1, 5, 15, How.TURNED_AWAY),
                        serverAttempt(2, 11, 20, How.SERVED),
                        clientAttempt("unsafe", 0, 30, End.ANSWERED, 200)),
                "the rejection had not arrived yet");
        assertTrue(breaches.get(0).what().contains("s2 while it was out at s1"));
        assertEquals(
                List.of(), new ArrayList<>(retriedAfterError("safe")), "a safe request may run any number of times");
    }

    private List<Rule> retriedAfterError(String type) {
        breaches.clear();
        return rules(
                serverAttempt(1, 5, 10, How.ERROR),
                serverAttempt(2, 6, 20, How.SERVED),
                clientAttempt(type, 0, 30, End.ANSWERED, 200));
    }

    @Test
    void allowsRetryOfKeyedRequestOnlyWithinGroupAndWindow() {
        // s2 and s3 are in the same cell, s1 and s3 in the same zone.
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
        return rules(serverAttempt(first, 5, 10, How.RESET), serverAttempt(second, at, at + 20, How.SERVED), last);
    }

    @Test
    void reportsRefusalOfRequestThatMayHaveRunIfRetryIsNotSafe() {
        Map.of("safe", false, "open", false, "keyed", true, "zoned", true, "unsafe", true)
                .forEach((type, harm) -> {
                    for (int status : new int[] {429, 503}) {
                        breaches.clear();
                        assertEquals(
                                harm ? List.of(Rule.EFFECT) : List.of(),
                                rules(
                                        serverAttempt(1, 5, 10, How.ERROR),
                                        clientAttempt(type, 0, 30, End.ANSWERED, status)),
                                type);
                        breaches.clear();
                        assertEquals(
                                List.of(),
                                rules(
                                        serverAttempt(1, 5, 10, How.TURNED_AWAY),
                                        clientAttempt(type, 0, 30, End.ANSWERED, status)),
                                type);
                    }
                });
    }

    @Test
    void measuresDrainGraceFromFirstNoticeUntilServerIsUpAgain() {
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
                List.of(),
                drained(2_101, new ServerStateUpdate(50, "b2", "s1", "draining")),
                "a different balancer was notified");
        assertEquals(
                List.of(),
                drained(2_101, new ServerStateUpdate(50, "b1", "s2", "draining")),
                "a different server is draining");
    }

    private List<Rule> drained(double begun, ServerStateUpdate... updates) {
        breaches.clear();
        RuleChecker fresh = new RuleChecker(RULES, breaches::add);
        List.of(updates).forEach(fresh::add);
        fresh.add(serverAttempt(1, begun, begun + 5, How.SERVED));
        // An update after the attempt does not affect it.
        fresh.add(new ServerStateUpdate(begun + 6, "b1", "s1", "up"));
        fresh.add(new ClientAttempt(
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
    void reportsColdOverloadIfTwoThirdsOfItsWorkWereInformed() {
        assertEquals(List.of(), rules(new ColdOverload(1, "s1", 0.66)));
        assertEquals(List.of(Rule.COLD), rules(new ColdOverload(1, "s1", 0.67)));
    }

    @Test
    void countsRequestRecordedByOnePartyOnlyAsUnexplained() {
        rules(serverAttempt(1, 5, 10, How.SERVED));
        assertEquals(1, checker.unexplained());
        rules(clientAttempt("safe", 0, 30, End.ANSWERED, 200));
        assertEquals(2, checker.unexplained());
        rules(new BalancerNote(7, "b1", "q9", "refused"));
        assertEquals(2, checker.unexplained(), "a balancer's note is no evidence");
    }

    @Test
    void ordersTimelineOfAllPartiesByTime() {
        rules(
                clientAttempt("unsafe", 0, 30, End.ANSWERED, 200),
                serverAttempt(2, 11, 20, How.SERVED),
                serverAttempt(1, 5, 10, How.ERROR),
                new BalancerNote(31, "b1", "q1", "served after 2 attempts"));
        List<String> order = breaches.get(0).timeline().stream()
                .map(one -> one.getClass().getSimpleName() + (one instanceof ServerAttempt ran ? ran.server() : ""))
                .toList();
        assertEquals(List.of("ClientAttempt", "ServerAttempts1", "ServerAttempts2", "BalancerNote"), order);
    }

    @Test
    void checksOldestRequestEarlyWhenTraceLimitIsReached() {
        RuleChecker bounded = new RuleChecker(RULES, breaches::add, 100);
        for (int i = 0; i < 1_000; i++) {
            bounded.add(new ClientAttempt(
                    i, "c", "b1", "q" + i, "q" + i, "safe", "", i, i + 10, i + 5, End.ANSWERED, 503, Echo.UNKNOWN));
            assertTrue(bounded.traceCount() <= 100);
        }
        assertEquals(900, bounded.checkedEarly());
        bounded.end();
        assertEquals(1_000, bounded.requests());
    }

    @Test
    void checksAndForgetsRequestsAfterHoldTime() {
        for (int i = 0; i < 1_000; i++) {
            double at = i * 100.0;
            checker.add(new ClientAttempt(
                    at, "c", "b1", "q" + i, "q" + i, "safe", "", at, at + 10, at + 5, End.ANSWERED, 503, Echo.UNKNOWN));
            assertTrue(checker.traceCount() <= 102);
        }
        assertEquals(0, checker.checkedEarly());
    }

    /** Histories that comply with the rules by construction, with evidence reordered within the hold time. */
    @Test
    void findsNoBreachInRandomCompliantHistories() {
        for (long seed = 0; seed < 300; seed++) {
            List<Evidence> history = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < 100; i++) {
                addCompliantRequest(history, "q" + i, i * 7.0, random);
            }
            List<Evidence> reordered = new ArrayList<>(history);
            Collections.shuffle(reordered.subList(0, reordered.size() / 2), new Random(seed));
            reordered.sort(Comparator.comparingDouble(one -> one.at() - one.at() % 500));
            List<Breach> found = new ArrayList<>();
            RuleChecker fresh = new RuleChecker(RULES, found::add);
            reordered.forEach(fresh::add);
            fresh.end();
            assertEquals(List.of(), found, "seed " + seed);
            assertEquals(100, fresh.requests(), "seed " + seed);
        }
    }

    private static void addCompliantRequest(List<Evidence> history, String txn, double at, SplittableRandom random) {
        String type = List.of("safe", "keyed", "open", "unsafe").get(random.nextInt(4));
        double time = at;
        boolean mayHaveRun = false;
        int cell = random.nextInt(3);
        How last = null;
        int tries = random.nextInt(0, 4);
        for (int i = 0; i < tries; i++) {
            boolean retryAllowed = type.equals("safe") || !mayHaveRun || !type.equals("unsafe");
            if (!retryAllowed || last == How.SERVED) {
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
