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
 * Which upstreams operators have taken out, over what discovery says. One that is out is passed on as draining, so that
 * the rule on drains holds for it; one that is back counts as started when it came back, unless discovery knows of a
 * start since it was taken out. It has no clock and does no I/O.
 */
public final class Maintenance {

    /** Upstreams that may be out at once: more than any list has, and a bound all the same. */
    static final int MAX_OUT = 10_000;

    /** The list as discovery has it. */
    private final Map<Long, Member> listed = new LinkedHashMap<>();
    /** Who is out, and since when (ms of the clock). */
    private final Map<Long, Double> out = new HashMap<>();
    /** Who came back without a start that discovery knows of. */
    private final Map<Long, Stay> back = new HashMap<>();

    private long version;

    /** A time out that is over, in ms of the clock. */
    private record Stay(double from, double until) {}

    /** Takes in what discovery says; returns what is to be passed on. */
    public Roster take(Roster changed) {
        if (changed.full()) {
            listed.clear();
        }
        version = changed.version();
        List<Member> shown = new ArrayList<>(changed.members().size());
        for (Member member : changed.members()) {
            long id = member.upstream().id();
            if (member.upstream().state() == State.REMOVED) {
                listed.remove(id);
            } else {
                listed.put(id, member);
            }
            shown.add(shown(member));
        }
        return new Roster(changed.version(), changed.full(), shown);
    }

    /** The complete list as it is to be passed on. */
    public Roster complete() {
        return new Roster(
                version, true, listed.values().stream().map(this::shown).toList());
    }

    /** Whether an upstream is listed, or out and so awaited back. */
    public boolean knows(long id) {
        return listed.containsKey(id) || out.containsKey(id);
    }

    /** Who is out. */
    public Set<Long> out() {
        return Set.copyOf(out.keySet());
    }

    /**
     * Takes an upstream out; one that is out stays so.
     *
     * @return what is to be passed on, which may be nothing
     * @throws IllegalStateException if {@value #MAX_OUT} are out
     */
    public Roster suspend(long id, double now) {
        if (out.size() >= MAX_OUT && !out.containsKey(id)) {
            throw new IllegalStateException(MAX_OUT + " upstreams are out");
        }
        return out.putIfAbsent(id, now) == null ? change(id) : nothing();
    }

    /** Returns an upstream to service; one that is not out stays as it is. Returns what is to be passed on. */
    public Roster restore(long id, double now) {
        Double from = out.remove(id);
        if (from == null) {
            return nothing();
        }
        back.put(id, new Stay(from, now));
        return change(id);
    }

    private Roster nothing() {
        return new Roster(version, false, List.of());
    }

    private Roster change(long id) {
        Member member = listed.get(id);
        return member == null ? nothing() : new Roster(version, false, List.of(shown(member)));
    }

    private Member shown(Member member) {
        Upstream upstream = member.upstream();
        Stay stay = back.get(upstream.id());
        if (stay != null && (upstream.state() == State.REMOVED || upstream.startedAt() >= stay.from())) {
            back.remove(upstream.id());
            stay = null;
        }
        if (upstream.state() == State.READY && out.containsKey(upstream.id())) {
            return with(member, State.DRAINING, upstream.startedAt());
        }
        return stay == null ? member : with(member, upstream.state(), stay.until());
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
