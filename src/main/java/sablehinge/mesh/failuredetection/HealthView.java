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
 * Joins what watchers accuse others of with what the one who keeps the roll hears itself, and rules who is off. It
 * takes both: who is heard by the keeper, or by half of its watchers that the keeper hears, is not off, so one that is
 * cut off accuses nobody. Where more than half of all are silent and no watcher hears them, the fault is likelier with
 * those who look: nothing new is ruled then. Nor is ever more than half of a service's ready upstreams taken away. Who
 * is off is so until the keeper hears it again, or none of its watchers accuses it. Times are in ms of a steady clock.
 */
public final class HealthView {

    /**
     * Silence after which the keeper doesn't hear one: each asks it again when it was answered, which is after 400 ms
     * at the latest.
     */
    static final double SILENT_MS = 900;

    private final Map<String, PeerReport> voices = new HashMap<>();
    private final Map<String, Health> ruled = new HashMap<>();
    private HashRing hashRing = new HashRing(Map.of());
    private Map<String, String> zones = Map.of();

    private double begunAt = Double.NEGATIVE_INFINITY;

    private record PeerReport(double at, List<Suspicion> accusations) {}

    /**
     * One on the roll whose upstream is known.
     *
     * @param ready whether it says itself that it takes new requests
     */
    public record Subject(String node, String zone, String service, boolean ready) {}

    /**
     * What is known of one has changed.
     *
     * @param accusers of its watchers in touch, those who don't hear it
     * @param watchers of it that the keeper hears
     */
    public record HealthChange(String node, Health before, Health health, int accusers, int watchers) {}

    /** Forgets all: another term of the keeper has begun, and all have time to be heard by it. */
    public void begin(double now) {
        begunAt = now;
        voices.clear();
        ruled.clear();
    }

    /** The keeper hears one, and whom it accuses now. */
    public void heard(double now, String node, List<Suspicion> accusations) {
        voices.put(node, new PeerReport(now, List.copyOf(accusations)));
    }

    /** What is known of one. */
    public Health health(String node) {
        return ruled.getOrDefault(node, Health.WELL);
    }

    /** Rules on all that are on the roll now; returns what has changed. */
    public List<HealthChange> judge(double now, Collection<Subject> subjects) {
        Map<String, String> present = new HashMap<>();
        subjects.forEach(subject -> present.put(subject.node(), subject.zone()));
        if (!present.equals(zones)) {
            zones = present;
            hashRing = new HashRing(present);
            ruled.keySet().retainAll(present.keySet());
        }
        Map<String, Set<String>> accusers = new HashMap<>();
        voices.forEach((watcher, voice) -> {
            if (now - voice.at() <= SILENT_MS) {
                voice.accusations()
                        .forEach(accusation -> accusers.computeIfAbsent(accusation.node(), node -> new HashSet<>())
                                .add(watcher));
            }
        });
        Map<String, HealthChange> rulings = new LinkedHashMap<>();
        for (Subject subject : subjects) {
            rulings.put(subject.node(), assess(now, subject.node(), accusers.getOrDefault(subject.node(), Set.of())));
        }
        hold(subjects, rulings);
        List<HealthChange> changed = new ArrayList<>();
        rulings.values().forEach(ruling -> {
            if (ruling.health() != ruling.before()) {
                ruled.put(ruling.node(), ruling.health());
                changed.add(ruling);
            }
        });
        voices.keySet().removeIf(node -> now - voices.get(node).at() > SILENT_MS && !present.containsKey(node));
        return changed;
    }

    private boolean hears(double now, String node) {
        PeerReport voice = voices.get(node);
        return now - (voice == null ? begunAt : voice.at()) <= SILENT_MS;
    }

    private HealthChange assess(double now, String node, Set<String> accusedBy) {
        Health before = health(node);
        boolean heard = hears(now, node);
        if (heard && accusedBy.isEmpty()) {
            return new HealthChange(node, before, Health.WELL, 0, 0);
        }
        int watchers = 0;
        int accusers = 0;
        SuspicionCause gravest = SuspicionCause.SILENT;
        for (String watcher : hashRing.watchers(node)) {
            if (hears(now, watcher)) {
                watchers++;
                if (accusedBy.contains(watcher)) {
                    accusers++;
                    SuspicionCause evidence = evidence(watcher, node);
                    gravest = evidence.compareTo(gravest) > 0 ? evidence : gravest;
                }
            }
        }
        Health health;
        if (heard) {
            health = accusers == 0 ? Health.WELL : Health.CUT_FROM_SOME;
        } else if (before.isOff() && (watchers == 0 || accusers > 0)) {
            // A watcher that is new to it has not had the time to accuse it, and is no sign of life.
            health = before;
        } else if (watchers == 0) {
            health = Health.UNSEEN;
        } else if (2 * accusers <= watchers) {
            health = Health.CUT_FROM_CORE;
        } else {
            health = switch (gravest) {
                case RESET -> Health.DEAD;
                case FROZEN -> Health.FROZEN;
                case SILENT -> Health.LOST;
            };
        }
        return new HealthChange(node, before, health, accusers, watchers);
    }

    private SuspicionCause evidence(String watcher, String node) {
        for (Suspicion accusation : voices.get(watcher).accusations()) {
            if (accusation.node().equals(node)) {
                return accusation.evidence();
            }
        }
        return SuspicionCause.SILENT;
    }

    /** Takes back what would be ruled anew beyond the bounds. */
    private static void hold(Collection<Subject> subjects, Map<String, HealthChange> rulings) {
        int silent = 0;
        Map<String, Integer> ready = new HashMap<>();
        Map<String, Integer> taken = new HashMap<>();
        for (Subject subject : subjects) {
            HealthChange ruling = rulings.get(subject.node());
            if (ruling.health().isOff() || ruling.health() == Health.UNSEEN) {
                silent++;
            }
            if (subject.ready()) {
                ready.merge(subject.service(), 1, Integer::sum);
                if (ruling.health().isOff() && ruling.before().isOff()) {
                    taken.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
        boolean many = 2 * silent > subjects.size();
        for (Subject subject : subjects) {
            HealthChange ruling = rulings.get(subject.node());
            if (ruling.health().isOff() && !ruling.before().isOff()) {
                int left = ready.getOrDefault(subject.service(), 0) / 2 - taken.getOrDefault(subject.service(), 0);
                if (many || subject.ready() && left <= 0) {
                    rulings.put(
                            subject.node(),
                            new HealthChange(
                                    subject.node(),
                                    ruling.before(),
                                    Health.UNSEEN,
                                    ruling.accusers(),
                                    ruling.watchers()));
                } else if (subject.ready()) {
                    taken.merge(subject.service(), 1, Integer::sum);
                }
            }
        }
    }
}
