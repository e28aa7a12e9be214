package sablehinge.controlplane.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sablehinge.mesh.watch.Departures;
import sablehinge.mesh.watch.Registration;

/**
 * The data-plane balancers with their upstreams, as last registered with the leader. The registry is neither replicated
 * nor on disk, since all balancers register again with the next leader. Each entry has the stamp of its last change, so
 * that a reader that knows the changes up to a stamp can request the later ones. An ejected balancer is published as
 * not ready until it registers again.
 *
 * <p>An upstream that has announced that it leaves is never published as ready again, whatever its balancer registers:
 * the process that acknowledged the announcement may have been replaced by one that does not know of it.
 */
public final class Registry {

    private final double expiryMs;
    private final double completeAfterMs;
    private final Map<String, Row> rows = new HashMap<>();
    /** Marked with the stamps at which they were recorded. */
    private final Departures departures = new Departures();

    private long stamp;
    private double resetAt = Double.NaN;

    private static final class Row {
        Registration registration;
        long stamp;
        double lastContactAt;
        boolean ejected;
        /** Whether the balancer stopped registering while it was ready, without having announced that it leaves. */
        boolean lost;

        Registration published() {
            return ejected
                    ? new Registration(
                            registration.node(),
                            registration.zone(),
                            registration.inbound(),
                            registration.service(),
                            registration.upstream(),
                            false,
                            registration.berths(),
                            registration.warmUpMs())
                    : registration;
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param completeAfterMs time after a reset, in ms, within which every live balancer has registered
     * @param expiryMs time without a registration, in ms, after which a balancer counts as gone
     */
    public Registry(double completeAfterMs, double expiryMs) {
        this.completeAfterMs = completeAfterMs;
        this.expiryMs = expiryMs;
    }

    /** Removes all entries and restarts the time until the registry is complete. */
    public void reset(double now) {
        rows.clear();
        departures.clear();
        stamp = 0;
        resetAt = now;
    }

    /** Registers a balancer; returns whether its entry has changed. */
    public boolean register(double now, Registration registered) {
        Registration registration = withDeparture(registered);
        Row row = rows.computeIfAbsent(registration.node(), node -> new Row());
        row.lastContactAt = now;
        boolean changed =
                row.ejected || row.registration == null || !equalsIgnoringWarmUp(row.registration, registration);
        row.ejected = false;
        row.lost = false;
        if (changed) {
            row.registration = registration;
            row.stamp = ++stamp;
        }
        return changed;
    }

    private Registration withDeparture(Registration registration) {
        return departures.contains(registration.upstream()) ? registration.leaving() : registration;
    }

    /** Compares without the remaining warm-up time, which runs down by itself and counts as no change. */
    private static boolean equalsIgnoringWarmUp(Registration a, Registration b) {
        return a.upstream().equals(b.upstream())
                && a.ready() == b.ready()
                && a.inbound().equals(b.inbound())
                && a.service().equals(b.service())
                && a.berths() == b.berths()
                && a.zone().equals(b.zone());
    }

    /**
     * Records that peers receive messages of a balancer that does not register here, so that its entry does not expire.
     * If the balancer has never registered, it is added as its peers know it.
     */
    public void recordPeerReport(double now, Registration registration) {
        Row row = rows.computeIfAbsent(registration.node(), node -> new Row());
        row.lastContactAt = now;
        if (row.registration == null) {
            row.registration = withDeparture(registration);
            row.stamp = ++stamp;
        }
    }

    /** Records that an upstream has announced that it leaves. */
    public void recordDeparture(double now, Registration leaving) {
        if (!departures.record(now, leaving)) {
            return;
        }
        departures.mark(leaving.upstream(), ++stamp);
        Row row = rows.get(leaving.node());
        if (row != null && row.registration.upstream().equals(leaving.upstream())) {
            row.registration = row.registration.leaving();
            row.stamp = ++stamp;
        }
    }

    /** Ejects a balancer or revokes its ejection: an ejected balancer gets no new requests, whatever it registered. */
    public void setEjected(String node, boolean ejected) {
        Row row = rows.get(node);
        if (row != null && row.ejected != ejected) {
            row.ejected = ejected;
            row.stamp = ++stamp;
        }
    }

    /** The balancers whose upstream is known, as they registered. */
    public List<Registration> withUpstream() {
        List<Registration> withUpstream = new ArrayList<>(rows.size());
        for (Row row : rows.values()) {
            if (!row.registration.upstream().isEmpty()) {
                withUpstream.add(row.registration);
            }
        }
        return withUpstream;
    }

    /**
     * This process was paused for some time until now. Registrations that were sent in the meantime are still in its
     * buffers, so the pause does not count towards the expiry of any balancer.
     */
    public void processPaused(double now, double pausedMs) {
        rows.values().forEach(row -> row.lastContactAt = Math.min(now, row.lastContactAt + pausedMs));
    }

    /** Removes the upstreams of balancers whose registration has expired; returns whether there was one. */
    public boolean expire(double now) {
        boolean changed = false;
        for (Row row : rows.values()) {
            Registration known = row.registration;
            if (now - row.lastContactAt > expiryMs && !known.upstream().isEmpty()) {
                row.registration =
                        new Registration(known.node(), known.zone(), known.inbound(), known.service(), "", false, 0, 0);
                row.lost = known.ready();
                row.stamp = ++stamp;
                changed = true;
            }
        }
        rows.values().removeIf(row -> now - row.lastContactAt > 4 * expiryMs);
        departures.expire(now);
        return changed;
    }

    /** The stamp of the last change. */
    public long stamp() {
        return stamp;
    }

    /** Whether every live balancer has had time to register, so that a balancer without an entry is gone. */
    public boolean isComplete(double now) {
        return now - resetAt >= completeAfterMs;
    }

    /**
     * The registrations that changed after a stamp, in the order of the changes. They follow the upstreams that were
     * recorded after the stamp as leaving and that the present entries of their balancers don't show: all balancers
     * must learn of these, so that the next leader is told even if this one and the process that reported them are
     * lost. The last registration of a balancer is its present entry.
     */
    public List<Registration> since(long knownStamp) {
        List<Registration> changes = new ArrayList<>();
        Set<String> nodes = new HashSet<>();
        for (Registration leaving : departures.withMark(mark -> mark > knownStamp)) {
            Row row = rows.get(leaving.node());
            if (row == null || !row.registration.upstream().equals(leaving.upstream())) {
                changes.add(leaving);
                nodes.add(leaving.node());
            }
        }
        List<Row> changed = new ArrayList<>();
        rows.forEach((node, row) -> {
            if (row.stamp > knownStamp || nodes.contains(node)) {
                changed.add(row);
            }
        });
        changed.sort(Comparator.comparingLong(row -> row.stamp));
        changed.forEach(row -> changes.add(row.published()));
        return changes;
    }

    /**
     * A balancer in the registry.
     *
     * @param sinceLastMessageMs time since its last registration
     * @param gone whether the registration has expired
     */
    public record Entry(Registration registration, double sinceLastMessageMs, boolean gone) {}

    /** All balancers, ordered by the name of the node. */
    public List<Entry> entries(double now) {
        List<Entry> entries = new ArrayList<>(rows.size());
        rows.values()
                .forEach(row -> entries.add(
                        new Entry(row.registration, now - row.lastContactAt, now - row.lastContactAt > expiryMs)));
        entries.sort(Comparator.comparing(entry -> entry.registration().node()));
        return entries;
    }

    /**
     * The number of balancers among which a quota is divided. It includes those that stopped registering without having
     * left, until their entries are removed: a balancer that is cut off still uses its share, so that no other balancer
     * may have it in the meantime.
     */
    public int quotaSharers() {
        int quotaSharers = 0;
        for (Row row : rows.values()) {
            quotaSharers += row.registration.upstream().isEmpty() && !row.lost ? 0 : 1;
        }
        return Math.max(1, quotaSharers);
    }

    /** The number of balancers whose registration has not expired, at least 1. */
    public int size() {
        int alive = 0;
        for (Row row : rows.values()) {
            alive += row.registration.upstream().isEmpty() ? 0 : 1;
        }
        return Math.max(1, alive);
    }
}
