package sablehinge.controlplane.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sablehinge.mesh.watch.Registration;

/**
 * Which data-plane balancers there are, and what is beside them: as they last registered with the leader. It is neither
 * replicated nor on disk, since each of them registers anew with the next leader. Each entry has the stamp of its last
 * change, so that a reader of all up to a stamp gets what came after. An ejected balancer is published as not ready
 * until it registers again.
 */
public final class Registry {

    private final double expiryMs;
    private final double completeAfterMs;
    private final Map<String, Row> rows = new HashMap<>();
    private long stamp;
    private double beganAt = Double.NaN;

    private static final class Row {
        Registration registration;
        long stamp;
        double heardAt;
        boolean ejected;
        /** Whether it stopped registering while it took new requests, and has not announced that it leaves. */
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
     * An empty registry.
     *
     * @param completeAfterMs ms after its reset until which every live balancer has registered
     * @param expiryMs ms without a word after which one counts as gone
     */
    public Registry(double completeAfterMs, double expiryMs) {
        this.completeAfterMs = completeAfterMs;
        this.expiryMs = expiryMs;
    }

    /** Forgets all, and is kept anew from now on. */
    public void reset(double now) {
        rows.clear();
        stamp = 0;
        beganAt = now;
    }

    /** A balancer registers; true if that changes something. */
    public boolean register(double now, Registration registration) {
        Row row = rows.computeIfAbsent(registration.node(), node -> new Row());
        row.heardAt = now;
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

    /** The rest of the warm-up passes by itself, and is no change. */
    private static boolean equalsIgnoringWarmUp(Registration one, Registration other) {
        return one.upstream().equals(other.upstream())
                && one.ready() == other.ready()
                && one.inbound().equals(other.inbound())
                && one.service().equals(other.service())
                && one.berths() == other.berths()
                && one.zone().equals(other.zone());
    }

    /** Peers hear a balancer that does not register here: it stays, as they know it where it never registered. */
    public void recordPeerReport(double now, Registration registration) {
        Row row = rows.computeIfAbsent(registration.node(), node -> new Row());
        row.heardAt = now;
        if (row.registration == null) {
            row.registration = registration;
            row.stamp = ++stamp;
        }
    }

    /** Ejects a balancer, or takes that back: nothing new is sent to an ejected one, whatever it registered. */
    public void setEjected(String node, boolean ejected) {
        Row row = rows.get(node);
        if (row != null && row.ejected != ejected) {
            row.ejected = ejected;
            row.stamp = ++stamp;
        }
    }

    /** Those whose upstream is known, as they registered. */
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
     * This process stood still for some ms until now: what was sent to it meanwhile waits in its buffers, so that this
     * time counts against nobody.
     */
    public void processPaused(double now, double ms) {
        rows.values().forEach(row -> row.heardAt = Math.min(now, row.heardAt + ms));
    }

    /** Drops the upstreams of balancers that have not registered for long; true if there was one. */
    public boolean expire(double now) {
        boolean changed = false;
        for (Row row : rows.values()) {
            Registration known = row.registration;
            if (now - row.heardAt > expiryMs && !known.upstream().isEmpty()) {
                row.registration =
                        new Registration(known.node(), known.zone(), known.inbound(), known.service(), "", false, 0, 0);
                row.lost = known.ready();
                row.stamp = ++stamp;
                changed = true;
            }
        }
        rows.values().removeIf(row -> now - row.heardAt > 4 * expiryMs);
        return changed;
    }

    /** The stamp of the last change. */
    public long stamp() {
        return stamp;
    }

    /** Whether every live balancer has had the time to register: one that is not in it is gone. */
    public boolean isComplete(double now) {
        return now - beganAt >= completeAfterMs;
    }

    /** What changed after a stamp, in the order of the changes. */
    public List<Registration> since(long known) {
        List<Row> later = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.stamp > known) {
                later.add(row);
            }
        }
        later.sort(Comparator.comparingLong(row -> row.stamp));
        List<Registration> changes = new ArrayList<>(later.size());
        later.forEach(row -> changes.add(row.published()));
        return changes;
    }

    /**
     * A balancer in the registry.
     *
     * @param sinceLastMessageMs since it last registered
     * @param gone whether that is so long that it counts as gone
     */
    public record Entry(Registration registration, double sinceLastMessageMs, boolean gone) {}

    /** All balancers, in the order of the nodes' names. */
    public List<Entry> entries(double now) {
        List<Entry> lines = new ArrayList<>(rows.size());
        rows.values()
                .forEach(
                        row -> lines.add(new Entry(row.registration, now - row.heardAt, now - row.heardAt > expiryMs)));
        lines.sort(Comparator.comparing(line -> line.registration().node()));
        return lines;
    }

    /**
     * Balancers among which a quota is divided: also those that stopped registering without having left, until they are
     * forgotten. One that is cut off goes on with its part, which nobody else may have meanwhile.
     */
    public int quotaSharers() {
        int quotaSharers = 0;
        for (Row row : rows.values()) {
            quotaSharers += row.registration.upstream().isEmpty() && !row.lost ? 0 : 1;
        }
        return Math.max(1, quotaSharers);
    }

    /** Balancers that were heard of lately. */
    public int size() {
        int alive = 0;
        for (Row row : rows.values()) {
            alive += row.registration.upstream().isEmpty() ? 0 : 1;
        }
        return Math.max(1, alive);
    }
}
