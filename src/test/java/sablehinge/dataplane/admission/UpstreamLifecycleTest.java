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
 * What heartbeats and sign-offs do to the gate (RULES, DRAIN), through ends and starts of the balancer's process: every
 * order of a few events, with requests tried all the while. The time is the test's.
 */
class UpstreamLifecycleTest {

    private static final double UNLOAD_MS = 2_400;
    private static final double HEARTBEAT_MS = 1_500;
    private static final int BERTHS = 1_000;
    private static final String SERVICE = "huvo11a";
    private static final String INCARNATION = "i-1";
    private static final String NEXT = "i-2";
    /** Between two events; together with a start they fit into {@code unloadMs}, alone they may not. */
    private static final double[] GAPS = {150, 1_100, 2_600};

    private static final double TRIED_EVERY_MS = 50;
    private static final int STEPS = 5;

    /** What may happen to the balancer beside an upstream. */
    private enum Event {
        READY_HEARTBEAT,
        UNLOADING_HEARTBEAT,
        LATE_READY_HEARTBEAT,
        KILL,
        START,
        HEALTH_ANSWER,
        SIGN_OFF
    }

    /** The balancer's machine: its process, if it runs, and what the upstream beside has seen. */
    private static final class Machine implements Actions {
        private AdmissionController gate;
        private UpstreamLifecycle lifecycle;
        private double now;
        private long requests;
        private long callCount = 10;
        private boolean leaves;
        /** When this machine first acknowledged that the incarnation leaves; it must get nothing so long after. */
        private double leavesAt = Double.POSITIVE_INFINITY;

        private double latest = Double.NEGATIVE_INFINITY;

        void start() {
            gate = new AdmissionController(this);
            lifecycle = new UpstreamLifecycle(gate, Machine::number, UNLOAD_MS, HEARTBEAT_MS);
        }

        void kill() {
            gate = null;
            lifecycle = null;
        }

        static long number(String id) {
            return id.equals(INCARNATION) ? 1 : 2;
        }

        boolean runs() {
            return lifecycle != null;
        }

        void heartbeats(boolean unloading, long count) {
            if (runs()) {
                lifecycle.handleHeartbeat(now, new Heartbeat(INCARNATION, SERVICE, unloading, BERTHS, 0, count));
                if (unloading) {
                    leavesAt = Math.min(leavesAt, now);
                }
            }
        }

        void befalls(Event event) {
            switch (event) {
                case READY_HEARTBEAT -> {
                    // The upstream itself never takes back that it leaves.
                    if (!leaves) {
                        heartbeats(false, ++callCount);
                    }
                }
                case UNLOADING_HEARTBEAT -> {
                    leaves = true;
                    heartbeats(true, ++callCount);
                }
                case LATE_READY_HEARTBEAT -> {
                    // One that has been under way through an end of the process died with it.
                    if (leavesAt == Double.POSITIVE_INFINITY || runs() && lifecycle.present() != null) {
                        heartbeats(false, 3);
                    }
                }
                case KILL -> kill();
                case START -> {
                    if (!runs()) {
                        start();
                    }
                }
                case SIGN_OFF -> {
                    leaves = true;
                    if (runs()) {
                        lifecycle.handleSignOff(now, INCARNATION);
                        leavesAt = Math.min(leavesAt, now);
                    }
                }
                default -> {
                    // A health answer, true or false, says nothing to the gate.
                }
            }
        }

        /**
         * Time passes; other balancers, whose endpoint list is old, send requests for the incarnation all the while.
         */
        void passes(double millis) {
            double end = now + millis;
            while (now < end) {
                now += TRIED_EVERY_MS;
                if (runs()) {
                    lifecycle.tick(now);
                    gate.request(
                            now, new Request(++requests, 0, 0, number(INCARNATION), now + 10_000, 100, false, true, 0));
                }
            }
        }

