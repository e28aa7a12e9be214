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
 * Answers the long polls of data-plane balancers: at once if there is an update, otherwise after a timeout. It decides
 * when to answer and with what; the leader of the core runs it.
 *
 * @param <K> the key of a subscriber's connection
 */
public final class WatchServer<K> {

    /** The long-poll timeout: how long a request waits for an update. */
    private static final double LONG_POLL_MS = 400;
    /** The interval between evaluations of the balancers' health. */
    private static final double EVALUATION_INTERVAL_MS = 40;
    /**
     * The minimum interval between configurations for one subscriber while many follow in succession; the first two of
     * them are sent at once. Reading a configuration of thousands of routes takes a host with few cores a large part of
     * a second.
     */
    private static final double MIN_CONFIGURATION_INTERVAL_MS = 1_000;

    private static final byte[] NO_CONFIGURATION = new byte[0];

    private final Registry registry;
    private final HealthView healthView = new HealthView();
    private final Map<K, Subscriber> subscribers = new LinkedHashMap<>();
    private final List<HealthView.HealthChange> healthChanges = new ArrayList<>();
    private double evaluatedAtMs = Double.NEGATIVE_INFINITY;
    private long term;
    private long edition;
    private byte[] body = NO_CONFIGURATION;
    private List<String> memberAddresses = List.of();

    private static final class Subscriber {
        WatchRequest request;
        double requestedAtMs;
        boolean pending;
        boolean confirmed;
        boolean sentComplete;
        /** When the sent configurations are used up at a rate of one per {@link #MIN_CONFIGURATION_INTERVAL_MS}. */
        double configurationQuotaUntilMs = Double.NEGATIVE_INFINITY;

        boolean mayReceiveConfiguration(double now) {
            return request.confirm() || configurationQuotaUntilMs - now <= MIN_CONFIGURATION_INTERVAL_MS;
        }

        void recordConfigurationSent(double now) {
            double before = Math.min(Math.max(now, configurationQuotaUntilMs), now + MIN_CONFIGURATION_INTERVAL_MS);
            configurationQuotaUntilMs = before + MIN_CONFIGURATION_INTERVAL_MS;
        }
    }

    /** An update and the subscriber that it is for. */
    public record Delivery<K>(K to, Update update) {}

    /** A server for a registry, which the server maintains. */
    public WatchServer(Registry registry) {
        this.registry = registry;
    }

    /** Starts to answer as the leader of a term, with the committed configuration. */
    public void startTerm(double now, long newTerm) {
        term = newTerm;
        subscribers.clear();
        registry.reset(now);
        healthView.startTerm(now);
    }

    /**
     * Sets the committed configuration, packed by {@link PackedConfiguration}, and the addresses at which the members
     * of the core accept records.
     */
    public void configurationChanged(long newEdition, byte[] newBody, List<String> members) {
        edition = newEdition;
        body = newBody;
        memberAddresses = List.copyOf(members);
    }

    /** Handles a request. If it requires a confirmation, {@link #confirmed} must follow before it is answered. */
    public void handleRequest(double now, K from, WatchRequest request) {
        Subscriber subscriber = subscribers.computeIfAbsent(from, key -> new Subscriber());
        subscriber.request = request;
        subscriber.requestedAtMs = now;
        subscriber.pending = true;
        subscriber.confirmed = false;
        request.vouched().forEach(registration -> recordReport(now, registration));
        registry.register(now, request.registration());
        healthView.onHeartbeat(now, request.registration().node(), request.suspicions());
    }

    private void recordReport(double now, Registration reported) {
        if (reported.isLeaving()) {
            registry.recordDeparture(now, reported);
        } else {
            registry.recordPeerReport(now, reported);
        }
    }

    /** Confirms a request: everything committed before it arrived was passed to {@link #configurationChanged}. */
    public void confirmed(K subscriber, int number) {
        Subscriber entry = subscribers.get(subscriber);
        if (entry != null && entry.request.number() == number) {
            entry.confirmed = true;
        }
    }

    /** Removes a subscriber whose connection has closed. */
    public void removeSubscriber(K subscriber) {
        subscribers.remove(subscriber);
    }

    /** The current subscribers. */
    public Collection<K> subscribers() {
        return List.copyOf(subscribers.keySet());
    }

    /** The updates that are due. */
    public List<Delivery<K>> dueDeliveries(double now) {
        if (now - evaluatedAtMs >= EVALUATION_INTERVAL_MS) {
            evaluatedAtMs = now;
            evaluate(now);
        }
        registry.expire(now);
        Round round = new Round(now);
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

    /** The values that all updates of one call share, computed once for all subscribers. */
    private final class Round {
        private final double now;
        private final boolean complete;
        private final int quotaSharers;
        private final Map<Long, List<Registration>> since = new HashMap<>();

        Round(double now) {
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

    /** The changes of balancers' health since the last call. */
    public List<HealthView.HealthChange> healthChanges() {
        List<HealthView.HealthChange> drained = List.copyOf(healthChanges);
        healthChanges.clear();
        return drained;
    }

    private Update update(Round round, Subscriber subscriber) {
        WatchRequest request = subscriber.request;
        boolean complete = round.complete;
        boolean full = request.term() != term || complete && !subscriber.sentComplete;
        boolean hasNewerEdition = request.edition() < edition && subscriber.mayReceiveConfiguration(round.now);
        boolean changed = full || request.stamp() < registry.stamp();
        boolean withinLongPoll = round.now - subscriber.requestedAtMs < LONG_POLL_MS;
        if (request.confirm() && !subscriber.confirmed
                || !hasNewerEdition && !changed && !request.confirm() && withinLongPoll) {
            return null;
        }
        subscriber.pending = false;
        subscriber.sentComplete |= complete;
        if (hasNewerEdition) {
            subscriber.recordConfigurationSent(round.now);
        }
        return new Update(
                request.number(),
                subscriber.confirmed,
                edition,
                hasNewerEdition ? body : NO_CONFIGURATION,
                term,
                registry.stamp(),
                full,
                complete,
                round.quotaSharers,
                changed ? round.since(full ? 0 : request.stamp()) : List.of(),
                memberAddresses);
    }
}
