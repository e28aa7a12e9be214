package sablehinge.torture;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.http1.Frontend;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.http1.UpstreamClient;
import sablehinge.dataplane.proxy.Registry;
import sablehinge.dataplane.proxy.RequestProxy;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.node.LoopVitals;
import sablehinge.gateway.recorder.Alarm;
import sablehinge.gateway.recorder.FlightRecorder;
import sablehinge.gateway.recorder.Ring;
import sablehinge.gateway.recorder.Vitals;
import sablehinge.gateway.recorder.Watch;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.WeightKind;
import sablehinge.torture.Script.Event;

/**
 * One play of the rig: the real front, core and transport between scripted callers and upstreams, in virtual time, all
 * of it a function of a seed. What must hold is checked after each step, and at the end nothing may be left.
 */
final class World {

    /** Settings of every play. */
    static final double DRAIN_GRACE = 500;

    private static final double DEADLINE = 4_000;
    private static final double IDLE = 5_000;
    /** Milliseconds between two spells without memory, at most. */
    private static final double SPELLS_APART = 300;

    private static final double STEP = 5;
    /** Netty's high mark, and a read of 64 KiB in pieces of one byte with what Netty counts for each. */
    private static final long MAX_UNWRITTEN = 4 << 20;
    /** What a balancer may be late with an answer. */
    private static final double LATE = 60;
    /** An upstream that takes a long body in small pieces may need so long for the rest. */
    private static final double SLOWEST = 60_000;

    /** The classes of requests, by effect. */
    enum Kind {
        SAFE(Repeat.IDEMPOTENT),
        KEYED(Repeat.DEDUPLICATED),
        ONCE(Repeat.AT_MOST_ONCE);

        final Repeat repeat;

        Kind(Repeat repeat) {
            this.repeat = repeat;
        }
    }

    /** A request of a caller. */
    static final class TestRequest {
        final String txn;
        final Kind kind;
        final Body body;
        final boolean chunked;
        final double remaining;
        final Caller caller;
        boolean lastChunk;
        /** When its last byte was sent, when its answer began. */
        double sentAt = Double.NaN;

        double begunAt = Double.NaN;
        /** How often its head has come to an upstream, and all of it. */
        int reached;

        int ran;
        double ranAt = Double.NaN;
        /** The answers that were made for it, complete. */
        final List<Made> made = new ArrayList<>();

        TestRequest(String txn, Caller caller, Kind kind, Body body, boolean chunked, double remaining) {
            this.caller = caller;
            this.kind = kind;
            this.body = body;
            this.chunked = chunked;
            this.remaining = remaining;
            this.txn = txn;
        }

        String head() {
            String name = kind.name().toLowerCase(Locale.ROOT);
            return (kind == Kind.SAFE ? "GET" : "POST") + " /" + name + "/1 HTTP/"
                    + (caller.habit == Caller.Habit.OLD ? "1.0" : "1.1") + "\r\nX-Txn: " + txn
                    + "\r\nX-Lane: "
                    + name + "\r\nX-Remaining: " + remaining / 1_000 + "\r\n"
                    + (kind == Kind.KEYED ? "Idempotency-Key: k" + txn + "\r\n" : "")
                    + (kind == Kind.SAFE
                            ? ""
                            : chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length + "\r\n")
                    + "\r\n";
        }

        void ran(double now) {
            ran++;
            ranAt = now;
        }
    }

    /** An answer of an upstream. */
    static final class Made {
        final TestRequest to;
        final Body body;
        boolean chunked;

        Made(TestRequest to, Body body, boolean chunked) {
            this.to = to;
            this.body = body;
            this.chunked = chunked;
        }
    }

    final Script script;
    private final Dice dice;
    final Net net;
    final Memory memory = new Memory();
    final Map<String, TestRequest> all = new HashMap<>();
    final List<Caller> callers = new ArrayList<>();
    final Set<Upstream.Connection> served = new LinkedHashSet<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final RequestProxy core;
    private final Frontend front;
    private final Sockets sockets;
    private final Watched module;
    private final int largest;
    private int answers;
    /** What a watch inside the process says of it, if there is one; virtual ms that the play took. */
    final List<Alarm> alarms = new ArrayList<>();

    FlightRecorder recorder;
    private final double begunAt;
    double lasted;

