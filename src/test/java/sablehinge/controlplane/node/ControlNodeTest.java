package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.common.eventloop.ClosingEventLoops;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.mesh.watch.PackedConfiguration;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;

/** Three control nodes on loopback addresses, each with its own directory, called through the operator API. */
@Timeout(240)
class ControlNodeTest {

    private static final long TIMEOUT_NANOS = 30_000_000_000L;
    private static final AtomicInteger CLUSTERS = new AtomicInteger();
    private static final HttpClient HTTP = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    @TempDir
    Path directory;

    private final ControlNode[] members = new ControlNode[3];
    private final List<String> seeds = new ArrayList<>();
    private final List<String> redirects = new CopyOnWriteArrayList<>();
    private String subnet;

    @BeforeEach
    void startAll() throws Exception {
        long process = ProcessHandle.current().pid();
        subnet = "127." + (1 + process % 250) + "." + (1 + process / 250 % 250) + ".";
        int first = 200 + 3 * CLUSTERS.getAndIncrement();
        for (int i = 0; i < members.length; i++) {
            seeds.add(subnet + (first + i) + ":7090");
        }
        for (int i = 0; i < members.length; i++) {
            start(i, true);
        }
    }

    @AfterEach
    void stopAll() throws Exception {
        for (int i = 0; i < members.length; i++) {
            stop(i);
        }
    }

    private void start(int i, boolean first) throws Exception {
        members[i] = ControlNode.start(settings(i, first), System.nanoTime());
    }

    private LocalSettings settings(int i, boolean first) {
        String control = seeds.get(i);
        return new LocalSettings(
                "r-" + i,
                LocalSettings.Role.CONTROL,
                "small",
                List.of("control"),
                control.substring(0, control.indexOf(':')),
                "monza-a",
                "monza",
                7_100,
                7_110,
                seeds,
                first,
                true,
                directory.resolve("r-" + i).toString(),
                500,
                List.of(),
                null,
                null,
                Map.of("monza-a", "monza"),
                new LocalSettings.ListenOn(null, null, null, control),
                new LocalSettings.Limits(1, 1, 256, 1_024, 1_000, 100),
                1,
                new LocalSettings.Bounds(
                        3, 2, 3_000, 5_000, 4, 2_500, 6, 200, 2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0.1, 20,
                        15));
    }

    private void stop(int i) throws InterruptedException {
        if (members[i] != null) {
            members[i].close();
            members[i] = null;
        }
    }

    private static String configuration(long edition, String service) {
        return """
                {"edition":%d,"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerMs":3000,
                 "idleMs":15000},
                 "senders":[{"name":"hule930","passes":["k-1"],"priority":1,"perS":83,"burst":83}],
                 "gates":[{"station":"ficu95.example","regulations":[{"name":"r-1","kind":"safe",
                 "targetMs":600,"priority":2,"open":false,"sorting":{"lanePrefix":"/lohu930/"},
                 "dispatch":{"depot":"%s","timeoutMs":4000,"attempts":2}}]}],
                 "fleets":[{"name":"huvo11a","healthPath":"/health","connCap":110},
                 {"name":"wuno96b","healthPath":"/health","connCap":110}]}"""
                .formatted(edition, service);
    }

