package sablehinge.mesh.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.mesh.failuredetection.HealthView.HealthChange;
import sablehinge.mesh.failuredetection.HealthView.Subject;

/** Tests the leader's evaluation of contacts and suspicions. */
class HealthViewTest {

    private static final int COUNT = 12;
    private static final double NO_CONTACT = 1_000;
    private final HealthView healthView = new HealthView();
    private final List<Subject> subjects = new ArrayList<>();
    private final HashRing hashRing;
    private double now;

    HealthViewTest() {
        Map<String, String> zones = new HashMap<>();
        for (int i = 0; i < COUNT; i++) {
            subjects.add(new Subject("n" + i, "z" + i % 4, "s" + i % 3, true));
            zones.put("n" + i, "z" + i % 4);
        }
        hashRing = new HashRing(zones);
        report(Set.of(), Map.of());
    }

    /** All balancers but the given ones send a request to the leader with their suspicions. */
    private void report(Set<String> timedOut, Map<String, List<Suspicion>> suspicions) {
        for (Subject subject : subjects) {
            if (!timedOut.contains(subject.node())) {
                healthView.onHeartbeat(now, subject.node(), suspicions.getOrDefault(subject.node(), List.of()));
            }
        }
    }

    private List<HealthChange> advanceAndReport(Set<String> timedOut, Map<String, List<Suspicion>> suspicions) {
        now += NO_CONTACT;
        report(timedOut, suspicions);
        return healthView.evaluate(now, subjects);
    }

    /** Suspicions of a balancer by the given number of its watchers. */
    private Map<String, List<Suspicion>> suspicionsOf(String node, int watchers, SuspicionCause cause) {
        Map<String, List<Suspicion>> suspicions = new HashMap<>();
        hashRing.watchers(node)
                .subList(0, watchers)
                .forEach(watcher -> suspicions.put(watcher, List.of(new Suspicion(node, cause))));
        return suspicions;
    }

    private void assertOnlyChange(List<HealthChange> healthChanges, Health health) {
        assertEquals(1, healthChanges.size(), healthChanges.toString());
        assertEquals("n1", healthChanges.get(0).node());
        assertEquals(health, healthChanges.get(0).health());
        assertEquals(health, healthView.health("n1"));
    }

    @ParameterizedTest
    @EnumSource(SuspicionCause.class)
    void silentBalancerIsUnavailableByCauseUntilItIsInContactAgain(SuspicionCause cause) {
        Health health = List.of(Health.LOST, Health.FROZEN, Health.DEAD).get(cause.ordinal());
        assertOnlyChange(advanceAndReport(Set.of("n1"), suspicionsOf("n1", 2, cause)), health);
        assertTrue(health.isUnavailable());
        assertEquals(List.of(), advanceAndReport(Set.of("n1"), suspicionsOf("n1", 3, cause)));
        healthView.onHeartbeat(now, "n1", List.of());
        assertOnlyChange(healthView.evaluate(now, subjects), Health.CUT_FROM_SOME);
        assertOnlyChange(advanceAndReport(Set.of(), Map.of()), Health.WELL);
    }

    @Test
    void balancerInContactWithItsWatchersIsCutFromCoreAndAvailable() {
        assertOnlyChange(advanceAndReport(Set.of("n1"), Map.of()), Health.CUT_FROM_CORE);
        assertEquals(List.of(), advanceAndReport(Set.of("n1"), suspicionsOf("n1", 1, SuspicionCause.SILENT)));
        assertFalse(Health.CUT_FROM_CORE.isUnavailable());
    }

    @Test
    void balancerInContactWithTheLeaderIsAtMostCutFromSome() {
        assertOnlyChange(advanceAndReport(Set.of(), suspicionsOf("n1", 3, SuspicionCause.RESET)), Health.CUT_FROM_SOME);
        assertFalse(Health.CUT_FROM_SOME.isUnavailable());
    }

