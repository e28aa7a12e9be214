package sablehinge.dataplane.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.budget.AttemptBudgets;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;
import sablehinge.testing.Logs;

/** Core in virtual time, between a transport and callers that do anything at random. */
class RequestProxyTest {

    private static Settings settings(Repeat repeat, int attempts, int mostOpen) {
        ServiceClass one =
                new ServiceClass("one", 500, 0, 1_000, 1, 0.5, repeat, Group.ALL, 1_000, false, false, null, null, 0);
        return new Settings(
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
                List.of(one),
                List.of(),
                new Limits(attempts, mostOpen, true, true, false, false, true, 500, 100, 30_000, 1, 0, 0),
                new Rules(20, 500, 10_000, 0.2, 10_000, 3, 1_500, 0),
                new Goal(1, 0, 0, 0, 0, 0, 0, 0),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0));
    }

    private static Version version(int number, SplittableRandom random) {
        return new Version(
                number,
                settings(Repeat.values()[random.nextInt(3)], 1 + random.nextInt(4), 1_000),
                List.of("one"),
                List.of(),
                false);
    }

    private static Roster roster(SplittableRandom random) {
        List<Roster.Member> members = new ArrayList<>();
        for (long id = 1; id <= 4; id++) {
            if (random.nextInt(4) > 0) {
                members.add(new Roster.Member(new Upstream(id, 0, 0, 0, State.READY, 1, 0), new InetSocketAddress(1)));
            }
        }
        return new Roster(1, true, members);
    }

    /** One world: a clock, timers, a transport, and the core in the middle. */
    private static final class World implements Timers, Transport, Registry {

        private record Alarm(double at, long order, Runnable call, boolean[] off) {}

        /** An attempt that is out. */
        private final class Out implements Attempt {
            final Version version;
            final Payload request;
            private final Progress progress;
            boolean mayHaveRun = true;
            private boolean over;

            Out(Version version, Payload request, Progress progress) {
                this.version = version;
                this.request = request;
                this.progress = progress;
            }

            void finish(Result result) {
                if (!over) {
                    over = true;
                    out.remove(this);
                    progress.finished(AttemptResult.without(result));
                }
            }

            @Override
            public void cancel() {
                finish(Result.CANCELLED);
            }

            @Override
            public boolean mayHaveRun() {
                return mayHaveRun;
            }

            @Override
            public void waitUntil(double until) {
                at(until, () -> finish(Result.TIMEOUT));
            }
        }

        /** A request and what became of it. */
        private final class TestRequest implements Caller, Payload {
            final Version version;
            Exchange exchange;
            int answers;
            Answer last;
            int released;
            int sends;
            boolean gone;
            /** Whether it is taken in before it has ended, and whether it has. */
            boolean comes;

            boolean ended;

            TestRequest(Version version) {
                this.version = version;
            }

            @Override
            public void answer(Answer answer) {
                last = answer;
                answers++;
            }

            @Override
            public void release() {
                released++;
            }

            @Override
            public boolean canBeSent() {
                return !comes || sends == 0;
            }
        }

        final SplittableRandom random;
        final PriorityQueue<Alarm> alarms =
                new PriorityQueue<>(Comparator.comparingDouble(Alarm::at).thenComparingLong(Alarm::order));
        final List<Out> out = new ArrayList<>();
        final List<TestRequest> requested = new ArrayList<>();
        final Map<Integer, Integer> forgotten = new HashMap<>();
        final RequestProxy core;
        double now = 1_000;
        private long order;
        private boolean breaks;

        World(long seed) {
            random = new SplittableRandom(seed);
            core = new RequestProxy(() -> now, this, actions -> new Breaking(new LatencyWeightedBalancer(actions)));
        }

        /** The module, which now and then throws in the middle of a call. */
        private final class Breaking implements LoadBalancer {
            private final LoadBalancer inner;
            private final Map<Settings, Integer> numbers = new java.util.IdentityHashMap<>();

            Breaking(LoadBalancer inner) {
                this.inner = inner;
            }

            private void maybe() {
                if (breaks && random.nextInt(40) == 0) {
                    throw new IllegalStateException("broken on purpose");
                }
            }

            @Override
            public void start(double at, Settings settings, long seed) {
                inner.start(at, settings, seed);
            }

            @Override
            public void upstreamsChanged(double at, Change change, List<Upstream> upstreams) {
                inner.upstreamsChanged(at, change, upstreams);
            }

            @Override
            public void request(double at, Request request) {
                maybe();
                inner.request(at, request);
                maybe();
            }

            @Override
            public void adopt(double at, Settings settings) {
                inner.adopt(at, settings);
            }

            @Override
            public void forget(double at, Settings settings) {
                forgotten.merge(System.identityHashCode(settings), 1, Integer::sum);
                inner.forget(at, settings);
            }

            @Override
            public void attemptFinished(double at, Outcome outcome) {
                maybe();
                inner.attemptFinished(at, outcome);
            }

            @Override
            public void streamStarted(double at, long requestId, int attempt, double elapsed) {
                throw new AssertionError("nothing is streamed here");
            }

            @Override
            public void clientGone(double at, long requestId) {
                inner.clientGone(at, requestId);
            }

            @Override
            public void timer(double at, long token) {
                inner.timer(at, token);
            }
        }

        @Override
        public Timer at(double time, Runnable call) {
            Alarm alarm = new Alarm(time, order++, call, new boolean[1]);
            alarms.add(alarm);
            return () -> alarm.off()[0] = true;
        }

        void advance(double ms) {
            double until = now + ms;
            while (!alarms.isEmpty() && alarms.peek().at() <= until) {
                Alarm alarm = alarms.poll();
                now = Math.max(now, alarm.at());
                if (!alarm.off()[0]) {
                    alarm.call().run();
                }
            }
            now = until;
        }

        @Override
        public Attempt send(
                Version version,
                long upstream,
                Payload request,
                double until,
                AttemptBudgets.Grant grant,
                Progress progress) {
            TestRequest own = (TestRequest) request;
            assertEquals(own.version, version, "an attempt under another version");
            assertEquals(0, own.released, "an attempt with what was given back");
            own.sends++;
            Out one = new Out(version, request, progress);
            out.add(one);
            if (random.nextInt(20) == 0) {
                one.finish(Result.CONNECT_FAILED);
            } else if (!own.comes || own.ended) {
                at(until, () -> one.finish(Result.TIMEOUT));
            }
            return one;
        }

        @Override
        public void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> end) {
            throw new AssertionError("no probes here");
        }

        @Override
        public void closeIdle(long upstream) {}

        @Override
        public void update(Roster roster) {}

        @Override
        public void adopt(Version version) {}

        @Override
        public void fetch() {}

        @Override
        public void watch(boolean on) {}

        /** The rest of a request comes, if it was still coming; whoever has left sends no rest. */
        void end(int place) {
            TestRequest one = place < requested.size() ? requested.get(place) : null;
            if (one != null && one.comes && !one.gone) {
                one.ended = true;
                core.requestComplete(one.exchange);
            }
        }

        void ask() {
            TestRequest one = new TestRequest(core.version());
            requested.add(one);
            one.comes = random.nextInt(4) == 0;
            Arrival arrival = new Arrival(0, 0, 0, now + 1_000, 0, false, true);
            one.exchange = one.comes
                    ? core.requestStreaming(one.version, arrival, one, one)
                    : core.request(one.version, arrival, one, one);
        }
    }

    @Test
    void eachRequestHasOneAnswerAndEachVersionOneEnd() {
        // The module is broken thousands of times on purpose; nobody wants to read of each.
        Logs.Undo quiet = Logs.level(Level.OFF);
        try {
            for (long seed = 1; seed <= 400; seed++) {
                run(seed);
            }
        } finally {
            quiet.close();
        }
    }

    private static void run(long seed) {
        String what = "seed " + seed;
        World world = new World(seed);
        world.breaks = seed % 2 == 0;
        List<Version> versions = new ArrayList<>(List.of(version(1, world.random)));
        world.core.start(versions.get(0), seed, roster(world.random), world, world);
        for (int step = 0; step < 300; step++) {
            switch (world.random.nextInt(10)) {
                case 0 -> {
                    Version next = version(versions.size() + 1, world.random);
                    versions.add(next);
                    int old = world.core.version().number();
                    world.core.adopt(next, roster(world.random));
                    world.core.release(old);
                }
                case 1 -> {
                    if (!world.requested.isEmpty()) {
                        var one = world.requested.get(world.random.nextInt(world.requested.size()));
                        one.gone |= one.exchange.isOpen();
                        world.core.clientGone(one.exchange);
                    }
                }
                case 2, 3, 4 -> {
                    if (!world.out.isEmpty()) {
                        Result[] ends = {Result.OK, Result.OK, Result.ERROR, Result.FULL, Result.RESET};
                        world.out
                                .get(world.random.nextInt(world.out.size()))
                                .finish(ends[world.random.nextInt(ends.length)]);
                    }
                }
                case 5 -> world.end(world.random.nextInt(world.requested.size() + 1));
                default -> world.ask();
            }
            world.advance(world.random.nextInt(60));
        }
        for (int i = 0; i < world.requested.size(); i++) {
            world.end(i);
        }
        world.advance(5_000);
        for (var one : world.requested) {
            assertEquals(one.gone ? 0 : 1, one.answers, what);
            assertEquals(1, one.released, what);
        }
        assertEquals(0, world.core.requests(), what);
        assertEquals(1, world.core.versions(), what);
        assertEquals(versions.size() - 1, world.forgotten.size(), what);
        assertTrue(world.forgotten.values().stream().allMatch(times -> times == 1), what);
    }

    @Test
    void whatIsAtWorkWhenTheProcessEndsIsAnswered() {
        World world = new World(3);
        world.core.start(version(1, world.random), 3, roster(new SplittableRandom(8)), world, world);
        for (int i = 0; i < 20; i++) {
            world.ask();
        }
        world.core.abortAll();
        world.requested.forEach(one -> assertEquals(1, one.answers));
        assertEquals(0, world.out.size(), "attempts go on for what is answered");
        world.advance(2_000);
        world.requested.forEach(one -> assertEquals(1, one.answers + one.released - 1));
    }

    @Test
    void whenTheProcessIsAboutToEndThenNothingBeginsLate() {
        World world = new World(3);
        world.core.start(version(1, world.random), 3, roster(new SplittableRandom(8)), world, world);
        world.core.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(99);
        world.ask();
        assertEquals(1, world.requested.get(0).sends);
        world.advance(1);
        world.ask();
        World.TestRequest late = world.requested.get(1);
        assertEquals(Answer.Kind.REFUSED, late.last.kind());
        assertTrue(late.last.retryAfter() > 0);
        assertEquals(0, late.sends);
        assertEquals(1, late.released);
    }

    @Test
    void whenTheProcessIsAboutToEndThenNoAttemptIsRepeatedLate() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.IDEMPOTENT, 3, 1_000), List.of("one"), List.of(), false);
        world.core.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        world.ask();
        world.core.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(100);
        world.out.get(0).finish(Result.RESET);
        assertEquals(1, world.requested.get(0).sends);
        assertEquals(1, world.requested.get(0).answers);
    }

    @Test
    void whenTheRightToRepeatComesLateThenNoAttemptBegins() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.IDEMPOTENT, 3, 1_000), List.of("one"), List.of(), false);
        List<Consumer<Runnable>> waiting = new ArrayList<>();
        int[] returned = {0};
        world.core.setRetryLimiter((version, serviceClass, beside, then) -> waiting.add(then));
        world.core.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(repeatable);
        world.core.request(repeatable, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        world.core.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.out.get(0).finish(Result.RESET);
        world.advance(100);
        waiting.get(0).accept(() -> returned[0]++);
        assertEquals(0, world.out.size());
        assertEquals(1, returned[0]);
    }

    /** Its upstream would begin once the rest has come, too late to be answered. */
    @Test
    void whenTheRestOfARequestIsStillToComeAtTheLastStartThenItIsRefused() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.AT_MOST_ONCE, 3, 1_000), List.of("one"), List.of(), false);
        world.core.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        World.TestRequest coming = world.new TestRequest(repeatable);
        coming.comes = true;
        World.TestRequest answeredEarly = world.new TestRequest(repeatable);
        answeredEarly.comes = true;
        for (World.TestRequest one : List.of(coming, answeredEarly)) {
            world.core.requestStreaming(repeatable, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        }
        world.out.get(0).mayHaveRun = false;
        world.core.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(99);
        assertEquals(0, coming.answers);
        world.advance(1);
        assertEquals(Answer.Kind.REFUSED, coming.last.kind());
        assertEquals(1, world.out.size());
        assertEquals(0, answeredEarly.answers);
    }

    @Test
    void whenTheProcessEndsThenWhatNobodyWasSentIsRefused() {
        World world = new World(7);
        long sent = 2;
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            if (method.getName().equals("request")
                                    && ((LoadBalancer.Request) arguments[1]).id() == sent) {
                                actions.send(sent, 1, 0);
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 7, roster(new SplittableRandom(8)), world, world);
        List<World.TestRequest> both = List.of(world.new TestRequest(only), world.new TestRequest(only));
        both.forEach(one -> core.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one));
        core.drain(new ShutdownDeadlines(world.now, world.now, world.now));
        assertEquals(2, core.abortAll());
        assertEquals(Answer.Kind.REFUSED, both.get(0).last.kind());
        assertEquals(Answer.Kind.UNANSWERED, both.get(1).last.kind());
        assertEquals(0, world.out.size());
    }

    /** The time of a request counts from its end, for the module, for the attempt and for the answer. */
    @Test
    void whileARequestComesItsClockStandsStill() {
        World world = new World(9);
        List<Double> fired = new ArrayList<>();
        List<LoadBalancer.Outcome> outcomes = new ArrayList<>();
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            switch (method.getName()) {
                                case "request" -> {
                                    actions.setTimer(1, world.now + 100);
                                    actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 400);
                                    // A second copy of what can't be read twice.
                                    actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 400);
                                }
                                case "timer" -> fired.add(world.now);
                                case "attemptFinished" -> outcomes.add((LoadBalancer.Outcome) arguments[1]);
                                default -> {}
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 9, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        one.comes = true;
        Exchange exchange =
                core.requestStreaming(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        assertEquals(Result.NOT_SENT, outcomes.remove(0).result());
        world.advance(60_000);
        assertEquals(List.of(), fired);
        assertEquals(0, one.answers);
        one.ended = true;
        core.requestComplete(exchange);
        double ended = world.now;
        world.advance(399);
        assertEquals(List.of(ended + 100), fired);
        assertEquals(0, outcomes.size());
        world.advance(2);
        assertEquals(Result.TIMEOUT, outcomes.get(0).result());
        assertEquals(400, outcomes.get(0).elapsed(), 0.01);
        world.advance(500);
        assertEquals(0, one.answers);
        world.advance(200);
        assertEquals(1, one.answers, "left without an answer by its module");
    }

    /** What has begun is no stream on its way to its caller: it ends with the wait for it. */
    @Test
    void whatHasBegunEndsOnceNobodyWaits() {
        World world = new World(3);
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            if (method.getName().equals("request")) {
                                actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 0);
                                actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 0);
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 3, roster(new SplittableRandom(8)), world, world);
        for (boolean leaves : new boolean[] {true, false}) {
            World.TestRequest one = world.new TestRequest(only);
            Exchange exchange = core.request(only, new Arrival(0, 0, 0, world.now + 60_000, 0, false, true), one, one);
            for (World.Out out : List.copyOf(world.out)) {
                out.progress.responseStarted();
            }
            if (leaves) {
                core.clientGone(exchange);
            } else {
                world.out.get(0).finish(Result.OK);
            }
            assertEquals(0, world.out.size());
            assertEquals(0, core.requests());
        }
    }

    /** What a body takes is not the server's latency; of an attempt that fails all of its time counts. */
    @Test
    void aBodyThatTricklesInIsNoLatency() {
        World world = new World(5);
        List<Double> begun = new ArrayList<>();
        List<LoadBalancer.Outcome> outcomes = new ArrayList<>();
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            switch (method.getName()) {
                                case "request" -> actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 0);
                                case "streamStarted" -> begun.add((Double) arguments[3]);
                                case "attemptFinished" -> outcomes.add((LoadBalancer.Outcome) arguments[1]);
                                default -> {}
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 5, roster(new SplittableRandom(8)), world, world);
        for (Result result : new Result[] {Result.OK, Result.RESET}) {
            World.TestRequest one = world.new TestRequest(only);
            core.request(only, new Arrival(0, 0, 0, world.now + 60_000, 0, false, true), one, one);
            world.advance(30);
            world.out.get(0).progress.responseStarted();
            world.advance(900);
            world.out.get(0).finish(result);
        }
        assertEquals(List.of(30L, 30L), begun.stream().map(Math::round).toList());
        assertEquals(
                List.of(30L, 930L),
                outcomes.stream().map(one -> Math.round(one.elapsed())).toList());
    }

    /** Also a module that breaks its word sends nothing for what has its answer. */
    @Test
    void nothingIsSentOnceItIsAnswered() {
        World world = new World(6);
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            if (method.getName().equals("request")) {
                                long id = ((LoadBalancer.Request) arguments[1]).id();
                                actions.send(id, 1, 0);
                                actions.fail(id);
                                actions.send(id, 1, 0);
                                actions.fail(id);
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 6, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        core.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        assertEquals(1, one.sends);
        assertEquals(1, one.answers);
        world.out.get(0).finish(Result.OK);
        assertEquals(1, one.answers);
        assertEquals(1, one.released);
    }

    /** Core itself ends what is out for a request that it gives up, also where the module doesn't. */
    @Test
    void nothingIsLeftOutForWhatIsGivenUp() {
        World world = new World(7);
        RequestProxy core = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            if (method.getName().equals("request")) {
                                actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 0);
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        core.start(only, 7, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        core.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        core.abortAll();
        assertEquals(1, one.answers);
        assertEquals(0, world.out.size());
        assertEquals(1, one.released);
    }

    /** A version may be gone back to until it is released, whether or not a request holds it. */
    @Test
    void aVersionLivesUntilItIsReleasedAndItsRequestsAreForgotten() {
        World world = new World(4);
        Version first = version(1, world.random);
        Roster servers = roster(new SplittableRandom(8));
        world.core.start(first, 4, servers, world, world);
        world.ask();
        world.core.adopt(version(2, world.random), servers);
        world.core.release(1);
        assertEquals(2, world.core.versions());
        world.out.get(0).finish(Result.OK);
        assertEquals(1, world.core.versions());
        world.core.adopt(version(3, world.random), servers);
        assertEquals(2, world.core.versions());
        world.core.release(2);
        assertEquals(1, world.core.versions());
    }

    @Test
    void whatComesBeyondTheBoundIsRefusedUnasked() {
        World world = new World(5);
        Version tight = new Version(1, settings(Repeat.AT_MOST_ONCE, 1, 3), List.of("one"), List.of(), false);
        world.core.start(tight, 5, roster(new SplittableRandom(8)), world, world);
        for (int i = 0; i < 5; i++) {
            world.ask();
        }
        assertEquals(3, world.core.requests());
        assertEquals(3, world.out.size());
        assertEquals(
                List.of(0, 0, 0, 1, 1),
                world.requested.stream().map(one -> one.answers).toList());
        assertEquals(
                List.of(0, 0, 0, 1, 1),
                world.requested.stream().map(one -> one.released).toList());
    }
}