        @Override
        public void send(long requestId, long upstream, double timeout) {
            latest = now;
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            // It has not run.
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
            // What waits is refused by a later call.
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

    /** All orders of five events, each with three gaps between them, behind a first heartbeat. */
    @Test
    void noOrderOfEventsLetsARequestThroughAfterTheDrainTime() {
        List<String> broken = new ArrayList<>();
        int plays = 0;
        int drained = 0;
        Event[] events = Event.values();
        for (double gap : GAPS) {
            for (int order = 0; order < Math.pow(events.length, STEPS); order++) {
                Machine machine = new Machine();
                machine.start();
                machine.befalls(Event.READY_HEARTBEAT);
                machine.passes(gap);
                StringBuilder description = new StringBuilder();
                for (int step = 0, rest = order; step < STEPS; step++, rest /= events.length) {
                    Event event = events[rest % events.length];
                    machine.befalls(event);
                    machine.passes(gap);
                    description.append(event).append(' ');
                }
                machine.passes(2 * UNLOAD_MS);
                plays++;
                drained += machine.leavesAt < Double.POSITIVE_INFINITY ? 1 : 0;
                if (machine.latest > machine.leavesAt + UNLOAD_MS) {
                    broken.add(gap + " ms: " + description + "sent " + (machine.latest - machine.leavesAt)
                            + " ms after it was acknowledged");
                }
            }
        }
        assertEquals(List.of(), broken.stream().limit(5).toList(), broken.size() + " of " + plays);
        assertTrue(drained > plays / 2, drained + " of " + plays + " drain at all");
    }

    /** A restarted balancer serves again with the first heartbeat that says ready. */
    @Test
    void aHeartbeatOpensTheGateOfAProcessThatHasBegunAnew() {
        Machine machine = new Machine();
        machine.start();
        machine.befalls(Event.READY_HEARTBEAT);
        machine.befalls(Event.KILL);
        machine.passes(500);
        machine.befalls(Event.START);
        double before = machine.latest;
        machine.passes(500);
        assertEquals(before, machine.latest);
        machine.befalls(Event.READY_HEARTBEAT);
        machine.passes(100);
        assertEquals(machine.now, machine.latest);
    }

    /** An upstream that this process has known for long serves on for a part of its time. */
    @Test
    void anUnloadingUpstreamServesOnForAPart() {
        Machine machine = new Machine();
        machine.start();
        machine.befalls(Event.READY_HEARTBEAT);
        machine.passes(10 * UNLOAD_MS);
        machine.befalls(Event.UNLOADING_HEARTBEAT);
        double at = machine.now;
        machine.passes(2 * UNLOAD_MS);
        assertTrue(
                machine.latest > at + UNLOAD_MS / 4 && machine.latest < at + UNLOAD_MS * 3 / 4,
                "served until " + (machine.latest - at) + " ms after");
    }

    private static Heartbeat heartbeat(String id, long count) {
        return new Heartbeat(id, SERVICE, false, 4, 0, count);
    }

    private static UpstreamLifecycle lifecycle() {
        Machine machine = new Machine();
        return new UpstreamLifecycle(new AdmissionController(machine), Machine::number, UNLOAD_MS, HEARTBEAT_MS);
    }

    @Test
    void aLateHeartbeatChangesNothing() {
        UpstreamLifecycle lifecycle = lifecycle();
        assertTrue(lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5)));
        assertFalse(lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, false, 9, 0, 4)));
        assertEquals(4, lifecycle.present().berths());
        // Nor does it say that the upstream is still alive.
        lifecycle.handleHeartbeat(5_000, heartbeat(INCARNATION, 4));
        assertTrue(lifecycle.tick(5_400));
        assertNull(lifecycle.present());
    }

    /** A copy of a heartbeat is no later one, and says that the upstream is alive. */
    @Test
    void aHeartbeatThatComesTwiceIsTheSame() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        assertFalse(lifecycle.handleHeartbeat(5_000, heartbeat(INCARNATION, 5)));
        assertFalse(lifecycle.tick(5_400));
        assertEquals(INCARNATION, lifecycle.present().id());
    }

    @Test
    void aLaterHeartbeatResizesItAndItsColdTimeStays() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, new Heartbeat(INCARNATION, SERVICE, false, 4, 3_000, 1));
        assertTrue(lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, false, 6, 2_000, 2)));
        assertFalse(lifecycle.handleHeartbeat(2, new Heartbeat(INCARNATION, SERVICE, false, 6, 1_000, 3)));
        assertEquals(6, lifecycle.present().berths());
        assertEquals(3_000, lifecycle.present().warmUpMs());
    }

    @Test
    void thatItUnloadsIsNotTakenBackButByTheNextLife() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 1));
        lifecycle.handleHeartbeat(1, new Heartbeat(INCARNATION, SERVICE, true, 4, 0, 2));
        lifecycle.handleHeartbeat(2, heartbeat(INCARNATION, 3));
        assertFalse(lifecycle.isReady());
        lifecycle.handleHeartbeat(3, heartbeat(NEXT, 1));
        assertTrue(lifecycle.isReady());
    }

    @Test
    void aLateHeartbeatThatSaysUnloadingIsAcknowledgedAndSoHolds() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        assertTrue(lifecycle.handleHeartbeat(5_000, new Heartbeat(INCARNATION, SERVICE, true, 4, 0, 4)));
        assertFalse(lifecycle.isReady());
    }

    @Test
    void aLateHeartbeatOfAnEarlierLifeDoesNotBringItBack() {
        UpstreamLifecycle lifecycle = lifecycle();
        lifecycle.handleHeartbeat(0, heartbeat(INCARNATION, 5));
        lifecycle.handleHeartbeat(1, heartbeat(NEXT, 1));
        assertFalse(lifecycle.handleHeartbeat(2, heartbeat(INCARNATION, 5)));
        assertEquals(NEXT, lifecycle.present().id());
        // A process that has just begun may hear a late one first: the live one goes on calling.
        lifecycle.handleHeartbeat(3, heartbeat(INCARNATION, 6));
        assertTrue(lifecycle.handleHeartbeat(4, heartbeat(NEXT, 2)));
        assertEquals(NEXT, lifecycle.present().id());
    }

    @Test
    void aLifeThatHasSignedOffNeverComesBack() {
        UpstreamLifecycle lifecycle = lifecycle();
        assertFalse(lifecycle.handleSignOff(0, INCARNATION));
        assertFalse(lifecycle.handleHeartbeat(1, heartbeat(INCARNATION, 50)));
        assertNull(lifecycle.present());
    }
}
