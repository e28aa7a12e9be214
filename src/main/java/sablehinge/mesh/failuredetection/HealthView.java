package sablehinge.mesh.failuredetection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Joins the suspicions of watchers with the heartbeats that the leader receives itself, and decides which balancers are
 * unavailable.
 *
 * <p>A balancer is available if the leader is in contact with it or if at least half of its watchers receive its
 * heartbeats, so a partitioned watcher alone ejects no balancer. If more than half of all balancers are silent to the
 * leader and to their watchers, the fault is more likely with the observers, and no further balancer is ejected. At
 * most half of a service's ready upstreams are ejected. An unavailable balancer stays unavailable until the leader is
 * in contact with it again or none of its watchers suspects it. Times are in milliseconds of a monotonic clock.
 */
public final class HealthView {

    /**
     * The leader has lost contact with a balancer after this time without a request from it. A balancer sends its next
     * request when the previous one is answered, which takes at most 400 ms.
     */
    static final double PEER_TIMEOUT_MS = 900;

    private final Map<String, PeerReport> reports = new HashMap<>();
    private final Map<String, Health> healthByNode = new HashMap<>();
    private HashRing hashRing = new HashRing(Map.of());
    private Map<String, String> zones = Map.of();

    private double termStartedAt = Double.NEGATIVE_INFINITY;

    private record PeerReport(double receivedAt, List<Suspicion> suspicions) {}

    /**
     * A balancer in the registry whose upstream is known.
     *
     * @param ready whether the balancer reports that it accepts new requests
     */
    public record Subject(String node, String zone, String service, boolean ready) {}

    /**
     * A change of a balancer's health.
     *
     * @param suspecting watchers in contact with the leader that suspect the balancer
     * @param watchers watchers of the balancer that the leader is in contact with
     */
    public record HealthChange(String node, Health before, Health health, int suspecting, int watchers) {}

    /** Clears all state at the start of a leader's term. Every balancer has the full timeout to make contact. */
    public void startTerm(double now) {
        termStartedAt = now;
        reports.clear();
        healthByNode.clear();
    }

    /** Records a balancer's request to the leader, with the peers that the balancer currently suspects. */
    public void onHeartbeat(double now, String node, List<Suspicion> suspicions) {
        reports.put(node, new PeerReport(now, List.copyOf(suspicions)));
    }

    /** The health of a balancer. */
    public Health health(String node) {
        return healthByNode.getOrDefault(node, Health.WELL);
    }

    /** Evaluates all balancers of the registry and returns the changes. */
    public List<HealthChange> evaluate(double now, Collection<Subject> subjects) {
        Map<String, String> present = new HashMap<>();
        subjects.forEach(subject -> present.put(subject.node(), subject.zone()));
        if (!present.equals(zones)) {
            zones = present;
            hashRing = new HashRing(present);
            healthByNode.keySet().retainAll(present.keySet());
        }
        Map<String, Set<String>> suspectedBy = new HashMap<>();
        reports.forEach((watcher, report) -> {
            if (now - report.receivedAt() <= PEER_TIMEOUT_MS) {
                report.suspicions().forEach(suspicion -> suspectedBy
                        .computeIfAbsent(suspicion.node(), node -> new HashSet<>())
                        .add(watcher));
            }
        });
        Map<String, HealthChange> healthChanges = new LinkedHashMap<>();
        for (Subject subject : subjects) {
            healthChanges.put(
                    subject.node(), assess(now, subject.node(), suspectedBy.getOrDefault(subject.node(), Set.of())));
        }
        suppressWhenMany(subjects, healthChanges);
        List<HealthChange> changed = new ArrayList<>();
        healthChanges.values().forEach(change -> {
            if (change.health() != change.before()) {
                healthByNode.put(change.node(), change.health());
                changed.add(change);
            }
        });
        reports.keySet()
                .removeIf(node -> now - reports.get(node).receivedAt() > PEER_TIMEOUT_MS && !present.containsKey(node));
        return changed;
    }

    private boolean isInContact(double now, String node) {
        PeerReport report = reports.get(node);
        return now - (report == null ? termStartedAt : report.receivedAt()) <= PEER_TIMEOUT_MS;
    }

    private HealthChange assess(double now, String node, Set<String> suspectedBy) {
        Health before = health(node);
        boolean inContact = isInContact(now, node);
        if (inContact && suspectedBy.isEmpty()) {
            return new HealthChange(node, before, Health.WELL, 0, 0);
        }
        int watchers = 0;
        int suspecting = 0;
        SuspicionCause worstCause = SuspicionCause.SILENT;
        for (String watcher : hashRing.watchers(node)) {
            if (isInContact(now, watcher)) {
                watchers++;
                if (suspectedBy.contains(watcher)) {
                    suspecting++;
                    SuspicionCause cause = cause(watcher, node);
                    worstCause = cause.compareTo(worstCause) > 0 ? cause : worstCause;
                }
            }
        }
        Health health;
        if (inContact) {
            health = suspecting == 0 ? Health.WELL : Health.CUT_FROM_SOME;
        } else if (before.isUnavailable() && (watchers == 0 || suspecting > 0)) {
            // A newly assigned watcher has not had time to suspect the balancer, so its silence is no evidence of
            // health.
            health = before;
        } else if (watchers == 0) {
            health = Health.UNSEEN;
        } else if (2 * suspecting <= watchers) {
            health = Health.CUT_FROM_CORE;
        } else {
            health = switch (worstCause) {
                case RESET -> Health.DEAD;
                case FROZEN -> Health.FROZEN;
                case SILENT -> Health.LOST;
            };
        }
        return new HealthChange(node, before, health, suspecting, watchers);
    }

    private SuspicionCause cause(String watcher, String node) {
        for (Suspicion suspicion : reports.get(watcher).suspicions()) {
            if (suspicion.node().equals(node)) {
                return suspicion.cause();
            }
        }
        return SuspicionCause.SILENT;
    }

    /** Reverts new ejections that exceed the limits. */
    private static void suppressWhenMany(Collection<Subject> subjects, Map<String, HealthChange> healthChanges) {
        int timedOut = 0;
        Map<String, Integer> ready = new HashMap<>();
        Map<String, Integer> unavailable = new HashMap<>();
        for (Subject subject : subjects) {
            HealthChange change = healthChanges.get(subject.node());
            if (change.health().isUnavailable() || change.health() == Health.UNSEEN) {
                timedOut++;
            }
            if (subject.ready()) {
                ready.merge(subject.service(), 1, Integer::sum);
                if (change.health().isUnavailable() && change.before().isUnavailable()) {
                    unavailable.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
        boolean mostTimedOut = 2 * timedOut > subjects.size();
        for (Subject subject : subjects) {
            HealthChange change = healthChanges.get(subject.node());
            if (change.health().isUnavailable() && !change.before().isUnavailable()) {
                int allowance =
                        ready.getOrDefault(subject.service(), 0) / 2 - unavailable.getOrDefault(subject.service(), 0);
                if (mostTimedOut || subject.ready() && allowance <= 0) {
                    healthChanges.put(
                            subject.node(),
                            new HealthChange(
                                    subject.node(),
                                    change.before(),
                                    Health.UNSEEN,
                                    change.suspecting(),
                                    change.watchers()));
                } else if (subject.ready()) {
                    unavailable.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
    }
}
