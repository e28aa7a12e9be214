package sablehinge.mesh.watch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * The incarnations of upstreams that have announced that they leave, with their {@linkplain Registration#isLeaving
 * registrations}. A balancer's process may end before its upstream does, so the control plane and the other balancers
 * remember for it that such an incarnation never accepts requests again. An entry is kept for as long as its upstream
 * may still run, or one of its heartbeats may still arrive.
 */
public final class Departures {

    /** An upstream serves on for some seconds after it was acknowledged, and its calls may be seconds late. */
    static final double RETENTION_MS = 60_000;

    private static final int MAX_ENTRIES = 4_096;
    /** Less than any mark that a caller sets. */
    private static final long UNMARKED = -1;

    /** In the order in which they were recorded. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        final Registration registration;
        final double recordedAt;
        long mark = UNMARKED;

        Entry(Registration registration, double recordedAt) {
            this.registration = registration;
            this.recordedAt = recordedAt;
        }
    }

    /** Records an upstream that leaves; returns whether it was not recorded before. */
    public boolean record(double now, Registration leaving) {
        if (entries.containsKey(leaving.upstream())) {
            return false;
        }
        if (entries.size() == MAX_ENTRIES) {
            removeOldest();
        }
        entries.put(leaving.upstream(), new Entry(leaving, now));
        return true;
    }

    private void removeOldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        oldest.next();
        oldest.remove();
    }

    /** Whether an incarnation has announced that it leaves. */
    public boolean contains(String incarnation) {
        return entries.containsKey(incarnation);
    }

    /** Sets the mark of an entry, which is -1 at first; its meaning is the caller's. */
    public void mark(String incarnation, long mark) {
        Entry entry = entries.get(incarnation);
        if (entry != null) {
            entry.mark = mark;
        }
    }

    /** The registrations whose marks match, in the order in which they were recorded. */
    public List<Registration> withMark(LongPredicate matches) {
        List<Registration> registrations = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (matches.test(entry.mark)) {
                registrations.add(entry.registration);
            }
        }
        return registrations;
    }

    /** Removes the entries whose time is over. */
    public void expire(double now) {
        while (!entries.isEmpty() && now - entries.values().iterator().next().recordedAt > RETENTION_MS) {
            removeOldest();
        }
    }

    /** Removes all entries. */
    public void clear() {
        entries.clear();
    }
}
