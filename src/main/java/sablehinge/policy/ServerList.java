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
 * The listed servers, and a {@link View} of them for each version of the settings that is not forgotten. All versions
 * share one {@link Server} per upstream, because rules 3 and 4 hold across versions.
 */
final class ServerList {

    private final List<View> views = new ArrayList<>();
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    /** The version that applies to arriving requests. */
    private View current;

    private Server.Kind[] kinds = {};
    /** Number of class slots in the servers' records. */
    private int classSlots;

    View current() {
        return current;
    }

    /** Activates a version of the settings, a new one or a previous one. */
    void adopt(Settings settings) {
        current = views.stream()
                .filter(view -> view.settings == settings)
                .findFirst()
                .orElseGet(() -> createView(settings, current));
        kinds = Arrays.copyOf(kinds, Math.max(kinds.length, settings.kinds()));
        Arrays.setAll(kinds, i -> kinds[i] == null ? new Server.Kind() : kinds[i]);
        updateReady();
    }

    private View createView(Settings settings, View previous) {
        ClassRecord[] records = new ClassRecord[settings.classes().size()];
        View view = new View(settings, records, previous == null ? Set.of() : previous.listedIds);
        BitSet usedSlots = new BitSet();
        views.forEach(other -> Arrays.stream(other.classes).forEach(c -> usedSlots.set(c.index)));
        for (int i = 0; i < records.length; i++) {
            ServiceClass type = settings.classes().get(i);
            ClassRecord old = previous == null ? null : previous.classNamed(type.name());
            if (old != null) {
                records[i] = new ClassRecord(old, type);
            } else {
                int slot = usedSlots.nextClearBit(0);
                usedSlots.set(slot);
                records[i] = new ClassRecord(slot, type);
                addClass(slot);
            }
        }
        for (ClassRecord c : records) {
            c.placementHead = Arrays.stream(records)
                    .filter(c::sharesPlacement)
                    .findFirst()
                    .orElse(c);
        }
        views.add(view);
        return view;
    }

    private void addClass(int slot) {
        classSlots = Math.max(classSlots, slot + 1);
        servers.values().forEach(server -> server.addClass(slot, classSlots));
    }

    /** Removes a version that is not active, and the servers that only this version lists. */
    void forget(Settings settings) {
        views.removeIf(view -> view.settings == settings && view != current);
        servers.keySet().removeIf(id -> !isListed(id));
    }

    private boolean isListed(long id) {
        return views.stream().anyMatch(view -> view.listedIds.contains(id));
    }

    /**
     * Applies a registry update to the active version.
     *
     * @param change either a difference or the complete list
     * @param random randomizes the first send to a server that warms up, so that siblings do not send at the same time
     */
    void update(Change change, List<Upstream> upstreams, SlowStart slowStart, SplittableRandom random, double now) {
        Map<Long, Server> previous = new LinkedHashMap<>(servers);
        Set<Long> listed = new HashSet<>();
        if (change == Change.DELTA) {
            listed.addAll(current.listedIds);
        } else {
            servers.clear();
        }
        for (Upstream upstream : upstreams) {
            Server known = previous.get(upstream.id());
            listed.add(upstream.id());
            if (upstream.state() == State.REMOVED) {
                listed.remove(upstream.id());
            } else if (known == null || known.entry.startedAt() != upstream.startedAt()) {
                // A restarted server is treated as a new one: it warms up and has no statistics.
                Server.Kind kind = kinds[Math.min(upstream.kind(), kinds.length - 1)];
                servers.put(upstream.id(), new Server(upstream, kind, classSlots, now, random.nextDouble()));
                slowStart.onListed(upstream, current.settings.rules());
            } else {
                known.entry = upstream;
                servers.put(upstream.id(), known);
            }
        }
        current.listedIds = listed;
        retainListedElsewhere(previous, listed);
        updateReady();
    }

    /** Retains removed servers that another version still lists, as that version may be activated again. */
    private void retainListedElsewhere(Map<Long, Server> previous, Set<Long> listed) {
        servers.keySet().retainAll(listed);
        previous.keySet().removeIf(id -> listed.contains(id) || !isListed(id));
        previous.values().forEach(server -> server.entry = server.entry.gone());
        servers.putAll(previous);
    }

    /** Rule 3: only ready servers are drawn; draining and removed servers are excluded at once, in all versions. */
    private void updateReady() {
        for (View view : views) {
            view.ready = servers.values().stream()
                    .filter(s -> s.entry.state() == State.READY && view.listedIds.contains(s.entry.id()))
                    .toList();
        }
        ServerSubset.choose(current.ready, current.settings.position());
    }
}
