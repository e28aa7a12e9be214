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

/** Tests suspended and restored upstreams during updates of discovery. */
class MaintenanceTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 9);

    private static Member member(long id, State state, double startedAt) {
        return new Member(new Upstream(id, 0, 0, 0, state, 1, startedAt), ADDRESS);
    }

    private static Roster roster(boolean full, Member... members) {
        return new Roster(7, full, List.of(members));
    }

    private static Upstream only(Roster roster) {
        assertEquals(1, roster.members().size());
        return roster.members().get(0).upstream();
    }

    @Test
    void reportsSuspendedUpstreamAsDraining() {
        Maintenance maintenance = new Maintenance();
        maintenance.apply(roster(true, member(1, State.READY, 0), member(2, State.READY, 0)));
        assertEquals(State.DRAINING, only(maintenance.suspend(1, 100)).state());
        assertTrue(maintenance.suspend(1, 200).members().isEmpty(), "a second suspension has no effect");
        // The upstream restarts: it is removed and listed again.
        assertEquals(
                State.REMOVED,
                only(maintenance.apply(roster(false, member(1, State.REMOVED, 0))))
                        .state());
        assertTrue(maintenance.knows(1), "a removed upstream that is suspended is known");
        assertEquals(
                State.DRAINING,
                only(maintenance.apply(roster(false, member(1, State.READY, 300))))
                        .state());
        assertEquals(
                State.DRAINING,
                maintenance
                        .apply(roster(true, member(1, State.READY, 300)))
                        .members()
                        .get(0)
                        .upstream()
                        .state());
        // One restoration is enough; discovery reports its start.
        Upstream restored = only(maintenance.restore(1, 400));
        assertEquals(State.READY, restored.state());
        assertEquals(300, restored.startedAt());
    }

    /** A restored upstream warms up although discovery does not report its restart yet. */
    @Test
    void reportsRestorationAsStartUntilDiscoveryReportsLaterStart() {
        Maintenance maintenance = new Maintenance();
        maintenance.apply(roster(true, member(1, State.READY, 50)));
        maintenance.suspend(1, 100);
        assertEquals(400, only(maintenance.restore(1, 400)).startedAt());
        assertEquals(
                400,
                only(maintenance.apply(roster(true, member(1, State.READY, 50))))
                        .startedAt());
        assertEquals(
                350,
                only(maintenance.apply(roster(false, member(1, State.READY, 350))))
                        .startedAt());
        assertTrue(maintenance.restore(1, 500).members().isEmpty(), "a second restoration has no effect");
    }

    @Test
    void boundsSuspendedUpstreams() {
        Maintenance maintenance = new Maintenance();
        assertFalse(maintenance.knows(1));
        for (long id = 0; id < Maintenance.MAX_SUSPENDED; id++) {
            maintenance.suspend(id, 1);
        }
        assertTrue(maintenance.suspend(5, 2).members().isEmpty(), "a second suspension takes no space");
        assertThrows(IllegalStateException.class, () -> maintenance.suspend(-1, 2));
    }

    /** The kinds of events; each advances the clock by 1 ms. */
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
    Arbitrary<List<Event>> eventSequences() {
        return Combinators.combine(
                        Arbitraries.of(Kind.values()), Arbitraries.longs().between(1, 4))
                .as(Event::new)
                .list()
                .ofMaxSize(80);
    }

    /** After any events, the reported roster equals that of discovery except for suspended and restored upstreams. */
    @Property(tries = 2_000)
    void reportsRosterOfDiscoveryWithSuspensions(@ForAll("eventSequences") List<Event> events) {
        Maintenance maintenance = new Maintenance();
        Map<Long, Upstream> discovery = new HashMap<>();
        Map<Long, Upstream> reported = new HashMap<>();
        Set<Long> suspendedIds = new HashSet<>();
        Map<Long, Double> suspendedAtMs = new HashMap<>();
        Map<Long, Double> restoredAtMs = new HashMap<>();
        double nowMs = 0;
        for (Event event : events) {
            nowMs++;
            Upstream known = discovery.get(event.id());
            double started = known == null ? 0 : known.startedAt();
            Roster update =
                    switch (event.kind()) {
                        case UP -> maintenance.apply(roster(false, member(event.id(), State.READY, started)));
                        case DRAINING -> maintenance.apply(roster(false, member(event.id(), State.DRAINING, started)));
                        case GONE -> maintenance.apply(roster(false, member(event.id(), State.REMOVED, started)));
                        case RESTARTED -> maintenance.apply(roster(false, member(event.id(), State.READY, nowMs)));
                        case ALL -> {
                            List<Member> all = new ArrayList<>();
                            discovery.values().forEach(one -> all.add(new Member(one, ADDRESS)));
                            yield maintenance.apply(new Roster(8, true, all));
                        }
                        case SUSPEND -> maintenance.suspend(event.id(), nowMs);
                        case RESTORE -> maintenance.restore(event.id(), nowMs);
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
                            event.id(), member(event.id(), State.READY, nowMs).upstream());
                case GONE -> {
                    discovery.remove(event.id());
                    restoredAtMs.remove(event.id());
                }
                case SUSPEND -> {
                    if (suspendedIds.add(event.id())) {
                        suspendedAtMs.put(event.id(), nowMs);
                    }
                }
                case RESTORE -> {
                    if (suspendedIds.remove(event.id())) {
                        restoredAtMs.put(event.id(), nowMs);
                    }
                }
                default -> {}
            }
            if (update.full()) {
                reported.clear();
            }
            update.members().forEach(member -> {
                reported.put(member.upstream().id(), member.upstream());
                reported.values().removeIf(one -> one.state() == State.REMOVED);
            });
            assertEquals(discovery.keySet(), reported.keySet());
            assertEquals(suspendedIds, maintenance.suspended());
            for (Upstream one : discovery.values()) {
                Upstream actual = reported.get(one.id());
                assertEquals(suspendedIds.contains(one.id()) ? State.DRAINING : one.state(), actual.state());
                if (!suspendedIds.contains(one.id()) && restoredAtMs.containsKey(one.id())) {
                    assertTrue(actual.startedAt() >= suspendedAtMs.get(one.id()), "the start is after the suspension");
                }
            }
            Map<Long, Upstream> complete = new HashMap<>();
            maintenance
                    .complete()
                    .members()
                    .forEach(m -> complete.put(m.upstream().id(), m.upstream()));
            assertEquals(reported, complete);
        }
    }
}
