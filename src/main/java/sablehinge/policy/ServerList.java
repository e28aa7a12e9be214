package sablehinge.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * The servers that are listed, and a {@link View} of them for each version of the settings that is not forgotten. There
 * is one record of each server for all versions: rules 3 and 4 hold over all of them together.
 */
final class ServerList {

    private final List<View> views = new ArrayList<>();
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    /** The version that holds for what arrives now. */
    private View current;

    private Server.Kind[] kinds = {};
    /** Places for classes in the servers' records. */
    private int places;

    View current() {
        return current;
    }

    /** Brings a version of the settings into force, a new one or one that was in force before. */
    void adopt(Settings settings) {
        current = views.stream()
                .filter(view -> view.settings == settings)
                .findFirst()
                .orElseGet(() -> begin(settings, current));
        kinds = Arrays.copyOf(kinds, Math.max(kinds.length, settings.kinds()));
        Arrays.setAll(kinds, i -> kinds[i] == null ? new Server.Kind() : kinds[i]);
        chooseReady();
    }

    private View begin(Settings settings, View before) {
        ClassRecord[] records = new ClassRecord[settings.classes().size()];
        View view = new View(settings, records, before == null ? Set.of() : before.listed);
        BitSet taken = new BitSet();
        views.forEach(other -> Arrays.stream(other.classes).forEach(c -> taken.set(c.index)));
        for (int i = 0; i < records.length; i++) {
            ServiceClass type = settings.classes().get(i);
            ClassRecord old = before == null ? null : before.named(type.name());
            if (old != null) {
                records[i] = new ClassRecord(old, type);
            } else {
                int place = taken.nextClearBit(0);
                taken.set(place);
                records[i] = new ClassRecord(place, type);
                beginClass(place);
            }
        }
        for (ClassRecord c : records) {
            c.leader = Arrays.stream(records)
                    .filter(c::sharesPlacement)
                    .findFirst()
                    .orElse(c);
        }
        views.add(view);
        return view;
    }

    private void beginClass(int place) {
        places = Math.max(places, place + 1);
        servers.values().forEach(server -> server.begin(place, places));
    }

    /** Forgets a version that is not in force, and the servers that only it lists. */
    void forget(Settings settings) {
        views.removeIf(view -> view.settings == settings && view != current);
        servers.keySet().removeIf(id -> !isListed(id));
    }

    private boolean isListed(long id) {
        return views.stream().anyMatch(view -> view.listed.contains(id));
    }

    /**
     * Takes an update of the version in force.
     *
     * @param change either a difference or the complete list
     * @param random for the first send of a server that warms up: siblings must not begin together
     */
    void update(Change change, List<Upstream> upstreams, SlowStart slowStart, SplittableRandom random, double now) {
        Map<Long, Server> before = new LinkedHashMap<>(servers);
        Set<Long> listed = new HashSet<>();
        if (change == Change.DELTA) {
            listed.addAll(current.listed);
        } else {
            servers.clear();
        }
        for (Upstream upstream : upstreams) {
            Server known = before.get(upstream.id());
            listed.add(upstream.id());
            if (upstream.state() == State.REMOVED) {
                listed.remove(upstream.id());
            } else if (known == null || known.listed.startedAt() != upstream.startedAt()) {
                // A restart is a new server: warming up, with a clean record.
                Server.Kind kind = kinds[Math.min(upstream.kind(), kinds.length - 1)];
                servers.put(upstream.id(), new Server(upstream, kind, places, now, random.nextDouble()));
                slowStart.onListed(upstream, current.settings.rules());
            } else {
                known.listed = upstream;
                servers.put(upstream.id(), known);
            }
        }
        current.listed = listed;
        keepListedElsewhere(before, listed);
        chooseReady();
    }

    /** What is gone is remembered while another version lists it, which may come back into force. */
    private void keepListedElsewhere(Map<Long, Server> before, Set<Long> listed) {
        servers.keySet().retainAll(listed);
        before.keySet().removeIf(id -> listed.contains(id) || !isListed(id));
        before.values().forEach(server -> server.listed = server.listed.gone());
        servers.putAll(before);
    }

    /** Rule 3: only ready servers are ever drawn; what drains or is gone leaves at once, for all versions. */
    private void chooseReady() {
        for (View view : views) {
            view.ready = servers.values().stream()
                    .filter(s -> s.listed.state() == State.READY && view.listed.contains(s.listed.id()))
                    .toList();
        }
        ServerSubset.choose(current.ready, current.settings.position());
    }
}
