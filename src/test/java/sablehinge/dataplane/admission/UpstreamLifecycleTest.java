package sablehinge.dataplane.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.admission.UpstreamLifecycle.Heartbeat;
import sablehinge.policy.LoadBalancer.Actions;
import sablehinge.policy.LoadBalancer.Request;

/**
 * Tests the effect of heartbeats and sign-offs on admission (RULES, DRAIN) across restarts of the balancer's process.
 * It plays all orders of a few events in virtual time while requests arrive continuously.
 */
class UpstreamLifecycleTest {

    private static final double UNLOAD_MS = 2_400;
    private static final double HEARTBEAT_MS = 1_500;
    private static final int BERTHS = 1_000;
    private static final String SERVICE = "huvo11a";
    private static final String INCARNATION = "i-1";
    private static final String NEXT_INCARNATION = "i-2";
    /**
     * Time between two events in milliseconds. The shorter gaps fit into {@code unloadMs} together with a restart, the
     * longest does not.
     */
    private static final double[] GAPS = {150, 1_100, 2_600};

    private static final double REQUEST_INTERVAL_MS = 50;
    private static final int STEPS = 5;

    /** The events at a balancer and its local upstream. */
    private enum Event {
        READY_HEARTBEAT,
        UNLOADING_HEARTBEAT,
        LATE_READY_HEARTBEAT,
        KILL,
        START,
        HEALTH_ANSWER,
        SIGN_OFF
    }

    /** The balancer's machine: the process, if it is running, and the state of the local upstream. */
    private static final class Machine implements Actions {
        private AdmissionController admission;
        private UpstreamLifecycle lifecycle;
        private double now;
        private long requests;
        private long callCount = 10;
        private boolean draining;
        /** When this machine first acknowledged the drain; no request may be sent {@code unloadMs} after it. */
        private double drainAcknowledgedAt = Double.POSITIVE_INFINITY;

        private double lastSentAt = Double.NEGATIVE_INFINITY;

        void start() {
            admission = new AdmissionController(this);
            lifecycle = new UpstreamLifecycle(admission, Machine::incarnationNumber, UNLOAD_MS, HEARTBEAT_MS);
            // What earlier processes acknowledged is known to the control plane.
            if (drainAcknowledgedAt < Double.POSITIVE_INFINITY) {
                lifecycle.handleDeparture(now, INCARNATION);
            }
            lifecycle.startAdmitting(now);
        }

        void kill() {
            admission = null;
            lifecycle = null;
        }

        static long incarnationNumber(String id) {
            return id.equals(INCARNATION) ? 1 : 2;
        }

        boolean isRunning() {
            return lifecycle != null;
        }

        void heartbeat(boolean unloading, long count) {
            if (isRunning()) {
                lifecycle.handleHeartbeat(now, new Heartbeat(INCARNATION, SERVICE, unloading, BERTHS, 0, count));
                if (unloading) {
                    drainAcknowledgedAt = Math.min(drainAcknowledgedAt, now);
                }
            }
        }

        void apply(Event event) {
            switch (event) {
                case READY_HEARTBEAT -> {
                    // An upstream never revokes its own drain.
                    if (!draining) {
                        heartbeat(false, ++callCount);
                    }
                }
                case UNLOADING_HEARTBEAT -> {
                    draining = true;
                    heartbeat(true, ++callCount);
                }
                // It may arrive at any time, also at a process that was started after it was sent.
                case LATE_READY_HEARTBEAT -> heartbeat(false, 3);
                case KILL -> kill();
                case START -> {
                    if (!isRunning()) {
                        start();
                    }
                }
                case SIGN_OFF -> {
                    draining = true;
                    if (isRunning()) {
                        lifecycle.handleSignOff(now, INCARNATION);
                        drainAcknowledgedAt = Math.min(drainAcknowledgedAt, now);
                    }
                }
                default -> {
                    // Health check responses have no effect on admission.
                }
            }
        }

        /** Advances the time while other balancers with outdated endpoints send requests for the incarnation. */
        void advance(double millis) {
            double end = now + millis;
            while (now < end) {
                now += REQUEST_INTERVAL_MS;
                if (isRunning()) {
                    lifecycle.tick(now);
                    admission.request(
                            now,
                            new Request(
                                    ++requests,
                                    0,
                                    0,
                                    incarnationNumber(INCARNATION),
                                    now + 10_000,
                                    100,
                                    false,
                                    true,
                                    0));
                }
            }
        }

        @Override
        public void send(long requestId, long upstream, double timeout) {
            lastSentAt = now;
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            // A refused request has not run.
        }

