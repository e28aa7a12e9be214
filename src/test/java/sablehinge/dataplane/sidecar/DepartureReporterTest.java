package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.node.WatchServer;
import sablehinge.controlplane.state.Registry;
import sablehinge.dataplane.sidecar.UpstreamCalls.Acknowledgement;
import sablehinge.mesh.failuredetection.Monitor;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;

/** Departures among sidecars and successive leaders, in virtual time (RULES, DRAIN). */
class DepartureReporterTest {

    private static final double COMPLETE_MS = 2_500;
    private static final double EXPIRY_MS = 12_000;

    private double now = 1_000;
    private long term;
    private Registry registry;
    private WatchServer<String> leader;

    /** A process of a sidecar, as far as departures are concerned. */
    private final class Process {

        private final String node;
        private final DepartureReporter departures = new DepartureReporter();
        private final RegistryView view = new RegistryView();
        private final List<Acknowledgement> given = new ArrayList<>();
        private Registration own;
        private List<Registration> updated = List.of();

        Process(String node, String upstream, boolean ready) {
            this.node = node;
            own = registration(upstream, ready);
        }

        private Registration registration(String upstream, boolean ready) {
            return new Registration(node, "monza-a", "10.0.0.9:80", "huvo11a", upstream, ready, 4, 0);
        }

        void announce(String upstream) {
            own = registration(upstream, false);
            departures.announce(now, own.leaving(), given::add);
        }

        /** Sends a request; returns whether it was answered. */
        boolean watch(boolean confirmed) {
            leader.handleRequest(
                    now,
                    node,
                    new WatchRequest(
                            1,
                            own,
                            4,
                            view.term(),
                            view.stamp(),
                            true,
                            List.of(),
                            departures.report(view.term(), Monitor.MAX_REPORTED)));
            if (confirmed) {
                leader.confirmed(node, 1);
            }
            double requestedAt = now;
            now += 1;
            for (WatchServer.Delivery<String> delivery : leader.dueDeliveries(now)) {
                if (delivery.to().equals(node)) {
                    Update update = delivery.update();
                    updated = update.registrations();
                    departures.onUpdate(now, requestedAt, update);
                    view.apply(update);
                    return true;
                }
            }
            return false;
        }

        boolean knowsAsLeaving(String upstream) {
            return updated.stream()
                    .anyMatch(one -> one.isLeaving() && one.upstream().equals(upstream));
        }
    }

    private void elect() {
        registry = new Registry(COMPLETE_MS, EXPIRY_MS);
        leader = new WatchServer<>(registry);
        leader.startTerm(now, ++term);
        leader.configurationChanged(4, new byte[0], List.of());
    }

    private boolean isPublishedAsReady(String upstream) {
        return registry.since(0).stream().anyMatch(one -> one.upstream().equals(upstream) && one.ready());
    }

    @Test
    void acknowledgesOnceConfirmedLeaderHasRecorded() {
        elect();
        Process sidecar = new Process("s-1", "i-1", true);
        sidecar.watch(true);
        sidecar.announce("i-1");
        assertFalse(sidecar.watch(false));
        assertEquals(List.of(), sidecar.given);
        assertTrue(sidecar.watch(true));
        assertEquals(List.of(Acknowledgement.GIVEN), sidecar.given);
        sidecar.announce("i-1");
        assertEquals(List.of(Acknowledgement.GIVEN, Acknowledgement.GIVEN), sidecar.given);
    }

    @Test
    void withholdsAcknowledgementThatComesTooLate() {
        elect();
        Process sidecar = new Process("s-1", "i-1", true);
        sidecar.announce("i-1");
        now += 800;
        sidecar.departures.tick(now);
        assertEquals(List.of(), sidecar.given);
        now += 200;
        sidecar.departures.tick(now);
        assertEquals(List.of(Acknowledgement.WITHHELD), sidecar.given);
        assertFalse(sidecar.departures.isWaiting());
    }

    /** The next process of the sidecar is told, and what it registers by a late heartbeat is not published. */
    @Test
    void nextProcessIsTold() {
        elect();
        Process first = new Process("s-1", "i-1", true);
        first.watch(true);
        first.announce("i-1");
        first.watch(true);
        Process next = new Process("s-1", "i-1", true);
        next.watch(true);
        assertTrue(next.knowsAsLeaving("i-1"));
        assertFalse(isPublishedAsReady("i-1"));
        next.own = next.registration("i-2", true);
        next.watch(true);
        assertTrue(isPublishedAsReady("i-2"));
        assertEquals("i-2", next.view.byNode().get("s-1").upstream());
    }

    /** The sidecar and the leader are lost; a further sidecar tells the next leader. */
    @Test
    void peerTellsNextLeader() {
        elect();
        Process peer = new Process("s-2", "i-9", true);
        peer.watch(true);
        Process first = new Process("s-1", "i-1", true);
        first.watch(true);
        first.announce("i-1");
        first.watch(true);
        peer.watch(true);
        assertTrue(peer.knowsAsLeaving("i-1"));

        elect();
        peer.watch(true);
        peer.watch(true);
        Process next = new Process("s-1", "i-1", true);
        next.watch(true);
        assertTrue(next.knowsAsLeaving("i-1"));
        assertFalse(isPublishedAsReady("i-1"));
    }

