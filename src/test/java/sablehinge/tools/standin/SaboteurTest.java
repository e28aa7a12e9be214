package sablehinge.tools.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.cli.LocalBalancers;
import sablehinge.common.mapping.MappedRequest;
import sablehinge.testing.Relay;
import sablehinge.testing.Saboteur;
import sablehinge.testing.Saboteur.Deed;
import sablehinge.tools.audit.Audit;
import sablehinge.tools.audit.AuditRulesFile;
import sablehinge.tools.audit.Recorder;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Breach;
import sablehinge.tools.audit.judge.Breach.Rule;
import sablehinge.tools.replay.Demand;
import sablehinge.tools.replay.run.ClassPlan;
import sablehinge.tools.replay.run.Load;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.RulesPart;
import sablehinge.tools.standin.scenario.ScenarioFile;

/** Tests the audit: a run that violates a rule is reported with its requests, and a correct run is not. */
class SaboteurTest {

    /** Without faults; {@link #FAULTS} drains a server, restarts a server cold and makes some requests fail. */
    private static final String SCENARIO =
            """
            seed = 5
            zones = ["a", "b"]
            list-delay = "100ms"
            warm-up = "%s"
            [[class]]
            name = "order"
            effect = "keyed"
            group = "cell"
            work = "%s"
            [[class]]
            name = "spend"
            effect = "unsafe"
            work = "%s"
            [[class]]
            name = "look"
            effect = "safe"
            work = "%s"
            [[tier]]
            name = "front"
            servers = 6
            balancers = 2
            cell = 2
            cold-from = 0.13
            cold = "20s"
            """;

    private static final String FAULTS =
            """
            [[fault]]
            kind = "drain"
            at = "200ms"
            for = "5s"
            [[fault]]
            kind = "restart"
            at = "300ms"
            for = "500ms"
            [[fault]]
            kind = "error"
            for = "6s"
            chance = 0.05
            [[fault]]
            kind = "reset-after"
            for = "6s"
            chance = 0.05
            [[fault]]
            kind = "half"
            for = "6s"
            chance = 0.05
            """;

    /** A late answer on a busy machine is not a breach in this test; a missing answer is. */
    private static final double ANSWER_GRACE_MS = 140;
    /** More than the requests of a run, so that late answers on a busy machine hide no other breach. */
    private static final int MAX_SHOWN_BREACHES = 1_000_000;

    @TempDir
    private Path folder;
    /** The answers of all relays together, of which a relay spoils one at a fixed interval. */
    private final AtomicLong answers = new AtomicLong();

    /** The result of a run. */
    private record RunResult(Audit audit, Set<String> spoilt) {

        List<String> breachesOf(Rule rule) {
            return audit.shown().stream()
                    .filter(breach -> breach.rule() == rule)
                    .map(Breach::txn)
                    .toList();
        }
    }

    private static Scenario scenario(String work, String faults) {
        ScenarioFile.Checked checked = ScenarioFile.parse(SCENARIO.formatted("800ms", work, work, work) + faults);
        assertEquals(List.of(), checked.problems());
        return checked.scenario();
    }

    private RunResult run(Scenario scenario, Deed deed, Relay.Deed relayDeed, int interval, double seconds, double rate)
            throws Exception {
        List<Relay> relays = new ArrayList<>();
        Recorder servers = new Recorder(folder.resolve("servers.jsonl.gz"));
        Recorder clients = new Recorder(folder.resolve("requests.jsonl.gz"));
        LocalBalancers local = new LocalBalancers(servers::note, actions -> new Saboteur(deed, actions));
        Balancers balancers = spec -> {
            // A balancer that ignores drains must not be notified of drains by its transport either.
            Scenario visibleScenario = deed != Deed.IGNORES_DRAINS
                    ? spec.scenario()
                    : new Scenario(
                            scenario.seed(),
                            scenario.entry(),
                            scenario.zones(),
                            scenario.listDelay(),
                            scenario.warmUp(),
                            scenario.classes(),
                            scenario.tiers(),
                            scenario.faults(),
                            new RulesPart(3.6e6, 3, 1_500));
            Balancers.Running running = local.start(new Balancers.Spec(
                    spec.name(),
                    spec.tier(),
                    spec.position(),
                    spec.siblings(),
                    spec.zone(),
                    spec.listen(),
                    spec.discovery(),
                    spec.seed(),
                    visibleScenario,
                    spec.known()));
            if (relayDeed == null) {
                return running;
            }
            Relay relay = new Relay(running.address(), relayDeed, interval, answers);
            relays.add(relay);
            return new Balancers.Running() {
                @Override
                public InetSocketAddress address() {
                    return relay.address();
                }

                @Override
                public void kill() {
                    running.kill();
                }
            };
        };
        try (servers;
                clients;
                Fleet fleet = new Fleet(scenario, balancers, 2, servers::note, line -> {})) {
            fleet.start();
            send(fleet, clients, seconds, rate);
            AuditRules terms = fleet.terms();
            AuditRulesFile.write(
                    folder,
                    new AuditRules(
                            terms.classes(),
                            ANSWER_GRACE_MS,
                            terms.drainGrace(),
                            terms.slack(),
                            terms.hold(),
                            true,
                            true));
        } finally {
            relays.forEach(Relay::close);
        }
        assertEquals(0, servers.dropped() + clients.dropped());
        Set<String> spoilt =
                relays.stream().flatMap(relay -> relay.spoilt().stream()).collect(Collectors.toSet());
        return new RunResult(Audit.of(folder, MAX_SHOWN_BREACHES), spoilt);
    }