    World(Script script) throws Exception {
        this.script = script;
        long seed = script.seed();
        dice = new Dice(seed, "world");
        net = new Net(seed, memory);
        largest = dice.chance(60) ? 32 << 20 : dice.chance(4) ? 1 << 21 : 300_000;
        begunAt = net.now();
        Clock clock = net::now;
        Timers timers = net.timers();
        // A third of the plays have few descriptors.
        int few = 64 + 5 + dice.nextInt(12);
        sockets = new Sockets(dice.chance(3) && script.has(Event.FEW_DESCRIPTORS) ? few : 1_024, net);
        boolean real = dice.chance(2) && script.has(Event.REAL_MODULE);
        Watched[] made = new Watched[1];
        core = new RequestProxy(clock, timers, actions -> {
            made[0] = new Watched(
                    this,
                    actions,
                    real
                            ? LatencyWeightedBalancer::new
                            : other -> new RandomModule(other, new Dice(seed, "module").split()));
            return made[0];
        });
        module = made[0];
        UpstreamClient transport = new UpstreamClient(net.loop, clock, sockets, memory);
        front = new Frontend(net.loop, sockets, memory, core);
        int drawn = dice.chance(3) ? 0 : dice.nextInt(60);
        int fault = script.has(Event.TROUBLE) ? drawn : 0;
        for (int i = 1; i <= 1 + dice.nextInt(3); i++) {
            upstreams.add(new Upstream(this, i, fault));
        }
        core.start(version(1), seed, roster(true), transport, new Registry() {
            @Override
            public void fetch() {
                net.later(1, () -> core.onRosterChanged(Change.FULL, roster(true)));
            }

            @Override
            public void watch(boolean on) {}
        });
        front.open(new InetSocketAddress("127.0.0.1", 1), why -> {});
        net.settle();
    }

    /** Has the recorder run, and its watch look at each of its ticks. */
    void watch() {
        recorder = new FlightRecorder(new Ring(1 << 16), () -> (long) (net.now() * 1e6));
        sockets.setTracer(recorder);
        core.setTracer(recorder);
        Watch watch = new Watch(new Watch.Terms(50, 500, 250, 1_000, 5_000, 0));
        Vitals seen = new LoopVitals(core, sockets, () -> List.of(front), memory::used);
        net.loop.scheduleAtFixedRate(() -> alarms.addAll(watch.tick(net.now(), seen)), 50, 50, TimeUnit.MILLISECONDS);
    }