        @Override
        public void fail(long requestId) {
            throw new AssertionError();
        }

        @Override
        public void cancel(long requestId, int attempt) {
            throw new AssertionError();
        }

        @Override
        public void healthCheck(long upstream) {
            throw new AssertionError();
        }

        @Override
        public void closeIdle(long upstream) {
            throw new AssertionError();
        }

        @Override
        public void fetch() {
            throw new AssertionError();
        }

        @Override
        public void watch(boolean on) {
            throw new AssertionError();
        }

        @Override
        public void setTimer(long token, double at) {
            // Waiting requests are refused by a later call.
        }

        @Override
        public void tell(int peer, byte[] payload) {
            throw new AssertionError();
        }

        @Override
        public void log(String text) {
            throw new AssertionError();
        }
    }

    /** Plays all orders of five events after a first heartbeat, with each of three gaps between events. */
    @Test
    void sendsNoRequestAfterTheDrainTimeInAnyOrderOfEvents() {
        List<String> violations = new ArrayList<>();
        int runs = 0;
        int drainedRuns = 0;
        Event[] events = Event.values();
        for (double gap : GAPS) {
            for (int encodedOrder = 0; encodedOrder < Math.pow(events.length, STEPS); encodedOrder++) {
                Machine machine = new Machine();
                machine.start();
                machine.apply(Event.READY_HEARTBEAT);
                machine.advance(gap);
                StringBuilder description = new StringBuilder();
                for (int step = 0, remaining = encodedOrder; step < STEPS; step++, remaining /= events.length) {
                    Event event = events[remaining % events.length];
                    machine.apply(event);
                    machine.advance(gap);
                    description.append(event).append(' ');
                }
                machine.advance(2 * UNLOAD_MS);
                runs++;
                drainedRuns += machine.drainAcknowledgedAt < Double.POSITIVE_INFINITY ? 1 : 0;
                if (machine.lastSentAt > machine.drainAcknowledgedAt + UNLOAD_MS) {
                    violations.add(
                            gap + " ms: " + description + "sent " + (machine.lastSentAt - machine.drainAcknowledgedAt)
                                    + " ms after the drain was acknowledged");
                }
            }
        }
        assertEquals(List.of(), violations.stream().limit(5).toList(), violations.size() + " of " + runs);
        assertTrue(drainedRuns > runs / 2, drainedRuns + " of " + runs + " runs drain");
    }

    /** A restarted balancer serves again after the first ready heartbeat. */
    @Test
    void heartbeatReopensAdmissionAfterRestart() {
        Machine machine = new Machine();
        machine.start();
        machine.apply(Event.READY_HEARTBEAT);
        machine.apply(Event.KILL);
        machine.advance(500);
        machine.apply(Event.START);
        double lastSentBefore = machine.lastSentAt;
        machine.advance(500);
        assertEquals(lastSentBefore, machine.lastSentAt);
        machine.apply(Event.READY_HEARTBEAT);
        machine.advance(100);
        assertEquals(machine.now, machine.lastSentAt);
    }

    /** An upstream that this process has known for a long time serves for a part of its unload time. */
    @Test
    void unloadingUpstreamServesForAPartOfTheUnloadTime() {
        Machine machine = new Machine();
        machine.start();
        machine.apply(Event.READY_HEARTBEAT);
        machine.advance(10 * UNLOAD_MS);
        machine.apply(Event.UNLOADING_HEARTBEAT);
        double drainStartedAt = machine.now;
        machine.advance(2 * UNLOAD_MS);
        assertTrue(
                machine.lastSentAt > drainStartedAt + UNLOAD_MS / 4
                        && machine.lastSentAt < drainStartedAt + UNLOAD_MS * 3 / 4,
                "served until " + (machine.lastSentAt - drainStartedAt) + " ms after");
    }

    private static Heartbeat heartbeat(String id, long count) {
        return new Heartbeat(id, SERVICE, false, 4, 0, count);
    }

    private static UpstreamLifecycle lifecycle() {
        UpstreamLifecycle lifecycle = unstartedLifecycle();
        lifecycle.startAdmitting(0);
        return lifecycle;
    }

    private static UpstreamLifecycle unstartedLifecycle() {
        Machine machine = new Machine();
        return new UpstreamLifecycle(
                new AdmissionController(machine), Machine::incarnationNumber, UNLOAD_MS, HEARTBEAT_MS);
    }

    @Test
    void admitsNothingBeforeItIsStarted() {
        UpstreamLifecycle lifecycle = unstartedLifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        assertFalse(lifecycle.isReady());
        lifecycle.startAdmitting(1);
        assertTrue(lifecycle.isReady());
    }