    private static HttpResponse<String> call(HttpRequest.Builder request) throws Exception {
        return HTTP.send(
                request.timeout(Duration.ofSeconds(10)).build(),
                HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    }

    private HttpResponse<String> replaceAt(int member, String basedOn, String body) throws Exception {
        return call(HttpRequest.newBuilder(URI.create("http://" + seeds.get(member) + "/sablehinge/Config.Replace"))
                .header("Sablehinge-Based-On", basedOn)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> readAt(int member) throws Exception {
        return call(HttpRequest.newBuilder(URI.create("http://" + seeds.get(member) + "/sablehinge/Config.Read")));
    }

    private interface Call {
        HttpResponse<String> at(int member) throws Exception;
    }

    /** Calls the members in turn, as the protocol requires of operators, until one gives a clear answer. */
    private HttpResponse<String> callUntilAnswered(int first, Call call) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        int member = first;
        while (System.nanoTime() < end) {
            try {
                HttpResponse<String> answer = call.at(member);
                if (answer.statusCode() == 307) {
                    String location = answer.headers().firstValue("Location").orElseThrow();
                    redirects.add(location);
                    member = seeds.indexOf(URI.create(location).getAuthority());
                    continue;
                }
                if (answer.statusCode() < 500) {
                    return answer;
                }
            } catch (IOException e) {
                // The member is down or still starting.
            }
            LockSupport.parkNanos(20_000_000);
            member = (member + 1) % members.length;
        }
        throw new AssertionError("no clear answer");
    }

    private int replace(long basedOn, String body) throws Exception {
        return callUntilAnswered(0, member -> replaceAt(member, "" + basedOn, body))
                .statusCode();
    }

    private HttpResponse<String> read(int first) throws Exception {
        return callUntilAnswered(first, this::readAt);
    }

    /** The index of the leader, once all running members agree on it. */
    private int leader() throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (System.nanoTime() < end) {
            int leader = -1;
            int followers = 0;
            int running = 0;
            for (int i = 0; i < members.length; i++) {
                if (members[i] != null) {
                    running++;
                    HttpResponse<String> answer = readAt(i);
                    if (answer.statusCode() == 307) {
                        followers++;
                    } else if (answer.statusCode() < 500) {
                        leader = i;
                    }
                }
            }
            if (leader >= 0 && followers == running - 1) {
                return leader;
            }
            LockSupport.parkNanos(20_000_000);
        }
        throw new AssertionError("no leader");
    }

    @Test
    void replacesAndReadsConfigurationThroughAnyMember() throws Exception {
        assertEquals(404, read(0).statusCode());
        String body = configuration(7, "huvo11a");
        assertEquals(200, replace(0, body));
        for (int i = 0; i < 3; i++) {
            assertEquals(body, read(i).body());
            assertEquals(
                    200,
                    callUntilAnswered(i, member -> replaceAt(member, "0", body)).statusCode());
        }
        assertFalse(redirects.isEmpty());
        for (String location : redirects) {
            assertTrue(location.matches("http://127[.0-9]+:7090/sablehinge/Config[.](Read|Replace)"), location);
        }
        assertEquals(200, replace(7, configuration(9, "wuno96b")));
        assertEquals(200, replace(0, body));
        assertEquals(configuration(9, "wuno96b"), read(2).body());
    }

    @Test
    void acceptsOneOfTwoConcurrentChangesOnSameBase() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        List<String> bodies = List.of(configuration(9, "huvo11a"), configuration(10, "wuno96b"));
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        for (String body : bodies) {
            answers.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return replace(7, body);
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            }));
        }
        List<Integer> codes = List.of(answers.get(0).get(), answers.get(1).get());
        assertEquals(List.of(200, 412), codes.stream().sorted().toList());
        assertEquals(bodies.get(codes.indexOf(200)), read(1).body());
        assertEquals(412, replace(7, configuration(11, "huvo11a")));
    }

    @Test
    void refusesInvalidConfigurationWithItsPlace() throws Exception {
        String body = configuration(7, "huvo11a");
        String[][] invalidParts = {
            {"\"edition\":7", "\"edition\":\"x\"", "/edition"},
            {"{\"depot\":\"huvo11a\"", "{\"depot\":\"no\"", "/gates/0/regulations/0/dispatch"},
            {"\"attempts\":2", "\"attempts\":0", "/gates/0/regulations/0/dispatch/attempts"},
            {"4000", "600001", "/gates/0/regulations/0/dispatch/timeoutMs"},
            {"\"fleets\"", "\"fleets", "line"}
        };
        for (String[] part : invalidParts) {
            HttpResponse<String> answer =
                    callUntilAnswered(0, member -> replaceAt(member, "0", body.replace(part[0], part[1])));
            assertEquals(400, answer.statusCode());
            assertTrue(answer.body().contains(part[2]), answer.body());
        }
        assertEquals(
                400,
                callUntilAnswered(0, member -> replaceAt(member, "none", body)).statusCode());
        assertEquals(404, read(0).statusCode());
        assertEquals(200, replace(0, body));
        assertEquals(400, replace(7, configuration(6, "huvo11a")));
        assertEquals(body, read(0).body());
    }

    @Test
    void unclearCallMayBeRepeatedAtNextLeader() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        int leader = leader();
        String body = configuration(8, "wuno96b");
        assertEquals(200, replace(7, body));
        stop(leader);
        assertEquals(
                200,
                callUntilAnswered((leader + 1) % 3, member -> replaceAt(member, "7", body))
                        .statusCode());
        assertEquals(body, read((leader + 2) % 3).body());
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        assertEquals(412, replace(7, configuration(9, "huvo11a")));
        start(leader, false);
        assertEquals(200, replace(8, configuration(10, "huvo11a")));
        assertEquals(configuration(10, "huvo11a"), read(leader).body());
    }

    /** On SIGTERM, {@code leave} returns once another member leads and a majority of the others has all entries. */
    @Test
    void stoppedLeaderTransfersLeadership() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        int leader = leader();
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!members[leader].leave(0)) {
            assertTrue(System.nanoTime() < end, "no other member takes over");
        }
        assertTrue(leader() != leader);
        stop(leader);
        assertEquals(200, replace(7, configuration(8, "wuno96b")));
    }

    @Test
    void acknowledgesAndReadsNothingWithoutMajority() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        int leader = leader();
        stop((leader + 1) % 3);
        stop((leader + 2) % 3);
        for (int i = 0; i < 3; i++) {
            int code = replaceAt(leader, "7", configuration(8, "wuno96b")).statusCode();
            assertTrue(code == 503 || code == 307, "acknowledged with " + code);
            code = readAt(leader).statusCode();
            assertTrue(code == 503 || code == 307, "read with " + code);
        }
        start((leader + 1) % 3, false);
        assertEquals(200, replace(7, configuration(8, "wuno96b")));
        assertEquals(configuration(8, "wuno96b"), read(leader).body());
    }

    @Test
    void acknowledgedChangesSurviveRestartOfAllMembers() throws Exception {
        // More entries than the log holds before it is compacted to a snapshot.
        for (int edition = 1; edition <= 50; edition++) {
            assertEquals(200, replace(edition - 1, configuration(edition, "huvo11a")));
        }
        for (int i = 0; i < 3; i++) {
            stop(i);
        }
        for (int i = 0; i < 3; i++) {
            start(i, false);
        }
        assertEquals(configuration(50, "huvo11a"), read(0).body());
        assertEquals(200, replace(0, configuration(1, "huvo11a")));
        assertEquals(200, replace(49, configuration(50, "huvo11a")));
        assertEquals(412, replace(49, configuration(51, "huvo11a")));
        assertEquals(200, replace(50, configuration(51, "huvo11a")));
    }

    /** A start with another address must find the first address free. */
    @Test
    void failedStartLeavesNoListenerBehind() throws Exception {
        stop(0);
        InetSocketAddress control = ControlNode.address(seeds.get(0));
        InetSocketAddress innerAddress = new InetSocketAddress(control.getAddress(), 7_100);
        try (ServerSocket occupied = new ServerSocket()) {
            occupied.bind(control);
            assertThrows(ConfigException.class, () -> start(0, false));
        }
        try (ServerSocket free = new ServerSocket()) {
            free.bind(innerAddress);
        }
        start(0, false);
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
    }

    /** The disk is unusable at the start: a file has the name of its directory. */
    @Test
    void nodeWithFailingDiskAnswersAndJoinsOnceDiskRecovers() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        int leader = leader();
        int restarted = (leader + 1) % 3;
        stop(restarted);
        Path memberDirectory = directory.resolve("r-" + restarted);
        Files.move(memberDirectory, directory.resolve("aside"));
        Files.writeString(memberDirectory, "not a folder");
        start(restarted, false);
        assertEquals(503, readAt(restarted).statusCode());
        assertEquals(200, replace(7, configuration(8, "wuno96b")));
        assertEquals(503, readAt(restarted).statusCode());
        Files.delete(memberDirectory);
        Files.move(directory.resolve("aside"), memberDirectory);
        leader = leader();
        stop((restarted + 1) % 3 == leader ? (restarted + 2) % 3 : (restarted + 1) % 3);
        assertEquals(200, replace(8, configuration(9, "huvo11a")));
    }

    @Test
    void redirectsWatchRequestToLeaderThatConfirmsUpdate() throws Exception {
        String body = configuration(7, "huvo11a");
        assertEquals(200, replace(0, body));
        int leader = leader();
        EventLoop loop = ClosingEventLoops.single("test");
        try {
            WatchRequest request = new WatchRequest(
                    3,
                    new Registration("s-1", "monza-a", "127.0.0.1:1", "huvo11a", "i-1", true, 4, 0),
                    0,
                    0,
                    0,
                    true,
                    List.of(),
                    List.of());
            Frame redirect = exchange(loop, (leader + 1) % 3, request);
            assertEquals(Frame.Kind.REDIRECT, redirect.kind());
            String host = seeds.get(leader).substring(0, seeds.get(leader).indexOf(':'));
            assertEquals(host + ":7100", new String(redirect.body(), StandardCharsets.UTF_8));
            Frame updateFrame = exchange(loop, leader, request);
            assertEquals(Frame.Kind.UPDATE, updateFrame.kind());
            Update update = Update.read(updateFrame.body());
            assertEquals(3, update.number());
            assertTrue(update.confirmed());
            assertEquals(7, update.edition());
            assertEquals(body, new String(PackedConfiguration.unpack(update.body()), StandardCharsets.UTF_8));
            assertEquals(List.of(request.registration()), update.registrations());
            assertEquals(
                    Stream.of(0, 1, 2)
                            .map(i -> seeds.get(i).replace(":7090", ":7100"))
                            .sorted()
                            .toList(),
                    update.core().stream().sorted().toList());
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void redirectsWatchRequestWithLaterTerm() throws Exception {
        assertEquals(200, replace(0, configuration(7, "huvo11a")));
        int leader = leader();
        EventLoop loop = ClosingEventLoops.single("test");
        try {
            Frame redirect = exchange(
                    loop,
                    leader,
                    new WatchRequest(
                            3,
                            new Registration("s-1", "monza-a", "127.0.0.1:1", "huvo11a", "i-1", true, 4, 0),
                            0,
                            1_000_000,
                            0,
                            false,
                            List.of(),
                            List.of()));
            assertEquals(Frame.Kind.REDIRECT, redirect.kind());
            assertEquals("", new String(redirect.body(), StandardCharsets.UTF_8));
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    /** The first frame with which a member answers a watch request. */
    private Frame exchange(EventLoop loop, int member, WatchRequest request) throws InterruptedException {
        LinkedBlockingQueue<Frame> answers = new LinkedBlockingQueue<>();
        Connection.Handler handler = new Connection.Handler() {
            @Override
            public void opened(Connection.Link link) {
                link.send(new Frame(Frame.Kind.ASK, request.bytes()));
            }

            @Override
            public void onFrame(Connection.Link link, Frame frame) {
                answers.add(frame);
            }
        };
        loop.submit(() -> {
                    new Connection(loop, 300, 20_000)
                            .connect(ControlNode.address(seeds.get(member).replace(":7090", ":7100")), handler);
                })
                .sync();
        Frame answer = answers.poll(20, TimeUnit.SECONDS);
        if (answer == null) {
            throw new AssertionError("no answer");
        }
        return answer;
    }
}
