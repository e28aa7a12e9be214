package sablehinge.dataplane.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import sablehinge.dataplane.sidecar.UpstreamCalls.Acknowledgement;
import sablehinge.mesh.watch.Departures;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/**
 * Reports to the control plane that upstreams leave, and acknowledges this to the local one once a leader, confirmed by
 * a majority, has recorded it: an acknowledgement must bind the next process of this sidecar too, which can learn of it
 * from the control plane only.
 *
 * <p>Departures of other sidecars' upstreams are remembered as well and reported to the next leader, which starts with
 * an empty registry. The class does no I/O; it belongs to the sidecar's event loop.
 */
final class DepartureReporter {

    /** An upstream takes an acknowledgement for missing after a second. */
    private static final double ACKNOWLEDGEMENT_TIMEOUT_MS = 900;

    /** An announcement that is not acknowledged yet. */
    private record Announcement(String upstream, double announcedAt, Consumer<Acknowledgement> callback) {}

    /** Marked with the term of the last leader that knows of them. */
    private final Departures departures = new Departures();

    private final List<Announcement> announcements = new ArrayList<>();
    /** The incarnations whose departure a confirmed leader has recorded. */
    private final Set<String> recorded = new HashSet<>();
    /** What the pending request reports. */
    private List<Registration> reported = List.of();

    /** The local upstream announces that it leaves; {@code callback} receives the acknowledgement. */
    void announce(double now, Registration leaving, Consumer<Acknowledgement> callback) {
        departures.record(now, leaving);
        if (recorded.contains(leaving.upstream())) {
            callback.accept(Acknowledgement.GIVEN);
        } else {
            announcements.add(new Announcement(leaving.upstream(), now, callback));
        }
    }

    /** Whether an acknowledgement waits for a leader that is confirmed. */
    boolean isWaiting() {
        return !announcements.isEmpty();
    }

    /** The departures that a request reports to the leader of a term, at most {@code max}. */
    List<Registration> report(long term, int max) {
        List<Registration> unknown = departures.withMark(mark -> mark != term);
        // The latest ones, among them those that wait for their acknowledgement, matter most.
        reported = unknown.subList(Math.max(0, unknown.size() - max), unknown.size());
        return reported;
    }

    /** Handles the response to the last request, which was sent at the given time. */
    void onUpdate(double now, double requestedAt, Update update) {
        reported.forEach(leaving -> departures.mark(leaving.upstream(), update.term()));
        for (Registration registration : update.registrations()) {
            if (registration.isLeaving()) {
                departures.record(now, registration);
                departures.mark(registration.upstream(), update.term());
            }
        }
        if (update.confirmed()) {
            acknowledge(requestedAt);
        }
        departures.expire(now);
        recorded.removeIf(upstream -> !departures.contains(upstream));
    }

    private void acknowledge(double requestedAt) {
        for (Announcement announcement : remove(requestedAt)) {
            recorded.add(announcement.upstream());
            announcement.callback().accept(Acknowledgement.GIVEN);
        }
    }

    /** Withholds the acknowledgements that would come too late. */
    void tick(double now) {
        for (Announcement announcement : remove(now - ACKNOWLEDGEMENT_TIMEOUT_MS)) {
            announcement.callback().accept(Acknowledgement.WITHHELD);
        }
    }

    /** Removes and returns what was announced until a time. */
    private List<Announcement> remove(double announcedUntil) {
        List<Announcement> removed = new ArrayList<>();
        for (Iterator<Announcement> each = announcements.iterator(); each.hasNext(); ) {
            Announcement announcement = each.next();
            if (announcement.announcedAt() <= announcedUntil) {
                each.remove();
                removed.add(announcement);
            }
        }
        return removed;
    }
}
