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
 * Answers the long polls of data-plane balancers: at once where there is an update, and after a while where there is
 * none. It decides when and with what; whoever leads the core keeps one.
 *
 * @param <K> what names an asker's connection
 */
public final class WatchServer<K> {

    /** How long a request without an update is held, ms. */
    private static final double LONG_POLL_MS = 400;
    /** How often it is ruled on who is off, in ms. */
    private static final double EVALUATION_INTERVAL_MS = 40;
    /**
     * How often one subscriber is sent a configuration while many come in succession, ms; the first two of them are
     * sent at once. Reading one of thousands of routes takes a narrow machine a good part of a second.
     */
    private static final double MIN_CONFIGURATION_INTERVAL_MS = 1_000;

    private static final byte[] NONE = new byte[0];

    private final Registry registry;
    private final HealthView healthView = new HealthView();
    private final Map<K, Subscriber> subscribers = new LinkedHashMap<>();
    private final List<HealthView.HealthChange> healthChanges = new ArrayList<>();
    private double evaluatedAt = Double.NEGATIVE_INFINITY;
    private long term;
    private long edition;
    private byte[] body = NONE;
    private List<String> core = List.of();

    private static final class Subscriber {
        WatchRequest request;
        double requestedAt;
        boolean pending;
        boolean confirmed;
        boolean sentComplete;
        /** Until when the configurations that it was sent would have lasted, in ms, at that many a second. */
        double configurationQuotaUntil = Double.NEGATIVE_INFINITY;

        boolean mayHaveConfiguration(double now) {
            return request.confirm() || configurationQuotaUntil - now <= MIN_CONFIGURATION_INTERVAL_MS;
        }

        void hasConfiguration(double now) {
            double before = Math.min(Math.max(now, configurationQuotaUntil), now + MIN_CONFIGURATION_INTERVAL_MS);
            configurationQuotaUntil = before + MIN_CONFIGURATION_INTERVAL_MS;
        }
    }

    /** An update and the subscriber that it is for. */
    public record Delivery<K>(K to, Update update) {}

    /** A server of updates over a registry, which it maintains. */
    public WatchServer(Registry registry) {
        this.registry = registry;
    }

    /** Begins to answer as the leader of a term; the configuration is what is committed. */
    public void startTerm(double now, long asLeaderOf) {
        term = asLeaderOf;
        subscribers.clear();
        registry.reset(now);
        healthView.startTerm(now);
    }

    /**
     * The committed configuration as {@link PackedConfiguration} packs it, and where the members of the core take
     * records.
     */
    public void configurationChanged(long newest, byte[] newestBody, List<String> members) {
        edition = newest;
        body = newestBody;
        core = List.copyOf(members);
    }

    /** A request has come; its confirmation, if it wants one, comes by {@link #confirmed}. */
    public void handleRequest(double now, K from, WatchRequest request) {
        Subscriber subscriber = subscribers.computeIfAbsent(from, key -> new Subscriber());
        subscriber.request = request;
        subscriber.requestedAt = now;
        subscriber.pending = true;
        subscriber.confirmed = false;
        registry.register(now, request.registration());
        request.vouched().forEach(registration -> registry.recordPeerReport(now, registration));
        healthView.onHeartbeat(now, request.registration().node(), request.suspicions());
    }

    /** All that was committed before an ask came is in {@link #configurationChanged} by now. */
    public void confirmed(K subscriber, int number) {
        Subscriber one = subscribers.get(subscriber);
        if (one != null && one.request.number() == number) {
            one.confirmed = true;
        }
    }

    /** An asker has gone. */
    public void removeSubscriber(K subscriber) {
        subscribers.remove(subscriber);
    }

    /** The subscribers to redirect, as this server answers no more. */
    public Collection<K> subscribers() {
        return List.copyOf(subscribers.keySet());
    }

    /** The answers that are due. */
    public List<Delivery<K>> dueDeliveries(double now) {
        if (now - evaluatedAt >= EVALUATION_INTERVAL_MS) {
            evaluatedAt = now;
            evaluate(now);
        }
        registry.expire(now);
        Snapshot round = new Snapshot(now);
        List<Delivery<K>> dueDeliveries = new ArrayList<>();
        for (Map.Entry<K, Subscriber> entry : subscribers.entrySet()) {
            Subscriber subscriber = entry.getValue();
            if (subscriber.pending) {
                Update update = update(round, subscriber);
                if (update != null) {
                    dueDeliveries.add(new Delivery<>(entry.getKey(), update));
                }
            }
        }
        return dueDeliveries;
    }

    /** What answers of one moment share: with many askers it is found once for all of them. */
    private final class Snapshot {
        private final double now;
        private final boolean complete;
        private final int quotaSharers;
        private final Map<Long, List<Registration>> since = new HashMap<>();

        Snapshot(double now) {
            this.now = now;
            complete = registry.isComplete(now);
            quotaSharers = registry.quotaSharers();
        }

        List<Registration> since(long stamp) {
            return since.computeIfAbsent(stamp, known -> List.copyOf(registry.since(known)));
        }
    }

    private void evaluate(double now) {
        List<HealthView.Subject> subjects = new ArrayList<>();
        List<Registration> present = registry.withUpstream();
        present.forEach(registration -> subjects.add(new HealthView.Subject(
                registration.node(), registration.zone(), registration.service(), registration.ready())));
        List<HealthView.HealthChange> changed = healthView.evaluate(now, subjects);
        changed.forEach(
                change -> registry.setEjected(change.node(), change.health().isUnavailable()));
        for (Registration registration : present) {
            if (healthView.health(registration.node()) == Health.CUT_FROM_CORE) {
                registry.recordPeerReport(now, registration);
            }
        }
        healthChanges.addAll(changed);
    }

    /** Changes of peers' health since the last call. */
    public List<HealthView.HealthChange> healthChanges() {
        List<HealthView.HealthChange> latest = List.copyOf(healthChanges);
        healthChanges.clear();
        return latest;
    }

    private Update update(Snapshot round, Subscriber subscriber) {
        WatchRequest request = subscriber.request;
        boolean complete = round.complete;
        boolean full = request.term() != term || complete && !subscriber.sentComplete;
        boolean newer = request.edition() < edition && subscriber.mayHaveConfiguration(round.now);
        boolean changed = full || request.stamp() < registry.stamp();
        boolean held = round.now - subscriber.requestedAt < LONG_POLL_MS;
        if (request.confirm() && !subscriber.confirmed || !newer && !changed && !request.confirm() && held) {
            return null;
        }
        subscriber.pending = false;
        subscriber.sentComplete |= complete;
        if (newer) {
            subscriber.hasConfiguration(round.now);
        }
        return new Update(
                request.number(),
                subscriber.confirmed,
                edition,
                newer ? body : NONE,
                term,
                registry.stamp(),
                full,
                complete,
                round.quotaSharers,
                changed ? round.since(full ? 0 : request.stamp()) : List.of(),
                core);
    }
}