    /** A process that never heard its upstream acknowledges that it leaves; it and the leader are lost. */
    @Test
    void peerTellsNextLeaderOfUpstreamThatWasNeverRegistered() {
        elect();
        Process peer = new Process("s-2", "i-9", true);
        peer.watch(true);
        Process first = new Process("s-1", "", false);
        first.watch(true);
        peer.watch(true);
        first.departures.announce(now, first.registration("i-1", false).leaving(), first.given::add);
        first.watch(true);
        assertEquals(List.of(Acknowledgement.GIVEN), first.given);
        peer.watch(true);
        assertTrue(peer.knowsAsLeaving("i-1"));
        assertEquals("", peer.view.byNode().get("s-1").upstream());

        elect();
        peer.watch(true);
        peer.watch(true);
        Process next = new Process("s-1", "i-1", true);
        next.watch(true);
        assertTrue(next.knowsAsLeaving("i-1"));
        assertFalse(isPublishedAsReady("i-1"));
    }

    /** The next incarnation registers before the peer has asked again; it and the leader are lost. */
    @Test
    void peerTellsNextLeaderOfUpstreamThatWasReplaced() {
        elect();
        Process peer = new Process("s-2", "i-9", true);
        peer.watch(true);
        Process first = new Process("s-1", "i-1", true);
        first.watch(true);
        first.announce("i-1");
        first.watch(true);
        first.own = first.registration("i-2", true);
        first.watch(true);
        peer.watch(true);
        assertEquals("i-2", peer.view.byNode().get("s-1").upstream());

        elect();
        peer.watch(true);
        peer.watch(true);
        Process next = new Process("s-1", "i-1", true);
        next.watch(true);
        assertTrue(next.knowsAsLeaving("i-1"));
        assertFalse(isPublishedAsReady("i-1"));
    }

    /** A late heartbeat reopens admission before a peer has told the next leader; then it is closed again. */
    @Test
    void peerTellsNextLeaderLate() {
        elect();
        Process peer = new Process("s-2", "i-9", true);
        peer.watch(true);
        Process first = new Process("s-1", "i-1", true);
        first.watch(true);
        first.announce("i-1");
        first.watch(true);
        peer.watch(true);

        elect();
        Process next = new Process("s-1", "i-1", true);
        next.watch(true);
        assertTrue(isPublishedAsReady("i-1"));
        peer.watch(true);
        peer.watch(true);
        assertFalse(isPublishedAsReady("i-1"));
        next.watch(true);
        assertTrue(next.knowsAsLeaving("i-1"));
    }

    /** The departure of an earlier incarnation does not replace the present one in anybody's view. */
    @Test
    void departureOfEarlierIncarnationLeavesPresentOne() {
        elect();
        Process peer = new Process("s-2", "i-9", true);
        peer.watch(true);
        Process sidecar = new Process("s-1", "i-2", true);
        sidecar.watch(true);
        peer.watch(true);
        sidecar.departures.announce(now, sidecar.registration("i-1", false).leaving(), sidecar.given::add);
        sidecar.watch(true);
        peer.watch(true);
        assertEquals(List.of(Acknowledgement.GIVEN), sidecar.given);
        for (Process process : List.of(sidecar, peer)) {
            Registration seen = process.view.byNode().get("s-1");
            assertEquals("i-2", seen.upstream());
            assertTrue(seen.ready());
        }
    }

    /** Each leader is told once, and no longer than an upstream may run after it has announced that it leaves. */
    @Test
    void reportsToEachLeaderOnceUntilItIsOver() {
        elect();
        Process sidecar = new Process("s-1", "i-1", true);
        sidecar.announce("i-1");
        assertEquals(1, sidecar.departures.report(0, Monitor.MAX_REPORTED).size());
        sidecar.watch(true);
        assertEquals(List.of(), sidecar.departures.report(sidecar.view.term(), Monitor.MAX_REPORTED));
        elect();
        assertEquals(1, sidecar.departures.report(term, Monitor.MAX_REPORTED).size());
        now += 61_000;
        sidecar.watch(true);
        assertEquals(List.of(), sidecar.departures.report(term + 1, Monitor.MAX_REPORTED));
    }

    @Test
    void reportsLatestDeparturesIfThereAreTooMany() {
        DepartureReporter departures = new DepartureReporter();
        Process sidecar = new Process("s-1", "i-1", true);
        for (int i = 0; i < 5; i++) {
            departures.announce(now, sidecar.registration("i-" + i, false).leaving(), given -> {});
        }
        assertEquals(
                List.of("i-3", "i-4"),
                departures.report(1, 2).stream().map(Registration::upstream).toList());
    }
}
