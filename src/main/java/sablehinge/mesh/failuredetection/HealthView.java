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
 * <p>It takes both: a balancer is available if the leader is in contact with it, or with half of its watchers, so one
 * that is partitioned ejects nobody. Where more than half of all balancers send nothing and no watcher receives their
 * heartbeats, the fault is likelier with the observers: nothing new is decided then. Nor is ever more than half of a
 * service's ready upstreams ejected. One that is unavailable stays so until the leader is in contact with it again, or
 * none of its watchers suspects it. Times are in ms of a steady clock.
 */
public final class HealthView {

    /**
     * After so long without a request the leader has no contact with a balancer: each sends the next when one is
     * answered, which is after 400 ms at the latest.
     */
    static final double PEER_TIMEOUT_MS = 900;

    private final Map<String, PeerReport> reports = new HashMap<>();
    private final Map<String, Health> healthByNode = new HashMap<>();
    private HashRing hashRing = new HashRing(Map.of());
    private Map<String, String> zones = Map.of();

    private double begunAt = Double.NEGATIVE_INFINITY;

    private record PeerReport(double at, List<Suspicion> suspicions) {}

    /**
     * A balancer in the registry whose upstream is known.
     *
     * @param ready whether it says itself that it takes new requests
     */
    public record Subject(String node, String zone, String service, boolean ready) {}

    /**
     * What is known of one has changed.
     *
     * @param suspecting of its watchers in touch, those who don't hear it
     * @param watchers of it that the leader is in contact with
     */
    public record HealthChange(String node, Health before, Health health, int suspecting, int watchers) {}

    /** Forgets all: another leader's term has begun, and all balancers have time to be heard by it. */
    public void startTerm(double now) {
        begunAt = now;
        reports.clear();
        healthByNode.clear();
    }

    /** The leader has received a heartbeat of a balancer, with the peers that it suspects now. */
    public void onHeartbeat(double now, String node, List<Suspicion> suspicions) {
        reports.put(node, new PeerReport(now, List.copyOf(suspicions)));
    }

    /** What is known of one. */
    public Health health(String node) {
        return healthByNode.getOrDefault(node, Health.WELL);
    }

    /** Evaluates all balancers of the registry; returns what has changed. */
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
            if (now - report.at() <= PEER_TIMEOUT_MS) {
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
        reports.keySet().removeIf(node -> now - reports.get(node).at() > PEER_TIMEOUT_MS && !present.containsKey(node));
        return changed;
    }

    private boolean isHeard(double now, String node) {
        PeerReport report = reports.get(node);
        return now - (report == null ? begunAt : report.at()) <= PEER_TIMEOUT_MS;
    }

    private HealthChange assess(double now, String node, Set<String> suspectedBy) {
        Health before = health(node);
        boolean heard = isHeard(now, node);
        if (heard && suspectedBy.isEmpty()) {
            return new HealthChange(node, before, Health.WELL, 0, 0);
        }
        int watchers = 0;
        int suspecting = 0;
        SuspicionCause gravest = SuspicionCause.SILENT;
        for (String watcher : hashRing.watchers(node)) {
            if (isHeard(now, watcher)) {
                watchers++;
                if (suspectedBy.contains(watcher)) {
                    suspecting++;
                    SuspicionCause evidence = evidence(watcher, node);
                    gravest = evidence.compareTo(gravest) > 0 ? evidence : gravest;
                }
            }
        }
        Health health;
        if (heard) {
            health = suspecting == 0 ? Health.WELL : Health.CUT_FROM_SOME;
        } else if (before.isUnavailable() && (watchers == 0 || suspecting > 0)) {
            // A watcher that is new to it has not had the time to suspect it, and is no evidence that it is up.
            health = before;
        } else if (watchers == 0) {
            health = Health.UNSEEN;
        } else if (2 * suspecting <= watchers) {
            health = Health.CUT_FROM_CORE;
        } else {
            health = switch (gravest) {
                case RESET -> Health.DEAD;
                case FROZEN -> Health.FROZEN;
                case SILENT -> Health.LOST;
            };
        }
        return new HealthChange(node, before, health, suspecting, watchers);
    }

    private SuspicionCause evidence(String watcher, String node) {
        for (Suspicion suspicion : reports.get(watcher).suspicions()) {
            if (suspicion.node().equals(node)) {
                return suspicion.cause();
            }
        }
        return SuspicionCause.SILENT;
    }

    /** Takes back what would be ruled anew beyond the bounds. */
    private static void suppressWhenMany(Collection<Subject> subjects, Map<String, HealthChange> healthChanges) {
        int timedOut = 0;
        Map<String, Integer> ready = new HashMap<>();
        Map<String, Integer> taken = new HashMap<>();
        for (Subject subject : subjects) {
            HealthChange change = healthChanges.get(subject.node());
            if (change.health().isUnavailable() || change.health() == Health.UNSEEN) {
                timedOut++;
            }
            if (subject.ready()) {
                ready.merge(subject.service(), 1, Integer::sum);
                if (change.health().isUnavailable() && change.before().isUnavailable()) {
                    taken.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
        boolean many = 2 * timedOut > subjects.size();
        for (Subject subject : subjects) {
            HealthChange change = healthChanges.get(subject.node());
            if (change.health().isUnavailable() && !change.before().isUnavailable()) {
                int left = ready.getOrDefault(subject.service(), 0) / 2 - taken.getOrDefault(subject.service(), 0);
                if (many || subject.ready() && left <= 0) {
                    healthChanges.put(
                            subject.node(),
                            new HealthChange(
                                    subject.node(),
                                    change.before(),
                                    Health.UNSEEN,
                                    change.suspecting(),
                                    change.watchers()));
                } else if (subject.ready()) {
                    taken.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
    }
}
