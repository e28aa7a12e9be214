package sablehinge.tools.replay.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.mapping.MappedRequest;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.StandIn;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.DuplicateAnswer;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.replay.Demand;
import sablehinge.tools.replay.schedule.ReplayClient;
import sablehinge.tools.replay.schedule.ReplaySchedule;

@Timeout(120)
class LoadTest {

    private static final int READING_MS = 200;

    private static final ReplayClient.Terms ONCE = new ReplayClient.Terms(0, 0.5, 0.5, 10, 1, 2_000);
    private static final ReplayClient.Terms TWICE = new ReplayClient.Terms(1, 0.5, 0.5, 10, 1, 2_000);

    private final ConcurrentLinkedQueue<Evidence> record = new ConcurrentLinkedQueue<>();
    private Load load;

    private Load load(String address, Effect effect, double deadline, ReplayClient.Terms clients, int connections)
            throws Exception {
        int colon = address.indexOf(':');
        load = new Load(
                new Load.Options(
                        List.of(new InetSocketAddress(
                                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))),
                        Map.of("look", new ClassPlan(new ClassTerms(effect, Group.ALL, 4_000), 1_000, deadline)),
                        clients,
                        new ReplaySchedule.Terms(1, 1, Double.NaN, Double.NaN, 1),
                        1,
                        connections,
                        10,
                        1),
                record::add);
        return load;
    }

    private static Load.Source some(int count, double every) {
        Iterator<Demand> all = IntStream.range(0, count)
                .mapToObj(i -> new Demand(
                        i * every, "GET", "/look/" + i, new MappedRequest("look", "k" + i, "", 0, -1), null, -1))
                .iterator();
        return () -> all.hasNext() ? all.next() : null;
    }

    private JsonNode run(Load.Source source) throws Exception {
        load.run(source);
        return load.result(0).json();
    }

    private List<ClientAttempt> tries() {
        return record.stream()
                .filter(ClientAttempt.class::isInstance)
                .map(ClientAttempt.class::cast)
                .toList();
    }

    @AfterEach
    void close() {
        if (load != null) {
            load.close();
        }
    }

    /** Closed loops would wait for the first answer, and never see how bad it is. */
    @Test
    void anAnswersLatenessNeverDelaysTheNextRequest() throws Exception {
        try (StandIn server = new StandIn()) {
            server.plan = seen -> new StandIn.Plan(0, 0);
            load(server.address(), Effect.SAFE, 60_000, ONCE, 1_000);
            CompletableFuture<JsonNode> result = CompletableFuture.supplyAsync(() -> {
                try {
                    return run(some(200, 1));
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            server.await(200);
            assertFalse(result.isDone(), "all have come and none is answered");
            server.release();
            assertEquals(
                    200,
                    result.get().path("classes").path("look").path("in_time").asInt()
                            + result.get()
                                    .path("classes")
                                    .path("look")
                                    .path("late")
                                    .asInt());
        }
    }

    @Test
    void latencyCountsFromWhenARequestWasDue() throws Exception {
        try (StandIn server = new StandIn()) {
            server.plan = seen -> new StandIn.Plan(200, 50);
            // Over one connection the second waits for the first, and so on.
            load(server.address(), Effect.SAFE, 60_000, ONCE, 1);
            JsonNode json = run(some(10, 0));
            assertTrue(json.path("latency_ms").path("max").asDouble() >= 500, json.toString());
            assertTrue(json.path("latency_ms").path("p50").asDouble() >= 250, json.toString());
            assertFalse(json.path("figures_count").asBoolean(), "tries waited for a connection");
            assertTrue(json.path("doubts").toString().contains("waited for a connection"));
        }
    }

    @Test
    void aSafeRequestThatFailsIsTriedAgainUnderANewId() throws Exception {
        try (StandIn server = new StandIn()) {
            AtomicInteger count = new AtomicInteger();
            server.plan = seen -> new StandIn.Plan(count.getAndIncrement() == 0 ? 502 : 200, 0);
            load(server.address(), Effect.SAFE, 5_000, TWICE, 10);
            JsonNode json = run(some(1, 1));
            assertEquals(2, json.path("tries").asInt());
            assertEquals(1, json.path("classes").path("look").path("in_time").asInt());
            List<ClientAttempt> tries = tries();
            assertEquals(tries.get(0).txn(), tries.get(1).first());
            assertFalse(tries.get(0).txn().equals(tries.get(1).txn()));
        }
    }

    @Test
    void anUnsafeRequestThatFailsIsNotTriedAgainButOneThatIsRefusedIs() throws Exception {
        try (StandIn server = new StandIn()) {
            server.plan = seen -> new StandIn.Plan(502, 0);
            load(server.address(), Effect.UNSAFE, 5_000, TWICE, 10);
            JsonNode json = run(some(1, 1));
            assertEquals(1, json.path("tries").asInt());
            assertEquals(1, json.path("classes").path("look").path("failed").asInt());
            load.close();
            server.plan = seen -> new StandIn.Plan(503, 0);
            load(server.address(), Effect.UNSAFE, 5_000, TWICE, 10);
            json = run(some(1, 1));
            assertEquals(2, json.path("tries").asInt());
            assertEquals(1, json.path("classes").path("look").path("refused").asInt());
        }
    }

    @Test
    void aServerThatSaysNothingIsLeftWhenTheTimeIsUp() throws Exception {
        try (StandIn server = new StandIn()) {
            server.plan = seen -> new StandIn.Plan(0, 0);
            load(server.address(), Effect.SAFE, 300, ONCE, 10);
            assertEquals(
                    1,
                    run(some(1, 1))
                            .path("classes")
                            .path("look")
                            .path("unanswered")
                            .asInt());
            ClientAttempt tried = tries().get(0);
            assertEquals(End.SILENT, tried.end());
            assertTrue(tried.at() >= tried.until() + 140, "a late answer was still looked for");
            assertEquals(0.3, server.seen.peek().remaining(), 0.05);
        }
    }

    @Test
    void nobodyThereIsUnreachable() throws Exception {
        Listener closed = new Listener();
        closed.close();
        load(closed.address(), Effect.SAFE, 300, ONCE, 10);
        assertEquals(
                1,
                run(some(1, 1)).path("classes").path("look").path("unreachable").asInt());
        assertEquals(End.UNREACHABLE, tries().get(0).end());
    }

    private void against(Function<Peer, Boolean> server, int requests) throws Exception {
        try (Listener listener = new Listener()) {
            load(listener.address(), Effect.UNSAFE, 2_000, ONCE, 1);
            Thread plays = new Thread(() -> {
                try {
                    while (server.apply(listener.accept())) {
                        // The next connection.
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            plays.setDaemon(true);
            plays.start();
            load.run(some(requests, 50));
        }
    }

    private static void write(Peer peer, String text) {
        try {
            peer.read();
            peer.write(text);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static boolean end(Peer peer) {
        try {
            peer.close();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return true;
    }

    @Test
    void anEndWithoutAnAnswerIsBrokenAndAmidOneIsPartial() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        against(
                peer -> {
                    write(peer, turn.getAndIncrement() == 0 ? "" : "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                    return end(peer);
                },
                2);
        assertEquals(
                List.of(End.BROKEN, End.PARTIAL),
                tries().stream().map(ClientAttempt::end).toList());
    }

    /** On a connection that has served before, it must not be taken for an end that crossed the request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n",
                "HTTP/1.1 +200 OK\r\n",
                "HTTP/1.1 200 \1\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n Ab: v\r\n",
                "HTTP/1.1 200 OK\r\nA\1b: v\r\n"
            })
    void aMalformedAnswerIsPartialAndNotSentAgain(String head) throws Exception {
        AtomicInteger connections = new AtomicInteger();
        against(
                peer -> {
                    connections.incrementAndGet();
                    write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    write(peer, head + "Content-Length: 2\r\n\r\nok");
                    return true;
                },
                2);
        assertEquals(
                List.of(End.ANSWERED, End.PARTIAL),
                tries().stream().map(ClientAttempt::end).toList());
        assertEquals(1, connections.get());
    }

    /** A reset within an answer that has no length was counted as the end of it. */
    @Test
    void anAnswerWithoutLengthIsCompletedByAnOrderlyEndOnly() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        against(
                peer -> {
                    write(peer, "HTTP/1.1 200 OK\r\n\r\nbody");
                    return turn.getAndIncrement() == 0 ? end(peer) : reset(peer);
                },
                2);
        assertEquals(
                List.of(End.ANSWERED, End.PARTIAL),
                tries().stream().map(ClientAttempt::end).toList());
    }

    /** Resets the connection once the client has had time to read what was written. */
    private static boolean reset(Peer peer) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(READING_MS));
        try {
            peer.reset();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return true;
    }

    @Test
    void aSecondAnswerIsNoted() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        against(
                peer -> {
                    write(peer, answer + answer);
                    return true;
                },
                1);
        DuplicateAnswer unasked = (DuplicateAnswer) record.stream()
                .filter(DuplicateAnswer.class::isInstance)
                .findFirst()
                .orElseThrow();
        assertEquals(tries().get(0).txn(), unasked.txn());
    }

    /** As keep-alive wants it (RFC 9112, 9.3.1): the end of an idle connection may cross a request. */
    @Test
    void anIdleConnectionThatEndsAsItIsUsedCostsNothing() throws Exception {
        AtomicInteger served = new AtomicInteger();
        against(
                peer -> {
                    write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    if (served.getAndIncrement() == 0) {
                        try {
                            // The next request comes in and is not read.
                            peer.socket.getInputStream().read(new byte[1]);
                            peer.reset();
                        } catch (java.io.IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    }
                    return true;
                },
                2);
        assertEquals(
                List.of(End.ANSWERED, End.ANSWERED),
                tries().stream().map(ClientAttempt::end).toList());
        assertEquals(2, tries().stream().map(ClientAttempt::txn).distinct().count());
    }

    @Test
    void whatIsStoppedSendsNoMoreAndReportsAll() throws Exception {
        try (StandIn server = new StandIn()) {
            load(server.address(), Effect.SAFE, 2_000, ONCE, 10);
            Load stopped = load;
            AtomicInteger made = new AtomicInteger();
            load.run(() -> {
                if (made.get() == 500) {
                    stopped.stop();
                }
                int i = made.getAndIncrement();
                return new Demand(i * 2.0, "GET", "/look/" + i, new MappedRequest("look", "", "", 0, -1), null, -1);
            });
            JsonNode json = load.result(0).json();
            assertTrue(json.path("stopped").asBoolean());
            assertTrue(json.path("requests").asInt() <= 500);
            JsonNode outcomes = json.path("classes").path("look");
            long out = 0;
            for (RequestCounts.Outcome outcome : RequestCounts.Outcome.values()) {
                out += outcomes.path(LoadResult.name(outcome)).asLong();
            }
            assertEquals(json.path("requests").asLong(), out);
        }
    }

    /** Whoever reads the log may wait for a place in the lane's queue while it is stopped. */
    @Test
    void aRequestThatIsAddedAsALaneStopsIsNeitherSentNorWaitedFor() throws Exception {
        EventLoop loop = ClosingEventLoops.single("lane");
        try {
            ReplayTarget nobody = new ReplayTarget(new InetSocketAddress("127.0.0.1", 9), "127.0.0.1:9");
            ReplayWorker lane = new ReplayWorker(loop, "clients", List.of(nobody), 1, ONCE, 1, System.nanoTime(), null);
            loop.submit(lane::stop).sync();
            assertTrue(lane.add(new Planned(System.nanoTime(), "look", null, "/look", "", "", 1_000, 0), 0));
            assertTrue(loop.submit(lane::isDone).sync().getNow());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    @Test
    void targetsBeginWithTheClassAndHoldPlainCharactersOnly() {
        assertEquals("/look/7?z=3", Load.target("look", "/look/7?z=3"));
        assertEquals("/look", Load.target("look", "/look"));
        assertEquals("/look/lookout/7", Load.target("look", "/lookout/7"));
        assertEquals("/look/a%20b%C3%A9", Load.target("look", "/look/a b\u00e9"));
        assertEquals("/look/*", Load.target("look", "*"));
        assertTrue(Load.target("look", "/" + "x".repeat(100_000)).length() < 2_048);
    }

    @Test
    void aGeneratorThatRanLateSaysThatItsFiguresDontCount() throws Exception {
        try (StandIn server = new StandIn()) {
            load(server.address(), Effect.SAFE, 2_000, ONCE, 10);
            Load late = load;
            AtomicInteger made = new AtomicInteger();
            // The source is so slow that each request is past its time when it comes.
            late.run(() -> {
                int i = made.getAndIncrement();
                long until = System.nanoTime() + 40_000_000;
                while (i > 0 && System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
                return i == 20
                        ? null
                        : new Demand(i, "GET", "/look/" + i, new MappedRequest("look", "", "", 0, -1), null, -1);
            });
            assertTrue(
                    late.result(0).doubts().get(0).contains("ran late"),
                    late.result(0).doubts().toString());
        }
    }

    @Test
    void aPageShowsWhatItWasGivenAndNothingOfItIsMarkup() throws Exception {
        try (StandIn server = new StandIn()) {
            load(server.address(), Effect.SAFE, 2_000, ONCE, 10);
            List<Demand> odd = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                odd.add(new Demand(
                        i * 10, "GET", "/x", new MappedRequest("<script>\"&'" + i % 2, "", "", 0, -1), null, -1));
            }
            Iterator<Demand> all = odd.iterator();
            load.run(() -> all.hasNext() ? all.next() : null);
            String page = ReportPage.of(load.result(0), "<b>day</b>");
            assertFalse(page.contains("<script"));
            assertFalse(page.contains("<b>day"));
            assertTrue(page.contains("&lt;script&gt;&quot;&amp;"));
            assertFalse(page.contains("NaN") || page.contains("Infinity"), page);
            assertFalse(page.matches("(?s).*(src|href)=.*"), "it needs nothing from elsewhere");
        }
    }
}
