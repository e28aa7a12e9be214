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

/** Who is off, by what the leader and the watchers receive. */
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
        asks(Set.of(), Map.of());
    }

    /** All ask but some, and accuse whom they accuse. */
    private void asks(Set<String> timedOut, Map<String, List<Suspicion>> suspicions) {
        for (Subject subject : subjects) {
            if (!timedOut.contains(subject.node())) {
                healthView.onHeartbeat(now, subject.node(), suspicions.getOrDefault(subject.node(), List.of()));
            }
        }
    }

    private List<HealthChange> later(Set<String> timedOut, Map<String, List<Suspicion>> suspicions) {
        now += NO_CONTACT;
        asks(timedOut, suspicions);
        return healthView.evaluate(now, subjects);
    }

    /** The first so many of its watchers accuse one. */
    private Map<String, List<Suspicion>> accused(String node, int watchers, SuspicionCause evidence) {
        Map<String, List<Suspicion>> suspicions = new HashMap<>();
        hashRing.watchers(node)
                .subList(0, watchers)
                .forEach(watcher -> suspicions.put(watcher, List.of(new Suspicion(node, evidence))));
        return suspicions;
    }

    private void only(List<HealthChange> healthChanges, Health health) {
        assertEquals(1, healthChanges.size(), healthChanges.toString());
        assertEquals("n1", healthChanges.get(0).node());
        assertEquals(health, healthChanges.get(0).health());
        assertEquals(health, healthView.health("n1"));
    }

    @ParameterizedTest
    @EnumSource(SuspicionCause.class)
    void whomNeitherKeeperNorWatchersHearIsOffByWhatTheyFoundUntilItIsHeardAgain(SuspicionCause evidence) {
        Health health = List.of(Health.LOST, Health.FROZEN, Health.DEAD).get(evidence.ordinal());
        only(later(Set.of("n1"), accused("n1", 2, evidence)), health);
        assertTrue(health.isUnavailable());
        assertEquals(List.of(), later(Set.of("n1"), accused("n1", 3, evidence)));
        healthView.onHeartbeat(now, "n1", List.of());
        only(healthView.evaluate(now, subjects), Health.CUT_FROM_SOME);
        only(later(Set.of(), Map.of()), Health.WELL);
    }

    @Test
    void whomTheWatchersHearIsCutFromTheCoreAndServesOn() {
        only(later(Set.of("n1"), Map.of()), Health.CUT_FROM_CORE);
        assertEquals(List.of(), later(Set.of("n1"), accused("n1", 1, SuspicionCause.SILENT)));
        assertFalse(Health.CUT_FROM_CORE.isUnavailable());
    }

    @Test
    void whomTheKeeperHearsIsAtMostCutFromSome() {
        only(later(Set.of(), accused("n1", 3, SuspicionCause.RESET)), Health.CUT_FROM_SOME);
        assertFalse(Health.CUT_FROM_SOME.isUnavailable());
    }

    @Test
    void aWatcherThatTheKeeperDoesNotHearAccusesNobody() {
        List<String> watchers = hashRing.watchers("n1");
        now += 1;
        healthView.onHeartbeat(now, watchers.get(0), List.of(new Suspicion("n1", SuspicionCause.SILENT)));
        healthView.onHeartbeat(now, watchers.get(1), List.of(new Suspicion("n1", SuspicionCause.SILENT)));
        now += NO_CONTACT;
        asks(Set.of("n1", watchers.get(0), watchers.get(1)), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.CUT_FROM_CORE, healthView.health("n1"));
        now += NO_CONTACT;
        asks(Set.of("n1", watchers.get(0), watchers.get(1), watchers.get(2)), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.UNSEEN, healthView.health("n1"));
    }

    @Test
    void whoIsNoWatcherOfOneCanNotAccuseIt() {
        Map<String, List<Suspicion>> all = new HashMap<>();
        subjects.stream()
                .filter(other -> !hashRing.watchers("n1").contains(other.node()))
                .forEach(other -> all.put(other.node(), List.of(new Suspicion("n1", SuspicionCause.RESET))));
        only(later(Set.of("n1"), all), Health.CUT_FROM_CORE);
    }

    @Test
    void whoIsOffStaysSoWhileNobodyCanSayMore() {
        later(Set.of("n1"), accused("n1", 3, SuspicionCause.SILENT));
        assertEquals(List.of(), later(Set.of("n1"), accused("n1", 1, SuspicionCause.SILENT)));
        Set<String> blind = new HashSet<>(hashRing.watchers("n1"));
        blind.add("n1");
        later(blind, Map.of());
        assertEquals(Health.LOST, healthView.health("n1"));
        now += 1;
        asks(Set.of("n1"), Map.of());
        healthView.evaluate(now, subjects);
        assertEquals(Health.CUT_FROM_CORE, healthView.health("n1"));
    }

    /** Those listed are unresponsive, and whoever watches over them reports it. */
    private void fall(Set<String> fallen) {
        Map<String, List<Suspicion>> suspicions = new HashMap<>();
        fallen.forEach(node -> hashRing.watchers(node).forEach(watcher -> suspicions
                .computeIfAbsent(watcher, name -> new ArrayList<>())
                .add(new Suspicion(node, SuspicionCause.SILENT))));
        later(fallen, suspicions);
    }

    private long off() {
        return subjects.stream()
                .filter(subject -> healthView.health(subject.node()).isUnavailable())
                .count();
    }

    @Test
    void ofAServiceHalfStayReadyWhateverIsSaid() {
        // n0, n3, n6 and n9 are all there is of s0.
        fall(Set.of("n0", "n3", "n6"));
        assertEquals(2, off());
    }

    @Test
    void whereMoreThanHalfAreSilentNothingMoreIsDone() {
        fall(Set.of("n1"));
        fall(Set.of("n0", "n1", "n2", "n3", "n4", "n5", "n6"));
        assertEquals(1, off());
        fall(Set.of("n0", "n1", "n2", "n3", "n4", "n5"));
        assertTrue(off() > 1);
    }

    @Property(tries = 1_000)
    void whoIsHeardIsNeverOffAndHalfOfEachServiceStays(
            @ForAll @Size(max = 40) List<@Size(max = COUNT) Set<@IntRange(max = COUNT - 1) Integer>> story) {
        for (Set<Integer> fallen : story) {
            Set<String> names = new HashSet<>();
            fallen.forEach(number -> names.add("n" + number));
            fall(names);
            Map<String, Integer> taken = new HashMap<>();
            for (Subject subject : subjects) {
                if (healthView.health(subject.node()).isUnavailable()) {
                    assertTrue(names.contains(subject.node()));
                    taken.merge(subject.service(), 1, Integer::sum);
                }
            }
            taken.forEach((service, count) -> assertTrue(2 * count <= COUNT / 3, service + " " + count));
        }
    }
}