    private static void send(Fleet fleet, Recorder clients, double seconds, double rate) throws Exception {
        Map<String, ClassPlan> plans = new HashMap<>();
        fleet.terms().classes().forEach((name, terms) -> plans.put(name, new ClassPlan(terms, 1_000, 2_500)));
        Load load = new Load(
                new Load.Options(
                        fleet.entries(),
                        plans,
                        ReplayClient.Terms.usual(),
                        new ReplaySchedule.Terms(1, 1, Double.NaN, Double.NaN, 1),
                        1,
                        1_000,
                        100,
                        1),
                clients::note);
        int[] sent = {0};
        String[] names = {"order", "spend", "look"};
        try {
            load.run(() -> {
                int i = sent[0]++;
                String name = names[i % 3];
                return i >= seconds * rate
                        ? null
                        : new Demand(
                                i * 1_000.0 / rate,
                                "GET",
                                "/" + name + "/" + i / 7,
                                new MappedRequest(name, "k" + i / 7, "", 0, -1),
                                null,
                                -1);
            });
        } finally {
            load.close();
        }
    }

    @Test
    void cleanRunHasNoBreachesAndNothingUnexplained() throws Exception {
        RunResult result = run(scenario("3ms", FAULTS), Deed.NONE, null, 0, 5.5, 150);
        assertEquals(List.of(), result.audit.shown());
        assertEquals(0, result.audit.unexplained());
        assertTrue(result.audit.requests() >= 825);
    }

    @Test
    void detectsResentUnsafeRequests() throws Exception {
        RunResult result = run(scenario("3ms", ""), Deed.RESENDS, null, 0, 3, 150);
        assertTrue(Saboteur.DONE.get(Deed.RESENDS) > 0);
        assertTrue(result.audit.breaches(Rule.EFFECT) > 0);
        assertEquals(result.audit.breaches(Rule.EFFECT), result.audit.breaches(), "no breaches of other rules");
        assertTrue(result.audit.shown().get(0).timeline().size() >= 3);
    }

    @Test
    void detectsDuplicateAnswers() throws Exception {
        RunResult result = run(scenario("3ms", ""), Deed.NONE, Relay.Deed.TWICE, 40, 2, 150);
        assertTrue(result.spoilt.size() >= 5);
        assertEquals(result.spoilt, Set.copyOf(result.breachesOf(Rule.ANSWER)));
    }

    @Test
    void detectsAnswersOfOtherRequests() throws Exception {
        RunResult result = run(scenario("3ms", ""), Deed.NONE, Relay.Deed.OF_ANOTHER, 40, 2, 150);
        assertTrue(result.spoilt.size() >= 5);
        assertEquals(result.spoilt, Set.copyOf(result.breachesOf(Rule.ANSWER)));
    }

    @Test
    void detectsIgnoredDrains() throws Exception {
        RunResult result = run(scenario("3ms", FAULTS), Deed.IGNORES_DRAINS, null, 0, 5.5, 150);
        assertTrue(Saboteur.DONE.get(Deed.IGNORES_DRAINS) > 0);
        assertTrue(result.audit.breaches(Rule.DRAIN) > 0);
        assertEquals(result.audit.breaches(Rule.DRAIN), result.audit.breaches());
    }

    @Test
    void detectsFloodedColdServer() throws Exception {
        RunResult result = run(scenario("20ms", FAULTS), Deed.FLOODS, null, 0, 4, 150);
        assertTrue(Saboteur.DONE.get(Deed.FLOODS) > 0);
        assertEquals(1, result.audit.breaches(Rule.COLD));
        assertTrue(result.breachesOf(Rule.COLD).get(0).startsWith("front-"));
    }

    /** The audit checks every request, not a sample. */
    @Test
    void detectsSingleLostRequestInTenThousand() throws Exception {
        RunResult result = run(scenario("0.3ms", ""), Deed.NONE, Relay.Deed.LOST, 5_000, 9, 1_200);
        assertTrue(result.audit.requests() >= 10_000);
        assertTrue(!result.spoilt.isEmpty() && result.spoilt.size() <= 2, result.spoilt.toString());
        assertTrue(
                result.breachesOf(Rule.ANSWER).containsAll(result.spoilt),
                result.audit.json().toString());
    }

    @Test
    void termsFollowClassesOfScenario() {
        AuditRules terms = new Fleet(scenario("3ms", ""), spec -> null, 1, one -> {}, line -> {}).terms();
        assertEquals(
                new AuditRules.ClassTerms(Effect.KEYED, Group.CELL, 4_000),
                terms.classes().get("order"));
        assertEquals(Effect.SAFE, terms.classes().get("look").effect());
    }
}
