package sablehinge.controlplane.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.failuredetection.Health;
import sablehinge.mesh.failuredetection.HealthView;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;

/**
 * Answers data-plane balancers that ask for news: at once where there is some, and after a while where there is none.
 * It decides when and with what; whoever leads the core keeps one.
 *
 * @param <K> what names an asker's connection
 */
public final class WatchServer<K> {

    /** How long an ask without news is held, in ms. */
    private static final double HELD_MS = 400;
    /** How often it is ruled on who is off, in ms. */
    private static final double JUDGE_MS = 40;
    /**
     * How often one asker is sent a configuration while many come in succession, in ms; the first two of them are told
     * at once. Reading one of thousands of routes takes a narrow machine a good part of a second.
     */
    private static final double CONFIGURATION_EVERY_MS = 1_000;

    private static final byte[] NONE = new byte[0];

    private final Registry registry;
    private final HealthView healthView = new HealthView();
    private final Map<K, Subscriber> askers = new LinkedHashMap<>();
    private final List<HealthView.HealthChange> rulings = new ArrayList<>();
    private double judgedAt = Double.NEGATIVE_INFINITY;
    private long term;
    private long edition;
    private byte[] body = NONE;
    private List<String> core = List.of();

    private static final class Subscriber {
        WatchRequest request;
        double askedAt;
        boolean waits;
        boolean confirmed;
        boolean toldComplete;
        /** Until when the configurations that it was sent would have lasted, in ms, at that many a second. */
        double suppliedUntil = Double.NEGATIVE_INFINITY;

        boolean mayHaveConfiguration(double now) {
            return request.confirm() || suppliedUntil - now <= CONFIGURATION_EVERY_MS;
        }

        void hasConfiguration(double now) {
            double before = Math.min(Math.max(now, suppliedUntil), now + CONFIGURATION_EVERY_MS);
            suppliedUntil = before + CONFIGURATION_EVERY_MS;
        }
    }

    /** An answer for whoever asked. */
    public record Delivery<K>(K to, Update update) {}

    /** A desk over a roll, which it keeps up. */
    public WatchServer(Registry registry) {
        this.registry = registry;
    }

    /** Begins to answer as the leader of a term; the configuration is what is committed. */
    public void begin(double now, long asLeaderOf) {
        term = asLeaderOf;
        askers.clear();
        registry.begin(now);
        healthView.begin(now);
    }

    /**
     * The committed configuration as {@link PackedConfiguration} packs it, and where the members of the core take
     * records.
     */
    public void holds(long newest, byte[] newestBody, List<String> members) {
        edition = newest;
        body = newestBody;
        core = List.copyOf(members);
    }

    /** An ask has come; its confirmation, if it wants one, is told by {@link #confirmed}. */
    public void asked(double now, K from, WatchRequest request) {
        Subscriber asker = askers.computeIfAbsent(from, key -> new Subscriber());
        asker.request = request;
        asker.askedAt = now;
        asker.waits = true;
        asker.confirmed = false;
        registry.told(now, request.registration());
        request.vouched().forEach(registration -> registry.vouched(now, registration));
        healthView.heard(now, request.registration().node(), request.accusations());
    }

    /** All that was committed before an ask came is in {@link #holds} by now. */
    public void confirmed(K asker, int number) {
        Subscriber one = askers.get(asker);
        if (one != null && one.request.number() == number) {
            one.confirmed = true;
        }
    }

    /** An asker has gone. */
    public void gone(K asker) {
        askers.remove(asker);
    }

    /** Who is to be told elsewhere, as this one answers no more. */
    public Collection<K> askers() {
        return List.copyOf(askers.keySet());
    }

    /** The answers that are due. */
    public List<Delivery<K>> due(double now) {
        if (now - judgedAt >= JUDGE_MS) {
            judgedAt = now;
            judge(now);
        }
        registry.expire(now);
        Snapshot round = new Snapshot(now);
        List<Delivery<K>> due = new ArrayList<>();
        for (Map.Entry<K, Subscriber> entry : askers.entrySet()) {
            Subscriber asker = entry.getValue();
            if (asker.waits) {
                Update update = update(round, asker);
                if (update != null) {
                    due.add(new Delivery<>(entry.getKey(), update));
                }
            }
        }
        return due;
    }

    /** What answers of one moment share: with many askers it is found once for all of them. */
    private final class Snapshot {
        private final double now;
        private final boolean complete;
        private final int sharers;
        private final Map<Long, List<Registration>> since = new HashMap<>();

        Snapshot(double now) {
            this.now = now;
            complete = registry.isComplete(now);
            sharers = registry.sharers();
        }

        List<Registration> since(long stamp) {
            return since.computeIfAbsent(stamp, known -> List.copyOf(registry.since(known)));
        }
    }

    private void judge(double now) {
        List<HealthView.Subject> subjects = new ArrayList<>();
        List<Registration> present = registry.present();
        present.forEach(registration -> subjects.add(new HealthView.Subject(
                registration.node(), registration.zone(), registration.service(), registration.ready())));
        List<HealthView.HealthChange> changed = healthView.judge(now, subjects);
        changed.forEach(ruling -> registry.rule(ruling.node(), ruling.health().isOff()));
        for (Registration registration : present) {
            if (healthView.health(registration.node()) == Health.CUT_FROM_CORE) {
                registry.vouched(now, registration);
            }
        }
        rulings.addAll(changed);
    }

    /** What has changed of who is heard, since this was asked last. */
    public List<HealthView.HealthChange> rulings() {
        List<HealthView.HealthChange> latest = List.copyOf(rulings);
        rulings.clear();
        return latest;
    }

    private Update update(Snapshot round, Subscriber asker) {
        WatchRequest request = asker.request;
        boolean complete = round.complete;
        boolean whole = request.term() != term || complete && !asker.toldComplete;
        boolean newer = request.edition() < edition && asker.mayHaveConfiguration(round.now);
        boolean changed = whole || request.stamp() < registry.stamp();
        boolean held = round.now - asker.askedAt < HELD_MS;
        if (request.confirm() && !asker.confirmed || !newer && !changed && !request.confirm() && held) {
            return null;
        }
        asker.waits = false;
        asker.toldComplete |= complete;
        if (newer) {
            asker.hasConfiguration(round.now);
        }
        return new Update(
                request.number(),
                asker.confirmed,
                edition,
                newer ? body : NONE,
                term,
                registry.stamp(),
                whole,
                complete,
                round.sharers,
                changed ? round.since(whole ? 0 : request.stamp()) : List.of(),
                core);
    }
}
