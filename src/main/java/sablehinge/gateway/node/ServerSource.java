package sablehinge.gateway.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.gateway.discovery.Discovery;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.State;

/** Where the servers of a version come from, and the complete list as it is now. */
final class ServerSource implements Registry {

    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final BiConsumer<Change, Roster> listener;
    /** Null where the file lists the servers. */
    private Discovery discovery;

    private boolean known;
    private boolean fetching;
    private long version;

    private ServerSource(BiConsumer<Change, Roster> listener) {
        this.listener = listener;
    }

    /** Servers that an operator file lists. */
    static ServerSource listed(Roster roster) {
        ServerSource source = new ServerSource((change, update) -> {});
        source.take(roster);
        return source;
    }

    /** Servers that a discovery tells of; {@code maker} makes it, given the listener to them. */
    static ServerSource discovered(Function<Discovery.Listener, Discovery> maker, BiConsumer<Change, Roster> listener) {
        ServerSource source = new ServerSource(listener);
        source.discovery = maker.apply(source::onRosterChanged);
        return source;
    }

    private void onRosterChanged(Change change, Roster roster) {
        fetching = false;
        if (roster != null) {
            take(roster);
        }
        listener.accept(change, roster);
    }

    private void take(Roster roster) {
        if (roster.full()) {
            members.clear();
            known = true;
        }
        version = roster.version();
        for (Member member : roster.members()) {
            if (member.upstream().state() == State.REMOVED) {
                members.remove(member.upstream().id());
            } else {
                members.put(member.upstream().id(), member);
            }
        }
    }

    /** Whether a complete list has come. */
    boolean isKnown() {
        return known;
    }

    /** The complete list. */
    Roster roster() {
        return new Roster(version, true, List.copyOf(members.values()));
    }

    /** Those that are ready. */
    List<Member> ready() {
        List<Member> ready = new ArrayList<>(members.values());
        ready.removeIf(member -> member.upstream().state() != State.READY);
        return ready;
    }

    @Override
    public void fetch() {
        // One question at a time: whoever waits asks again and again.
        if (discovery != null && !fetching) {
            fetching = true;
            discovery.fetch();
        }
    }

    @Override
    public void watch(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }
}