    @Test
    void departureThatEarlierProcessAcknowledgedIsFinal() {
        UpstreamLifecycle lifecycle = unstartedLifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        lifecycle.handleDeparture(1, INCARNATION);
        lifecycle.startAdmitting(1);
        assertFalse(lifecycle.isReady());
        assertFalse(lifecycle.handleHeartbeat(2, heartbeat(INCARNATION, 50)));
        assertFalse(lifecycle.isReady());
        assertTrue(lifecycle.handleHeartbeat(3, heartbeat(NEXT_INCARNATION, 1)));
        assertTrue(lifecycle.isReady());
    }

    /** The control plane repeats what this process has acknowledged, which must not shorten the drain. */
    @Test
    void ownDepartureDoesNotCloseEarlier() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 1));
        lifecycle.handleHeartbeat(5_000, heartbeat(INCARNATION, 2));
        lifecycle.handleHeartbeat(10_000, new Heartbeat(INCARNATION, SERVICE, true, 4, 0, 3));
        double closesAt = lifecycle.closesAt();
        lifecycle.handleDeparture(10_001, INCARNATION);
        assertEquals(closesAt, lifecycle.closesAt());
    }

    @Test
    void ignoresLateHeartbeat() {
        UpstreamLifecycle lifecycle = lifecycle();
        assertTrue(lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5)));
        assertFalse(lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, false, 9, 0, 4)));
        assertEquals(4, lifecycle.present().berths());
        // A late heartbeat does not show that the upstream is alive.
        lifecycle.handleHeartbeat(5_000, heartbeat(INCARNATION, 4));
        assertTrue(lifecycle.tick(5_400));
        assertNull(lifecycle.present());
    }

    /** A duplicate heartbeat changes nothing, but shows that the upstream is alive. */
    @Test
    void duplicateHeartbeatChangesNothingButExtendsTheTimeout() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        assertFalse(lifecycle.handleHeartbeat(5_000, heartbeat(INCARNATION, 5)));
        assertFalse(lifecycle.tick(5_400));
        assertEquals(INCARNATION, lifecycle.present().id());
    }

    @Test
    void laterHeartbeatUpdatesSlotsButNotTheWarmUpTime() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, new Heartbeat(INCARNATION, SERVICE, false, 4, 3_000, 1));
        assertTrue(lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, false, 6, 2_000, 2)));
        assertFalse(lifecycle.handleHeartbeat(2, new Heartbeat(INCARNATION, SERVICE, false, 6, 1_000, 3)));
        assertEquals(6, lifecycle.present().berths());
        assertEquals(3_000, lifecycle.present().warmUpMs());
    }

    @Test
    void unloadingIsRevokedOnlyByTheNextIncarnation() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 1));
        lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, true, 4, 0, 2));
        lifecycle.handleHeartbeat(2, heartbeat(INCARNATION, 3));
        assertFalse(lifecycle.isReady());
        lifecycle.handleHeartbeat(3, heartbeat(NEXT_INCARNATION, 1));
        assertTrue(lifecycle.isReady());
    }

    @Test
    void lateUnloadingHeartbeatTakesEffect() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        assertTrue(lifecycle.handleHeartbeat(5_000, new Heartbeat(INCARNATION, SERVICE, true, 4, 0, 4)));
        assertFalse(lifecycle.isReady());
    }

    @Test
    void lateHeartbeatOfAnEarlierIncarnationIsIgnored() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        lifecycle.handleHeartbeat(1, heartbeat(NEXT_INCARNATION, 1));
        assertFalse(lifecycle.handleHeartbeat(2, heartbeat(INCARNATION, 5)));
        assertEquals(NEXT_INCARNATION, lifecycle.present().id());
        // A late heartbeat may open admission for the earlier incarnation, until the live one sends its next heartbeat.
        lifecycle.handleHeartbeat(3, heartbeat(INCARNATION, 6));
        assertTrue(lifecycle.handleHeartbeat(4, heartbeat(NEXT_INCARNATION, 2)));
        assertEquals(NEXT_INCARNATION, lifecycle.present().id());
    }

    @Test
    void signedOffIncarnationDoesNotReturn() {
        UpstreamLifecycle lifecycle = lifecycle();
        assertFalse(lifecycle.handleSignOff(0, INCARNATION));
        assertFalse(lifecycle.handleHeartbeat(1, heartbeat(INCARNATION, 50)));
        assertNull(lifecycle.present());
    }
}