    private Version version(int number) {
        List<ServiceClass> classes = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            names.add(kind.name().toLowerCase(Locale.ROOT));
            classes.add(new ServiceClass(
                    kind.name(),
                    1_000,
                    0,
                    DEADLINE + number,
                    1,
                    0.5,
                    kind.repeat,
                    Group.ALL,
                    4_000,
                    false,
                    false,
                    null,
                    null,
                    0));
        }
        return new Version(
                number,
                new Settings(
                        0,
                        1,
                        0,
                        1,
                        0,
                        1,
                        1,
                        false,
                        true,
                        false,
                        false,
                        false,
                        1,
                        WeightKind.NONE,
                        Reports.NONE,
                        List.of(),
                        classes,
                        List.of(),
                        new Limits(4, 10_000, true, true, true, false, true, 500, 200, IDLE, 1, 0, 0),
                        new Rules(20, DRAIN_GRACE, 1_000, 0.2, 10_000, 3, 1_500, 0),
                        new Goal(1, 0, 0, 0, 0, 0, 0, 0),
                        new Prices(0, 0, 0, 0, 0, 0, 0, 0)),
                names,
                List.of(),
                number > 1);
    }

    private Roster roster(boolean full) {
        List<Roster.Member> members = new ArrayList<>();
        for (Upstream one : upstreams) {
            members.add(new Roster.Member(
                    new LoadBalancer.Upstream(
                            one.id,
                            0,
                            0,
                            (int) one.id,
                            Double.isNaN(one.drainingSince) ? State.READY : State.DRAINING,
                            1,
                            0),
                    one.address));
        }
        return new Roster(1, full, members);
    }

    /** A length of a body: mostly short, around what is kept, or long. */
    int length(Dice chances) {
        return switch (chances.nextInt(8)) {
            case 0 -> 0;
            case 1, 2 -> chances.size(1, 2_000);
            case 3 -> 65_536 - 2 + chances.nextInt(5);
            case 4 -> 262_144 - 2 + chances.nextInt(5);
            default -> chances.size(30_000, largest);
        };
    }

    TestRequest ask(Caller caller, Dice chances, String name) {
        Kind kind = Kind.values()[chances.nextInt(3)];
        boolean pipelined = caller.habit == Caller.Habit.PIPELINES;
        int length = kind == Kind.SAFE ? 0 : pipelined ? chances.size(1, 3_000) : length(chances);
        TestRequest requested = new TestRequest(
                name,
                caller,
                kind,
                new Body(chances.nextInt(), length),
                kind != Kind.SAFE && chances.chance(2) && caller.habit != Caller.Habit.OLD,
                200 + chances.nextInt((int) DEADLINE - 200));
        all.put(requested.txn, requested);
        return requested;
    }

    /** A caller has an answer that looks complete. */
    void answered(Caller caller, TestRequest requested, HttpReader answer) {
        answers++;
        int status = answer.status();
        if (status == 200) {
            for (Made made : requested.made) {
                if (made.body.length == answer.length && made.body.sum() == answer.sum.getValue()) {
                    return;
                }
            }
            net.violated(requested.txn + " is served with " + answer.length + " bytes that were not made for it whole");
        } else if (status < 500 && status != 408) {
            net.violated(requested.txn + " is sound and is answered with " + status);
        } else if (status == 500) {
            net.violated(requested.txn + " met an error of the program");
        }
    }

    // ---- The play ----------------------------------------------------------------------------------

    /** Plays it; empty if all held. */
    List<String> play() {
        int count = 1 + dice.nextInt(dice.chance(4) ? 24 : 6);
        int coming = 0;
        double last = 0;
        for (int i = 0; i < count; i++) {
            last += dice.nextDouble() * 80;
            int place = i;
            if (script.comes(i)) {
                coming++;
                net.later(last, () -> callers.add(new Caller(this, place)));
            }
        }
        plan(last);
        int steps = 0;
        while (net.violations.isEmpty() && (callers.size() < coming || callersLeft()) && net.now() < 60_000) {
            step(++steps);
        }
        callers.forEach(Caller::leave);
        // What rests is closed after its time, and nothing is left.
        double end = net.now() + 3 * IDLE;
        while (net.violations.isEmpty() && (net.now() < end || anyOpen() && net.now() < end + SLOWEST)) {
            step(++steps);
        }
        if (net.violations.isEmpty()) {
            nothingIsLeft();
        }
        lasted = net.now() - begunAt;
        net.end();
        return net.violations;
    }

    /** Drains, new settings and memory that runs out, in some plays. */
    private void plan(double last) {
        for (Event event : List.of(Event.SETTINGS, Event.TOLD_OFF, Event.DRAIN, Event.MEMORY)) {
            Dice own = new Dice(script.seed(), event.name());
            if (own.chance(4) && script.has(event)) {
                net.later(own.nextDouble() * (last + 200), () -> befalls(event, own));
            }
        }
    }

    private void befalls(Event event, Dice own) {
        switch (event) {
            case SETTINGS -> {
                front.acceptPreviousVersion(3_000);
                core.adopt(version(2), roster(true));
                net.later(6_000, () -> core.release(1));
            }
            case TOLD_OFF -> {
                Upstream one = upstreams.get(own.nextInt(upstreams.size()));
                one.drainingSince = net.now();
                core.onRosterChanged(Change.DELTA, roster(false));
            }
            case DRAIN -> {
                front.beginDrain();
                for (int i = 1; i <= 50; i++) {
                    net.later(10 * i, front::endDrain);
                }
            }
            case MEMORY -> {
                memory.fail(1 + own.nextInt(40), 1 + own.nextInt(4));
                // What comes once rarely meets a request in its middle.
                if (!own.chance(6)) {
                    net.later(own.nextDouble() * SPELLS_APART, () -> befalls(event, own));
                }
            }
            default -> throw new IllegalStateException(event.toString());
        }
    }

    private boolean callersLeft() {
        for (Caller caller : callers) {
            if (caller.channel.isOpen() && !caller.gone) {
                return true;
            }
        }
        return false;
    }

    private boolean anyOpen() {
        for (PipeChannel one : net.made) {
            if (one.isOpen()) {
                return true;
            }
        }
        return false;
    }

    private void step(int steps) {
        net.settle();
        whoCanMoveMoves();
        if (recorder != null) {
            // A watch is to see it by itself, and needs half a second.
            net.violations.clear();
        }
        if (steps % 16 == 0) {
            answersAreInTime();
        }
        net.advance(callersLeft() ? steps < 4_000 ? dice.nextDouble() * STEP : STEP * 4 : 40);
    }

    private void whoCanMoveMoves() {
        for (PipeChannel one : net.made) {
            if (one.isOpen() && one.unwritten() > MAX_UNWRITTEN) {
                net.violated("more is read than can be written: " + one.unwritten() + ", " + one.out);
            }
            if (one.isOpen() && one.isActive() && one.unwritten() > 0 && one.out.space() > 0) {
                net.violated("bytes are not written though there is room: " + one.unwritten() + ", " + one.out);
            }
        }
        for (Upstream.Connection from : served) {
            TestRequest requested = from.at;
            if (requested == null || requested.caller == null) {
                continue;
            }
            PipeChannel to = requested.caller.channel;
            boolean passes = to.isOpen() && from.channel.isOpen() && requested.caller.requested.peek() == requested;
            if (passes
                    && from.isAnswering()
                    && from.channel.in.held() > 0
                    && !from.channel.isReading()
                    && to.unwritten() == 0
                    && to.out.space() > 0) {
                net.violated("an answer is held back: " + requested.txn + ", " + from.channel.in + " waits, " + to.out);
            }
            if (passes
                    && from.isReceiving()
                    && requested.caller.sending() == requested
                    && to.in.held() > 0
                    && !to.isReading()
                    && from.channel.unwritten() == 0
                    && from.channel.out.space() > 0
                    && requested.reached == 1) {
                net.violated("a request is held back: " + requested.txn + ", " + to.in + " waits, " + from.channel.out);
            }
        }
    }

    private void answersAreInTime() {
        for (Caller caller : callers) {
            TestRequest only = caller.requested.peek();
            if (only == null
                    || caller.requested.size() > 1
                    || caller.gone
                    || !caller.channel.isOpen()
                    || Double.isNaN(only.sentAt)
                    || caller.habit == Caller.Habit.NEVER_READS
                    || caller.channel.in.held() > 0
                    || caller.channel.out.held() > 0
                    || caller.channel.out.isEnded()
                    || caller.channel.out.isBroken()) {
                continue;
            }
            if (Double.isNaN(only.begunAt)
                    && net.now()
                            > Math.max(only.sentAt, Math.max(caller.quietSince, caller.readAt))
                                    + only.remaining
                                    + LATE) {
                net.violated(only.txn + " has no answer in its time: sent at " + only.sentAt + ", "
                        + only.remaining
                        + " ms, " + caller.habit + ", reached " + only.reached + ", ran "
                        + only.ran + " at " + only.ranAt + ", whole answers " + only.made.size() + ", "
                        + core.requests() + " open, reading " + caller.channel.isReading() + ", "
                        + caller.channel.in
                        + ", " + caller.channel.unwritten());
            }
        }
    }

    private void nothingIsLeft() {
        module.check();
        for (Caller caller : callers) {
            if (caller.channel.isOpen()) {
                net.violated("still open: " + caller.habit + (caller.gone ? " gone" : "") + ", "
                        + caller.channel.in + ", " + caller.channel.out
                        + ", unwritten " + caller.channel.unwritten() + ", reading "
                        + caller.channel.isReading());
            }
        }
        for (PipeChannel one : net.made) {
            if (one.isOpen() && one.parent() == null) {
                net.violated("still open to an upstream: " + one.in + ", " + one.out + ", unwritten "
                        + one.unwritten()
                        + ", reading " + one.isReading() + ", active " + one.isActive());
            }
        }
        equal("callers", front.callers(), 0);
        equal("bytes kept", front.reservedBytes(), 0);
        equal("requests", core.requests(), 0);
        equal("connections", sockets.open(), 0);
        equal("bytes of buffers", memory.used(), 0);
    }

    private void equal(String what, long is, long wanted) {
        if (is != wanted) {
            net.violated(what + " at the end: " + is);
        }
    }

    /** How many answers callers have had. */
    int answers() {
        return answers;
    }
}
