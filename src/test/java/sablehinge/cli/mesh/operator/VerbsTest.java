package sablehinge.cli.mesh.operator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sablehinge.cli.mesh.MeshCommands;
import sablehinge.controlplane.api.Machine;
import sablehinge.controlplane.api.MeshStatus;

/** Tests the commands against a scripted core and a clock that advances only by the commands' own waits. */
class VerbsTest {

    private static final String CORE = "a:1,b:1,c:1";
    private static final String KEY = "s3cr3tk3y";
    private static final String NEXT_KEY = "n3xts3cr3t";

    /** The answers of each address in sequence; the last answer is repeated. */
    private final Map<String, Deque<Object>> scriptedAnswers = new HashMap<>();

    private final List<String> called = new ArrayList<>();
    private final List<HttpCaller.Request> requests = new ArrayList<>();
    private final List<Long> pauses = new ArrayList<>();
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private long now;

    @TempDir
    Path folder;

    private static final Object NO_ANSWER = new Object();
    private static final Object REFUSES_CONNECTION = new Object();

    @BeforeEach
    void refuseAllConnections() {
        answers("a:1", REFUSES_CONNECTION);
        answers("b:1", REFUSES_CONNECTION);
        answers("c:1", REFUSES_CONNECTION);
    }

    private void answers(String address, Object... inSequence) {
        scriptedAnswers.put(address, new ArrayDeque<>(List.of(inSequence)));
    }

    private static HttpCaller.Answer answer(int status, String body) {
        return new HttpCaller.Answer(status, null, body.getBytes(StandardCharsets.UTF_8));
    }

    private static HttpCaller.Answer error(int status, String code) {
        return answer(status, "{\"code\":\"" + code + "\",\"place\":\"/p\",\"message\":\"m\"}");
    }

    private static HttpCaller.Answer redirectTo(String address) {
        return new HttpCaller.Answer(307, "http://" + address + "/sablehinge/Config.Replace", new byte[0]);
    }

    private HttpCaller.Answer answerCall(String address, HttpCaller.Request request, long withinMs) throws IOException {
        called.add(address);
        requests.add(request);
        Deque<Object> remaining = scriptedAnswers.get(address);
        Object result = remaining.size() > 1 ? remaining.poll() : remaining.peek();
        if (result == NO_ANSWER) {
            now += withinMs;
            throw new IOException("silent");
        }
        if (result == REFUSES_CONNECTION) {
            throw new ConnectException("down");
        }
        return (HttpCaller.Answer) result;
    }

    private int run(String... args) {
        PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
        return MeshCommands.run(
                args,
                new CommandContext(
                        out,
                        out,
                        this::answerCall,
                        new MonotonicClock() {
                            @Override
                            public long now() {
                                return now;
                            }

                            @Override
                            public void sleep(long ms) {
                                pauses.add(ms);
                                now += ms;
                            }
                        },
                        CORE));
    }

    private String output() {
        return printed.toString(StandardCharsets.UTF_8);
    }

    private void assertPrinted(String part) {
        assertTrue(output().contains(part), output());
    }

    private static String configuration(long edition, String service, String key) {
        return ("""
                {"edition":%d,"limits":{"headerBytes":1,"bodyBytes":1,"headerMs":1,"idleMs":1},
                 "senders":[{"name":"t-1","passes":["%s"],"priority":1,"perS":8,"burst":8}],
                 "gates":[{"station":"h.example","regulations":[{"name":"r-1","kind":"safe",
                 "targetMs":600,"priority":2,"open":false,"sorting":{"lanePrefix":"/x/"},
                 "dispatch":{"depot":"%s","timeoutMs":4000,"attempts":2}}]}],
                 "fleets":[{"name":"%s","healthPath":"/health","connCap":110}]}""")
                .formatted(edition, key, service, service);
    }