    @Test
    void ignoresSuspicionsOfWatchersWithoutContactToTheLeader() {
        List<String> watchers = hashRing.watchers("n1");
        now += 1;
        healthView.onHeartbeat(now, watchers.get(0), List.of(new Suspicion("n1", SuspicionCause.SILENT)));
        healthView.onHeartbeat(now, watchers.get(1), List.of(new Suspicion("n1", SuspicionCause.SILENT)));
        now += NO_CONTACT;
        report(Set.of("n1", watchers.get(0), watchers.get(1)), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.CUT_FROM_CORE, healthView.health("n1"));
        now += NO_CONTACT;
        report(Set.of("n1", watchers.get(0), watchers.get(1), watchers.get(2)), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.UNSEEN, healthView.health("n1"));
    }

    @Test
    void ignoresSuspicionsOfBalancersThatAreNotWatchers() {
        Map<String, List<Suspicion>> suspicions = new HashMap<>();
        subjects.stream()
                .filter(subject -> !hashRing.watchers("n1").contains(subject.node()))
                .forEach(subject -> suspicions.put(subject.node(), List.of(new Suspicion("n1", SuspicionCause.RESET))));
        assertOnlyChange(advanceAndReport(Set.of("n1"), suspicions), Health.CUT_FROM_CORE);
    }

    @Test
    void unavailableBalancerStaysUnavailableWithoutNewEvidence() {
        advanceAndReport(Set.of("n1"), suspicionsOf("n1", 3, SuspicionCause.SILENT));
        assertEquals(List.of(), advanceAndReport(Set.of("n1"), suspicionsOf("n1", 1, SuspicionCause.SILENT)));
        Set<String> silentNodes = new HashSet<>(hashRing.watchers("n1"));
        silentNodes.add("n1");
        advanceAndReport(silentNodes, Map.of());
        assertEquals(Health.LOST, healthView.health("n1"));
        now += 1;
        report(Set.of("n1"), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.CUT_FROM_CORE, healthView.health("n1"));
    }

    /** The given balancers are silent, and their watchers report them. */
    private void reportSilent(Set<String> silent) {
        Map<String, List<Suspicion>> suspicions = new HashMap<>();
        silent.forEach(node -> hashRing.watchers(node).forEach(watcher -> suspicions
                .computeIfAbsent(watcher, name -> new ArrayList<>())
                .add(new Suspicion(node, SuspicionCause.SILENT))));
        advanceAndReport(silent, suspicions);
    }

    private long unavailableCount() {
        return subjects.stream()
                .filter(subject -> healthView.health(subject.node()).isUnavailable())
                .count();
    }

    @Test
    void ejectsAtMostHalfOfTheReadyUpstreamsOfAService() {
        // n0, n3, n6 and n9 are all balancers of s0.
        reportSilent(Set.of("n0", "n3", "n6"));
        assertEquals(2, unavailableCount());
    }

    @Test
    void ejectsNoFurtherBalancerIfMoreThanHalfAreSilent() {
        reportSilent(Set.of("n1"));
        reportSilent(Set.of("n0", "n1", "n2", "n3", "n4", "n5", "n6"));
        assertEquals(1, unavailableCount());
        reportSilent(Set.of("n0", "n1", "n2", "n3", "n4", "n5"));
        assertTrue(unavailableCount() > 1);
    }

    @Property(tries = 1_000)
    void neverEjectsBalancersInContactNorMoreThanHalfOfAService(
            @ForAll @Size(max = 40) List<@Size(max = COUNT) Set<@IntRange(max = COUNT - 1) Integer>> rounds) {
        for (Set<Integer> silent : rounds) {
            Set<String> names = new HashSet<>();
            silent.forEach(number -> names.add("n" + number));
            reportSilent(names);
            Map<String, Integer> unavailable = new HashMap<>();
            for (Subject subject : subjects) {
                if (healthView.health(subject.node()).isUnavailable()) {
                    assertTrue(names.contains(subject.node()));
                    unavailable.merge(subject.service(), 1, Integer::sum);
                }
            }
            unavailable.forEach((service, count) -> assertTrue(2 * count <= COUNT / 3, service + " " + count));
        }
    }
}
