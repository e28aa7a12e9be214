package sablehinge.dataplane.sidecar;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/** The registry of balancers and upstreams as the last updates had it. It belongs to its balancer's event loop. */
final class RegistryView {

    /** What has become of an update. */
    enum Outcome {
        /** It came from a leader of an earlier term, and was dropped. */
        STALE,
        /** It has changed no registration. */
        UNCHANGED,
        /** Registrations were changed. */
        CHANGED
    }

    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    private long term;
    private long stamp;
    private boolean complete;

    /** The term of the leader whose updates it has. */
    long term() {
        return term;
    }

    /** Where in that leader's updates it stands. */
    long stamp() {
        return stamp;
    }

    /** Whether that leader has heard of all that live. */
    boolean isComplete() {
        return complete;
    }

    Collection<Registration> registrations() {
        return registrations.values();
    }

    /** The registrations by node; a view. */
    Map<String, Registration> byNode() {
        return Collections.unmodifiableMap(registrations);
    }

    /** Takes an update in. */
    Outcome apply(Update update) {
        if (update.term() < term) {
            return Outcome.STALE;
        }
        boolean changed = !update.registrations().isEmpty();
        if (update.full() && update.complete()) {
            changed |= registrations.size() != update.registrations().size();
            registrations.clear();
        }
        term = update.term();
        stamp = update.stamp();
        complete = update.complete();
        for (Registration registration : update.registrations()) {
            registrations.put(registration.node(), registration);
        }
        return changed ? Outcome.CHANGED : Outcome.UNCHANGED;
    }
}