    private String file(String body) {
        try {
            return Files.writeString(folder.resolve("next.json"), body).toString();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private String next() {
        return file(configuration(7, "s-2", NEXT_KEY));
    }

    @Test
    void followsAtMostTwoRedirects() {
        answers("a:1", redirectTo("b:1"));
        answers("b:1", redirectTo("c:1"));
        answers("c:1", redirectTo("a:1"), answer(200, "{\"edition\":7}"));
        assertEquals(0, run("config", "put", "-b", "5", next()));
        assertEquals(List.of("a:1", "b:1", "c:1", "b:1", "c:1"), called);
        assertPrinted("taken: edition 7, by c:1\n");
    }

    @Test
    void repeatsIdenticalCallAtOtherAddressesUntilAnswerIsClear() {
        answers("a:1", NO_ANSWER);
        answers("b:1", error(503, "NO_MAJORITY"));
        answers("c:1", error(429, "BUSY"), answer(200, "{}"));
        assertEquals(0, run("config", "put", "--based-on", "5", next()));
        assertEquals(List.of("a:1", "b:1", "c:1", "a:1", "b:1", "c:1"), called);
        assertEquals(List.of(50L, 100L, 200L, 400L, 800L), pauses);
        for (HttpCaller.Request request : requests) {
            assertEquals("5", request.headers().get("Sablehinge-Based-On"));
            assertArrayEquals(requests.get(0).body(), request.body());
        }
    }

    @Test
    void timeoutEndsWithinLimitAndIsNotReportedAsRefusal() {
        answers("b:1", NO_ANSWER);
        assertEquals(3, run("config", "put", "-w", "5000", "-b", "5", next()));
        assertTrue(now <= 5_000, "ended at " + now);
        assertPrinted("edition 7 may have been taken or not");
    }

    @Test
    void reportsNotTakenWhenNoMachineCouldHaveAccepted() {
        answers("b:1", error(503, "NO_LEADER"));
        assertEquals(3, run("config", "put", "-b", "5", next()));
        assertPrinted("edition 7 has not been taken");
    }

    @Test
    void refusalEndsCallAtOnceWithCodeAndPlace() {
        answers("a:1", NO_ANSWER);
        answers("b:1", error(412, "STALE"));
        assertEquals(1, run("config", "put", "--json", "-b", "5", next()));
        assertEquals(List.of("a:1", "b:1"), called);
        assertPrinted("\"code\" : \"STALE\"");
        assertPrinted("STALE: /p: m (412 from b:1)");
    }

    @Test
    void other4xxEndsCallAtThirdAttempt() {
        answers("a:1", error(404, "NONE"));
        answers("b:1", error(404, "NONE"));
        answers("c:1", error(404, "NONE"));
        assertEquals(1, run("config", "get"));
        assertEquals(3, called.size());
    }

    @Test
    void showsChangesByNameWithoutKeys() {
        String before = configuration(5, "s-1", KEY);
        answers("a:1", answer(200, before), answer(200, "{\"edition\":7}"));
        assertEquals(0, run("config", "put", next()));
        assertEquals("5", requests.get(1).headers().get("Sablehinge-Based-On"));
        assertPrinted("edition 5 -> 7\n  ~ route h.example/x/ (r-1)\n  + service s-2\n  - service s-1\n"
                + "  ~ tenant t-1\n");
        assertEquals(0, run("config", "put", "--json", "-b", "7", file(configuration(8, "s", KEY))));
        assertFalse(output().contains(KEY) || output().contains(NEXT_KEY), output());
    }

    @Test
    void dryRunSendsNothingAndRefusesWhatCoreWouldRefuse() {
        answers("a:1", answer(200, configuration(7, "s-1", KEY)));
        assertEquals(1, run("config", "put", "--dry-run", next()));
        assertPrinted("OLD_EDITION");
        assertEquals(1, run("config", "put", "--dry-run", "-b", "6", next()));
        assertPrinted("STALE: --based-on: version 7 is in place, not 6");
        assertTrue(requests.stream().allMatch(request -> request.method().equals("GET")));
    }

    @Test
    void doesNotSendInvalidFileAndReportsAllProblems() {
        String file = file(configuration(5, "s-1", KEY)
                .replace("\"depot\":\"s-1\"", "\"depot\":\"s-l\"")
                .replace("4000", "-4"));
        assertEquals(2, run("config", "put", file));
        assertEquals(2, run("config", "check", file));
        assertEquals(List.of(), called);
        assertPrinted("next.json: /gates/0/regulations/0/dispatch/timeoutMs: ");
        assertPrinted("next.json: /gates/0/regulations/0/dispatch/depot: a service of /fleets was expected, "
                + "found \"s-l\"; the nearest one is \"s-1\" (UNKNOWN_SERVICE)");
    }

    @Test
    void writesFetchedConfigurationUnchangedWithOwnerPermissions() throws IOException {
        String body = configuration(5, "s-1", KEY);
        answers("a:1", answer(200, body));
        Path out = folder.resolve("got.json");
        assertEquals(0, run("config", "get", "-o", out.toString()));
        assertEquals(body, Files.readString(out));
        assertEquals(2, Files.getPosixFilePermissions(out).size());
    }

    private static HttpCaller.Answer status(String member, String role, int members) {
        List<Machine> list = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            list.add(new Machine("m-" + i, (char) ('a' + i) + ":1", null));
        }
        try {
            return answer(
                    200,
                    new ObjectMapper()
                            .writeValueAsString(new MeshStatus(
                                    "n-" + member,
                                    "z",
                                    "m-" + member,
                                    (char) ('a' + Integer.parseInt(member)) + ":1",
                                    role,
                                    4,
                                    role.equals("leader") ? "b:1" : null,
                                    9,
                                    5,
                                    list,
                                    role.equals("leader")
                                            ? new MeshStatus.Plane(
                                                    3, 2, true, List.of(new MeshStatus.Service("s", 3, 2, 24)), 0)
                                            : null)));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void statusQueriesAllReportedMembers() {
        answers("a:1", status("0", "follower", 3));
        answers("b:1", status("1", "leader", 3));
        assertEquals(0, run("status", "--core", "a:1"));
        assertEquals(List.of("a:1", "b:1", "c:1"), called);
        assertPrinted("a majority answers: 2 of 3 members\nleader    b:1, term 4\nedition   5\n"
                + "balancers 3 known, 2 ready\n");
        assertPrinted("c:1     -     -     silent: down\n");
    }

    @Test
    void statusReportsMinorityWithoutError() {
        answers("a:1", status("0", "follower", 3));
        answers("c:1", NO_ANSWER);
        assertEquals(0, run("status"));
        assertPrinted("NO MAJORITY: 1 of 3 members answer; nothing can be changed or confirmed before 2 do\n"
                + "leader    none");
        answers("a:1", REFUSES_CONNECTION);
        assertEquals(3, run("status"));
    }

    @ParameterizedTest
    @CsvSource({
        "stats, , \"stats\" is no verb; the nearest one is \"status\"",
        "config, putt, \"config putt\" is no verb; the nearest one is \"config put\"",
        "nodes, --jsn, \"--jsn\" is no option of nodes; the nearest one is \"--json\"",
        "nodes, --core=a, BAD_ADDRESS: --core: HOST:PORT was expected, found \"a\""
    })
    void suggestsNearestNameForUnknownWord(String verb, String word, String expected) {
        assertEquals(2, word == null ? run(verb) : run(verb, word));
        assertPrinted(expected);
    }
}
