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

/** The source of the servers of a version, with the current complete roster. */
final class ServerSource implements Registry {

    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final BiConsumer<Change, Roster> listener;
    /** Null if the operator file lists the servers. */
    private Discovery discovery;

    private boolean complete;
    private boolean fetching;
    private long version;

    private ServerSource(BiConsumer<Change, Roster> listener) {
        this.listener = listener;
    }

    /** Creates a source of servers that an operator file lists. */
    static ServerSource fromFile(Roster roster) {
        ServerSource source = new ServerSource((change, update) -> {});
        source.apply(roster);
        return source;
    }

    /** Creates a source of servers that a discovery reports; {@code factory} creates the discovery for a listener. */
    static ServerSource fromDiscovery(
            Function<Discovery.Listener, Discovery> factory, BiConsumer<Change, Roster> listener) {
        ServerSource source = new ServerSource(listener);
        source.discovery = factory.apply(source::onRosterChanged);
        return source;
    }

    private void onRosterChanged(Change change, Roster roster) {
        fetching = false;
        if (roster != null) {
            apply(roster);
        }
        listener.accept(change, roster);
    }

    private void apply(Roster roster) {
        if (roster.full()) {
            members.clear();
            complete = true;
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

    /** Whether a complete roster has been received. */
    boolean isComplete() {
        return complete;
    }

    /** The complete roster. */
    Roster roster() {
        return new Roster(version, true, List.copyOf(members.values()));
    }

    /** The servers that are ready. */
    List<Member> ready() {
        List<Member> ready = new ArrayList<>(members.values());
        ready.removeIf(member -> member.upstream().state() != State.READY);
        return ready;
    }

    @Override
    public void fetch() {
        // One fetch at a time: a caller that waits for the roster requests it repeatedly.
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
