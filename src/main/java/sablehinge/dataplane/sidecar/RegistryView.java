package sablehinge.dataplane.sidecar;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/** The registry of sidecars and upstreams according to the updates received. Owned by the sidecar's event loop. */
final class RegistryView {

    /** The result of an update. */
    enum Outcome {
        /** The update came from a leader of an earlier term and was ignored. */
        STALE,
        /** The update changed no registration. */
        UNCHANGED,
        /** The update changed registrations. */
        CHANGED
    }

    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    private long term;
    private long stamp;
    private boolean complete;

    /** The term of the leader that sent the latest update. */
    long term() {
        return term;
    }

    /** The position in that leader's sequence of updates. */
    long stamp() {
        return stamp;
    }

    /** Whether that leader's registry contains all live sidecars. */
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

    /** Applies an update. */
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
