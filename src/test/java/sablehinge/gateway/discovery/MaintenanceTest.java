package sablehinge.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** Upstreams taken out and put back, over what discovery says meanwhile. */
class MaintenanceTest {

    private static final InetSocketAddress PLACE = new InetSocketAddress("127.0.0.1", 9);

    private static Member member(long id, State state, double startedAt) {
        return new Member(new Upstream(id, 0, 0, 0, state, 1, startedAt), PLACE);
    }

    private static Roster list(boolean full, Member... members) {
        return new Roster(7, full, List.of(members));
    }

    private static Upstream only(Roster roster) {
        assertEquals(1, roster.members().size());
        return roster.members().get(0).upstream();
    }

    @Test
    void outIsDrainingWhateverDiscoverySays() {
        Maintenance out = new Maintenance();
        out.take(list(true, member(1, State.READY, 0), member(2, State.READY, 0)));
        assertEquals(State.DRAINING, only(out.suspend(1, 100)).state());
        assertTrue(out.suspend(1, 200).members().isEmpty(), "a second call changes nothing");
        // Restarted meanwhile: gone, and listed anew.
        assertEquals(
                State.REMOVED,
                only(out.take(list(false, member(1, State.REMOVED, 0)))).state());
        assertTrue(out.knows(1), "it is awaited back");
        assertEquals(
                State.DRAINING,
                only(out.take(list(false, member(1, State.READY, 300)))).state());
        assertEquals(
                State.DRAINING,
                out.take(list(true, member(1, State.READY, 300)))
                        .members()
                        .get(0)
                        .upstream()
                        .state());
        // One call back undoes both; discovery knows when it started.
        Upstream back = only(out.restore(1, 400));
        assertEquals(State.READY, back.state());
        assertEquals(300, back.startedAt());
    }

    /** Warming up though discovery does not know yet that it was restarted. */
    @Test
    void backIsColdUntilDiscoveryKnowsBetter() {
        Maintenance out = new Maintenance();
        out.take(list(true, member(1, State.READY, 50)));
        out.suspend(1, 100);
        assertEquals(400, only(out.restore(1, 400)).startedAt());
        assertEquals(400, only(out.take(list(true, member(1, State.READY, 50)))).startedAt());
        assertEquals(
                350, only(out.take(list(false, member(1, State.READY, 350)))).startedAt());
        assertTrue(out.restore(1, 500).members().isEmpty(), "it is back already");
    }

    @Test
    void theUnknownAreNotKnownAndTheTableIsBounded() {
        Maintenance out = new Maintenance();
        assertFalse(out.knows(1));
        for (long id = 0; id < Maintenance.MAX_OUT; id++) {
            out.suspend(id, 1);
        }
        assertTrue(out.suspend(5, 2).members().isEmpty(), "one that is out takes no more room");
        assertThrows(IllegalStateException.class, () -> out.suspend(-1, 2));
    }

    /** What can happen to an upstream: the clock goes on by one for each. */
    private enum Kind {
        UP,
        DRAINING,
        GONE,
        RESTARTED,
        ALL,
        SUSPEND,
        RESTORE
    }

    private record Event(Kind kind, long id) {}

    @Provide
    Arbitrary<List<Event>> stories() {
        return Combinators.combine(
                        Arbitraries.of(Kind.values()), Arbitraries.longs().between(1, 4))
                .as(Event::new)
                .list()
                .ofMaxSize(80);
    }

    /** After any story, what is passed on is discovery's list but for who is out, and who was is warming up. */
    @Property(tries = 2_000)
    void anyStory(@ForAll("stories") List<Event> story) {
        Maintenance maintenance = new Maintenance();
        Map<Long, Upstream> discovery = new HashMap<>();
        Map<Long, Upstream> passed = new HashMap<>();
        Set<Long> out = new HashSet<>();
        Map<Long, Double> suspended = new HashMap<>();
        Map<Long, Double> restored = new HashMap<>();
        double now = 0;
        for (Event event : story) {
            now++;
            Upstream known = discovery.get(event.id());
            double started = known == null ? 0 : known.startedAt();
            Roster update =
                    switch (event.kind()) {
                        case UP -> maintenance.take(list(false, member(event.id(), State.READY, started)));
                        case DRAINING -> maintenance.take(list(false, member(event.id(), State.DRAINING, started)));
                        case GONE -> maintenance.take(list(false, member(event.id(), State.REMOVED, started)));
                        case RESTARTED -> maintenance.take(list(false, member(event.id(), State.READY, now)));
                        case ALL -> {
                            List<Member> all = new ArrayList<>();
                            discovery.values().forEach(one -> all.add(new Member(one, PLACE)));
                            yield maintenance.take(new Roster(8, true, all));
                        }
                        case SUSPEND -> maintenance.suspend(event.id(), now);
                        case RESTORE -> maintenance.restore(event.id(), now);
                    };
            switch (event.kind()) {
                case UP ->
                    discovery.put(
                            event.id(), member(event.id(), State.READY, started).upstream());
                case DRAINING ->
                    discovery.put(
                            event.id(),
                            member(event.id(), State.DRAINING, started).upstream());
                case RESTARTED ->
                    discovery.put(
                            event.id(), member(event.id(), State.READY, now).upstream());
                case GONE -> {
                    discovery.remove(event.id());
                    restored.remove(event.id());
                }
                case SUSPEND -> {
                    if (out.add(event.id())) {
                        suspended.put(event.id(), now);
                    }
                }
                case RESTORE -> {
                    if (out.remove(event.id())) {
                        restored.put(event.id(), now);
                    }
                }
                default -> {}
            }
            if (update.full()) {
                passed.clear();
            }
            update.members().forEach(member -> {
                passed.put(member.upstream().id(), member.upstream());
                passed.values().removeIf(one -> one.state() == State.REMOVED);
            });
            assertEquals(discovery.keySet(), passed.keySet());
            assertEquals(out, maintenance.out());
            for (Upstream one : discovery.values()) {
                Upstream shown = passed.get(one.id());
                assertEquals(out.contains(one.id()) ? State.DRAINING : one.state(), shown.state());
                if (!out.contains(one.id()) && restored.containsKey(one.id())) {
                    assertTrue(shown.startedAt() >= suspended.get(one.id()), "cold after its time out");
                }
            }
            Map<Long, Upstream> complete = new HashMap<>();
            maintenance
                    .complete()
                    .members()
                    .forEach(m -> complete.put(m.upstream().id(), m.upstream()));
            assertEquals(passed, complete);
        }
    }
}
