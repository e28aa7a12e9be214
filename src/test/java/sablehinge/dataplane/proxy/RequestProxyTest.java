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

/** The proxy in virtual time, between a transport and clients that act at random. */
class RequestProxyTest {

    private static Settings settings(Repeat repeat, int attempts, int maxOpen) {
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
                new Limits(attempts, maxOpen, true, true, false, false, true, 500, 100, 30_000, 1, 0, 0),
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

    /** A simulation with a clock, timers, a transport and a proxy. */
    private static final class World implements Timers, Transport, Registry {

        private record ScheduledTimer(double at, long order, Runnable call, boolean[] off) {}

        /** An attempt in flight. */
        private final class InFlightAttempt implements Attempt {
            final Version version;
            final Payload request;
            private final Progress progress;
            boolean mayHaveRun = true;
            private boolean over;

            InFlightAttempt(Version version, Payload request, Progress progress) {
                this.version = version;
                this.request = request;
                this.progress = progress;
            }

            void finish(Result result) {
                if (!over) {
                    over = true;
                    inFlight.remove(this);
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

        /** A request and its outcome. */
        private final class TestRequest implements Caller, Payload {
            final Version version;
            Exchange exchange;
            int answers;
            Answer lastAnswer;
            int released;
            int attempts;
            boolean disconnected;
            /** Whether the request is streamed, and whether it was received completely. */
            boolean streamed;

            boolean complete;

            TestRequest(Version version) {
                this.version = version;
            }

            @Override
            public void answer(Answer answer) {
                lastAnswer = answer;
                answers++;
            }

            @Override
            public void release() {
                released++;
            }

            @Override
            public boolean canBeSent() {
                return !streamed || attempts == 0;
            }
        }

        final SplittableRandom random;
        final PriorityQueue<ScheduledTimer> scheduled = new PriorityQueue<>(
                Comparator.comparingDouble(ScheduledTimer::at).thenComparingLong(ScheduledTimer::order));
        final List<InFlightAttempt> inFlight = new ArrayList<>();
        final List<TestRequest> requested = new ArrayList<>();
        final Map<Integer, Integer> forgotten = new HashMap<>();
        final RequestProxy proxy;
        double now = 1_000;
        private long order;
        private boolean failing;

        World(long seed) {
            random = new SplittableRandom(seed);
            proxy = new RequestProxy(
                    () -> now, this, actions -> new FailingModule(new LatencyWeightedBalancer(actions)));
        }

        /** A module that occasionally throws an exception during a call. */
        private final class FailingModule implements LoadBalancer {
            private final LoadBalancer inner;
            private final Map<Settings, Integer> numbers = new java.util.IdentityHashMap<>();

            FailingModule(LoadBalancer inner) {
                this.inner = inner;
            }

            private void throwSometimes() {
                if (failing && random.nextInt(40) == 0) {
                    throw new IllegalStateException("simulated failure");
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
                throwSometimes();
                inner.request(at, request);
                throwSometimes();
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
                throwSometimes();
                inner.attemptFinished(at, outcome);
            }

            @Override
            public void streamStarted(double at, long requestId, int attempt, double elapsed) {
                throw new AssertionError("unexpected start of a response");
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
            ScheduledTimer timer = new ScheduledTimer(time, order++, call, new boolean[1]);
            scheduled.add(timer);
            return () -> timer.off()[0] = true;
        }

        void advance(double ms) {
            double until = now + ms;
            while (!scheduled.isEmpty() && scheduled.peek().at() <= until) {
                ScheduledTimer timer = scheduled.poll();
                now = Math.max(now, timer.at());
                if (!timer.off()[0]) {
                    timer.call().run();
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
            TestRequest testRequest = (TestRequest) request;
            assertEquals(testRequest.version, version, "an attempt under another version");
            assertEquals(0, testRequest.released, "an attempt with a released payload");
            testRequest.attempts++;
            InFlightAttempt one = new InFlightAttempt(version, request, progress);
            inFlight.add(one);
            if (random.nextInt(20) == 0) {
                one.finish(Result.CONNECT_FAILED);
            } else if (!testRequest.streamed || testRequest.complete) {
                at(until, () -> one.finish(Result.TIMEOUT));
            }
            return one;
        }

        @Override
        public void healthCheck(Version version, long upstream, double until, Consumer<AttemptResult> end) {
            throw new AssertionError("unexpected health check");
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

        /** Completes a streamed request unless its client has disconnected. */
        void completeRequest(int index) {
            TestRequest one = index < requested.size() ? requested.get(index) : null;
            if (one != null && one.streamed && !one.disconnected) {
                one.complete = true;
                proxy.requestComplete(one.exchange);
            }
        }

        void sendRequest() {
            TestRequest one = new TestRequest(proxy.version());
            requested.add(one);
            one.streamed = random.nextInt(4) == 0;
            Arrival arrival = new Arrival(0, 0, 0, now + 1_000, 0, false, true);
            one.exchange = one.streamed
                    ? proxy.requestStreaming(one.version, arrival, one, one)
                    : proxy.request(one.version, arrival, one, one);
        }
    }

    @Test
    void answersEachRequestOnceAndForgetsEachVersionOnce() {
        // The module throws thousands of simulated failures, which would flood the log.
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
        world.failing = seed % 2 == 0;
        List<Version> versions = new ArrayList<>(List.of(version(1, world.random)));
        world.proxy.start(versions.get(0), seed, roster(world.random), world, world);
        for (int step = 0; step < 300; step++) {
            switch (world.random.nextInt(10)) {
                case 0 -> {
                    Version next = version(versions.size() + 1, world.random);
                    versions.add(next);
                    int old = world.proxy.version().number();
                    world.proxy.adopt(next, roster(world.random));
                    world.proxy.release(old);
                }
                case 1 -> {
                    if (!world.requested.isEmpty()) {
                        var one = world.requested.get(world.random.nextInt(world.requested.size()));
                        one.disconnected |= one.exchange.isOpen();
                        world.proxy.clientGone(one.exchange);
                    }
                }
                case 2, 3, 4 -> {
                    if (!world.inFlight.isEmpty()) {
                        Result[] results = {Result.OK, Result.OK, Result.ERROR, Result.FULL, Result.RESET};
                        world.inFlight
                                .get(world.random.nextInt(world.inFlight.size()))
                                .finish(results[world.random.nextInt(results.length)]);
                    }
                }
                case 5 -> world.completeRequest(world.random.nextInt(world.requested.size() + 1));
                default -> world.sendRequest();
            }
            world.advance(world.random.nextInt(60));
        }
        for (int i = 0; i < world.requested.size(); i++) {
            world.completeRequest(i);
        }
        world.advance(5_000);
        for (var one : world.requested) {
            assertEquals(one.disconnected ? 0 : 1, one.answers, what);
            assertEquals(1, one.released, what);
        }
        assertEquals(0, world.proxy.requests(), what);
        assertEquals(1, world.proxy.versions(), what);
        assertEquals(versions.size() - 1, world.forgotten.size(), what);
        assertTrue(world.forgotten.values().stream().allMatch(times -> times == 1), what);
    }

    @Test
    void answersRequestsInFlightOnAbort() {
        World world = new World(3);
        world.proxy.start(version(1, world.random), 3, roster(new SplittableRandom(8)), world, world);
        for (int i = 0; i < 20; i++) {
            world.sendRequest();
        }
        world.proxy.abortAll();
        world.requested.forEach(one -> assertEquals(1, one.answers));
        assertEquals(0, world.inFlight.size(), "attempts continue for answered requests");
        world.advance(2_000);
        world.requested.forEach(one -> assertEquals(1, one.answers + one.released - 1));
    }

    @Test
    void rejectsRequestsAfterStartDeadline() {
        World world = new World(3);
        world.proxy.start(version(1, world.random), 3, roster(new SplittableRandom(8)), world, world);
        world.proxy.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(99);
        world.sendRequest();
        assertEquals(1, world.requested.get(0).attempts);
        world.advance(1);
        world.sendRequest();
        World.TestRequest late = world.requested.get(1);
        assertEquals(Answer.Kind.REFUSED, late.lastAnswer.kind());
        assertTrue(late.lastAnswer.retryAfter() > 0);
        assertEquals(0, late.attempts);
        assertEquals(1, late.released);
    }

    @Test
    void startsNoRetryAfterStartDeadline() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.IDEMPOTENT, 3, 1_000), List.of("one"), List.of(), false);
        world.proxy.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        world.sendRequest();
        world.proxy.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(100);
        world.inFlight.get(0).finish(Result.RESET);
        assertEquals(1, world.requested.get(0).attempts);
        assertEquals(1, world.requested.get(0).answers);
    }

    @Test
    void startsNoRetryWhenPermitArrivesAfterStartDeadline() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.IDEMPOTENT, 3, 1_000), List.of("one"), List.of(), false);
        List<Consumer<Runnable>> waiting = new ArrayList<>();
        int[] returned = {0};
        world.proxy.setRetryLimiter((version, serviceClass, concurrent, callback) -> waiting.add(callback));
        world.proxy.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(repeatable);
        world.proxy.request(repeatable, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        world.proxy.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.inFlight.get(0).finish(Result.RESET);
        world.advance(100);
        waiting.get(0).accept(() -> returned[0]++);
        assertEquals(0, world.inFlight.size());
        assertEquals(1, returned[0]);
    }

    /** The upstream would start the request only after its end arrives, too late to be answered. */
    @Test
    void rejectsIncompleteStreamedRequestAtStartDeadline() {
        World world = new World(3);
        Version repeatable = new Version(1, settings(Repeat.AT_MOST_ONCE, 3, 1_000), List.of("one"), List.of(), false);
        world.proxy.start(repeatable, 3, roster(new SplittableRandom(8)), world, world);
        World.TestRequest incomplete = world.new TestRequest(repeatable);
        incomplete.streamed = true;
        World.TestRequest answeredEarly = world.new TestRequest(repeatable);
        answeredEarly.streamed = true;
        for (World.TestRequest one : List.of(incomplete, answeredEarly)) {
            world.proxy.requestStreaming(repeatable, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        }
        world.inFlight.get(0).mayHaveRun = false;
        world.proxy.drain(new ShutdownDeadlines(world.now, world.now + 100, world.now + 500));
        world.advance(99);
        assertEquals(0, incomplete.answers);
        world.advance(1);
        assertEquals(Answer.Kind.REFUSED, incomplete.lastAnswer.kind());
        assertEquals(1, world.inFlight.size());
        assertEquals(0, answeredEarly.answers);
    }

    @Test
    void rejectsUnsentAndFailsSentRequestsOnAbort() {
        World world = new World(7);
        long sent = 2;
        RequestProxy proxy = new RequestProxy(
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
        proxy.start(only, 7, roster(new SplittableRandom(8)), world, world);
        List<World.TestRequest> requests = List.of(world.new TestRequest(only), world.new TestRequest(only));
        requests.forEach(one -> proxy.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one));
        proxy.drain(new ShutdownDeadlines(world.now, world.now, world.now));
        assertEquals(2, proxy.abortAll());
        assertEquals(Answer.Kind.REFUSED, requests.get(0).lastAnswer.kind());
        assertEquals(Answer.Kind.UNANSWERED, requests.get(1).lastAnswer.kind());
        assertEquals(0, world.inFlight.size());
    }

    /** The timeouts of the module, of the attempt and of the answer start when the request is received completely. */
    @Test
    void startsTimeoutsAtEndOfStreamedRequest() {
        World world = new World(9);
        List<Double> fired = new ArrayList<>();
        List<LoadBalancer.Outcome> outcomes = new ArrayList<>();
        RequestProxy proxy = new RequestProxy(
                () -> world.now, world, actions -> (LoadBalancer) java.lang.reflect.Proxy.newProxyInstance(
                        RequestProxyTest.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (self, method, arguments) -> {
                            switch (method.getName()) {
                                case "request" -> {
                                    actions.setTimer(1, world.now + 100);
                                    actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 400);
                                    // A second attempt of a payload that can't be sent twice.
                                    actions.send(((LoadBalancer.Request) arguments[1]).id(), 1, 400);
                                }
                                case "timer" -> fired.add(world.now);
                                case "attemptFinished" -> outcomes.add((LoadBalancer.Outcome) arguments[1]);
                                default -> {}
                            }
                            return null;
                        }));
        Version only = version(1, world.random);
        proxy.start(only, 9, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        one.streamed = true;
        Exchange exchange =
                proxy.requestStreaming(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        assertEquals(Result.NOT_SENT, outcomes.remove(0).result());
        world.advance(60_000);
        assertEquals(List.of(), fired);
        assertEquals(0, one.answers);
        one.complete = true;
        proxy.requestComplete(exchange);
        double completedAt = world.now;
        world.advance(399);
        assertEquals(List.of(completedAt + 100), fired);
        assertEquals(0, outcomes.size());
        world.advance(2);
        assertEquals(Result.TIMEOUT, outcomes.get(0).result());
        assertEquals(400, outcomes.get(0).elapsed(), 0.01);
        world.advance(500);
        assertEquals(0, one.answers);
        world.advance(200);
        assertEquals(1, one.answers, "the module left the request unanswered");
    }

    /**
     * A response that has started is not streamed to the client yet, so its attempt is cancelled once nobody waits for
     * it.
     */
    @Test
    void cancelsRespondingAttemptsOnceNobodyWaits() {
        World world = new World(3);
        RequestProxy proxy = new RequestProxy(
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
        proxy.start(only, 3, roster(new SplittableRandom(8)), world, world);
        for (boolean leaves : new boolean[] {true, false}) {
            World.TestRequest one = world.new TestRequest(only);
            Exchange exchange = proxy.request(only, new Arrival(0, 0, 0, world.now + 60_000, 0, false, true), one, one);
            for (World.InFlightAttempt attempt : List.copyOf(world.inFlight)) {
                attempt.progress.responseStarted();
            }
            if (leaves) {
                proxy.clientGone(exchange);
            } else {
                world.inFlight.get(0).finish(Result.OK);
            }
            assertEquals(0, world.inFlight.size());
            assertEquals(0, proxy.requests());
        }
    }

    /**
     * The duration of a response body is not part of the server's latency; for a failed attempt the whole duration
     * counts.
     */
    @Test
    void excludesSlowResponseBodyFromLatency() {
        World world = new World(5);
        List<Double> begun = new ArrayList<>();
        List<LoadBalancer.Outcome> outcomes = new ArrayList<>();
        RequestProxy proxy = new RequestProxy(
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
        proxy.start(only, 5, roster(new SplittableRandom(8)), world, world);
        for (Result result : new Result[] {Result.OK, Result.RESET}) {
            World.TestRequest one = world.new TestRequest(only);
            proxy.request(only, new Arrival(0, 0, 0, world.now + 60_000, 0, false, true), one, one);
            world.advance(30);
            world.inFlight.get(0).progress.responseStarted();
            world.advance(900);
            world.inFlight.get(0).finish(result);
        }
        assertEquals(List.of(30L, 30L), begun.stream().map(Math::round).toList());
        assertEquals(
                List.of(30L, 930L),
                outcomes.stream().map(one -> Math.round(one.elapsed())).toList());
    }

    /** Even a faulty module can't send attempts for an answered request. */
    @Test
    void sendsNothingAfterAnswer() {
        World world = new World(6);
        RequestProxy proxy = new RequestProxy(
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
        proxy.start(only, 6, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        proxy.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        assertEquals(1, one.attempts);
        assertEquals(1, one.answers);
        world.inFlight.get(0).finish(Result.OK);
        assertEquals(1, one.answers);
        assertEquals(1, one.released);
    }

    /** The proxy cancels the attempts of an aborted request even if the module does not. */
    @Test
    void cancelsAttemptsOfAbortedRequests() {
        World world = new World(7);
        RequestProxy proxy = new RequestProxy(
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
        proxy.start(only, 7, roster(new SplittableRandom(8)), world, world);
        World.TestRequest one = world.new TestRequest(only);
        proxy.request(only, new Arrival(0, 0, 0, world.now + 1_000, 0, false, true), one, one);
        proxy.abortAll();
        assertEquals(1, one.answers);
        assertEquals(0, world.inFlight.size());
        assertEquals(1, one.released);
    }

    /** A version may be adopted again until it is released, whether or not it has requests. */
    @Test
    void forgetsVersionOnceReleasedAndUnused() {
        World world = new World(4);
        Version first = version(1, world.random);
        Roster servers = roster(new SplittableRandom(8));
        world.proxy.start(first, 4, servers, world, world);
        world.sendRequest();
        world.proxy.adopt(version(2, world.random), servers);
        world.proxy.release(1);
        assertEquals(2, world.proxy.versions());
        world.inFlight.get(0).finish(Result.OK);
        assertEquals(1, world.proxy.versions());
        world.proxy.adopt(version(3, world.random), servers);
        assertEquals(2, world.proxy.versions());
        world.proxy.release(2);
        assertEquals(1, world.proxy.versions());
    }

    @Test
    void rejectsRequestsBeyondLimitWithoutModule() {
        World world = new World(5);
        Version tight = new Version(1, settings(Repeat.AT_MOST_ONCE, 1, 3), List.of("one"), List.of(), false);
        world.proxy.start(tight, 5, roster(new SplittableRandom(8)), world, world);
        for (int i = 0; i < 5; i++) {
            world.sendRequest();
        }
        assertEquals(3, world.proxy.requests());
        assertEquals(3, world.inFlight.size());
        assertEquals(
                List.of(0, 0, 0, 1, 1),
                world.requested.stream().map(one -> one.answers).toList());
        assertEquals(
                List.of(0, 0, 0, 1, 1),
                world.requested.stream().map(one -> one.released).toList());
    }
}
