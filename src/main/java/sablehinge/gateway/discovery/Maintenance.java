package sablehinge.gateway.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * Applies operator suspensions to the rosters of discovery. A suspended upstream is reported as draining, so that the
 * rules for draining upstreams apply. A restored upstream is reported as started at the time of its restoration, unless
 * discovery reports a later start than its suspension. This class has no clock and does no I/O.
 */
public final class Maintenance {

    /** The maximum number of suspended upstreams: larger than any roster, to bound memory. */
    static final int MAX_SUSPENDED = 10_000;

    /** The roster of discovery. */
    private final Map<Long, Member> listed = new LinkedHashMap<>();
    /** The suspended upstreams, each with the time of its suspension in ms. */
    private final Map<Long, Double> suspended = new HashMap<>();
    /** Restored upstreams without a later start reported by discovery. */
    private final Map<Long, Suspension> restored = new HashMap<>();

    private long version;

    /** A finished suspension. */
    private record Suspension(double suspendedAtMs, double restoredAtMs) {}

    /** Applies an update of discovery; returns the update to report. */
    public Roster apply(Roster update) {
        if (update.full()) {
            listed.clear();
        }
        version = update.version();
        List<Member> reported = new ArrayList<>(update.members().size());
        for (Member member : update.members()) {
            long id = member.upstream().id();
            if (member.upstream().state() == State.REMOVED) {
                listed.remove(id);
            } else {
                listed.put(id, member);
            }
            reported.add(withMaintenance(member));
        }
        return new Roster(update.version(), update.full(), reported);
    }

    /** The complete roster to report. */
    public Roster complete() {
        return new Roster(
                version,
                true,
                listed.values().stream().map(this::withMaintenance).toList());
    }

    /** Whether an upstream is listed, or suspended and thus expected to return. */
    public boolean knows(long id) {
        return listed.containsKey(id) || suspended.containsKey(id);
    }

    /** The suspended upstreams. */
    public Set<Long> suspended() {
        return Set.copyOf(suspended.keySet());
    }

    /**
     * Suspends an upstream; no effect if it is suspended.
     *
     * @return the update to report, which may be empty
     * @throws IllegalStateException if {@value #MAX_SUSPENDED} are suspended
     */
    public Roster suspend(long id, double nowMs) {
        if (suspended.size() >= MAX_SUSPENDED && !suspended.containsKey(id)) {
            throw new IllegalStateException(MAX_SUSPENDED + " upstreams are out");
        }
        return suspended.putIfAbsent(id, nowMs) == null ? update(id) : emptyUpdate();
    }

    /** Restores an upstream; no effect if it is not suspended. Returns the update to report. */
    public Roster restore(long id, double nowMs) {
        Double suspendedAtMs = suspended.remove(id);
        if (suspendedAtMs == null) {
            return emptyUpdate();
        }
        restored.put(id, new Suspension(suspendedAtMs, nowMs));
        return update(id);
    }

    private Roster emptyUpdate() {
        return new Roster(version, false, List.of());
    }

    private Roster update(long id) {
        Member member = listed.get(id);
        return member == null ? emptyUpdate() : new Roster(version, false, List.of(withMaintenance(member)));
    }

    private Member withMaintenance(Member member) {
        Upstream upstream = member.upstream();
        Suspension suspension = restored.get(upstream.id());
        if (suspension != null
                && (upstream.state() == State.REMOVED || upstream.startedAt() >= suspension.suspendedAtMs())) {
            restored.remove(upstream.id());
            suspension = null;
        }
        if (upstream.state() == State.READY && suspended.containsKey(upstream.id())) {
            return with(member, State.DRAINING, upstream.startedAt());
        }
        return suspension == null ? member : with(member, upstream.state(), suspension.restoredAtMs());
    }

    private static Member with(Member member, State state, double startedAt) {
        Upstream upstream = member.upstream();
        return new Member(
                new Upstream(
                        upstream.id(),
                        upstream.zone(),
                        upstream.kind(),
                        upstream.cell(),
                        state,
                        upstream.weight(),
                        startedAt),
                member.address());
    }
}
