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

/** The verbs as they are typed, against a scripted core and a clock that only their own waits move. */
class VerbsTest {

    private static final String CORE = "a:1,b:1,c:1";
    private static final String KEY = "s3cr3tk3y";
    private static final String NEXT_KEY = "n3xts3cr3t";

    /** What an address answers, one after the other; the last one again and again. */
    private final Map<String, Deque<Object>> script = new HashMap<>();

    private final List<String> called = new ArrayList<>();
    private final List<HttpCaller.Request> requests = new ArrayList<>();
    private final List<Long> pauses = new ArrayList<>();
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private long now;

    @TempDir
    Path folder;

    private static final Object NO_CONTACT = new Object();
    private static final Object DOWN = new Object();

    @BeforeEach
    void all() {
        answers("a:1", DOWN);
        answers("b:1", DOWN);
        answers("c:1", DOWN);
    }

    private void answers(String address, Object... inTurn) {
        script.put(address, new ArrayDeque<>(List.of(inTurn)));
    }

    private static HttpCaller.Answer answer(int status, String body) {
        return new HttpCaller.Answer(status, null, body.getBytes(StandardCharsets.UTF_8));
    }

    private static HttpCaller.Answer error(int status, String code) {
        return answer(status, "{\"code\":\"" + code + "\",\"place\":\"/p\",\"message\":\"m\"}");
    }

    private static HttpCaller.Answer elsewhere(String address) {
        return new HttpCaller.Answer(307, "http://" + address + "/sablehinge/Config.Replace", new byte[0]);
    }

    private HttpCaller.Answer carry(String address, HttpCaller.Request request, long withinMs) throws IOException {
        called.add(address);
        requests.add(request);
        Deque<Object> turns = script.get(address);
        Object turn = turns.size() > 1 ? turns.poll() : turns.peek();
        if (turn == NO_CONTACT) {
            now += withinMs;
            throw new IOException("silent");
        }
        if (turn == DOWN) {
            throw new ConnectException("down");
        }
        return (HttpCaller.Answer) turn;
    }

    private int run(String... args) {
        PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
        return MeshCommands.run(
                args,
                new Shell(
                        out,
                        out,
                        this::carry,
                        new TimeText() {
                            @Override
                            public long now() {
                                return now;
                            }

                            @Override
                            public void pause(long ms) {
                                pauses.add(ms);
                                now += ms;
                            }
                        },
                        CORE));
    }

    private String response() {
        return printed.toString(StandardCharsets.UTF_8);
    }

    private void says(String part) {
        assertTrue(response().contains(part), response());
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
    void aCallIsSentOnTwiceAndNoMore() {
        answers("a:1", elsewhere("b:1"));
        answers("b:1", elsewhere("c:1"));
        answers("c:1", elsewhere("a:1"), answer(200, "{\"edition\":7}"));
        assertEquals(0, run("config", "put", "-b", "5", next()));
        assertEquals(List.of("a:1", "b:1", "c:1", "b:1", "c:1"), called);
        says("taken: edition 7, by c:1\n");
    }

    @Test
    void withoutAClearAnswerTheVerySameCallGoesElsewhereUntilThereIsOne() {
        answers("a:1", NO_CONTACT);
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
    void silenceEndsInTimeAndIsNotTakenForARefusal() {
        answers("b:1", NO_CONTACT);
        assertEquals(3, run("config", "put", "-w", "5000", "-b", "5", next()));
        assertTrue(now <= 5_000, "ended at " + now);
        says("edition 7 may have been taken or not");
    }

    @Test
    void whatNobodyCouldTakeHasNotBeenTaken() {
        answers("b:1", error(503, "NO_LEADER"));
        assertEquals(3, run("config", "put", "-b", "5", next()));
        says("edition 7 has not been taken");
    }

    @Test
    void aRefusalEndsTheCallAtOnceWithItsCodeAndPlace() {
        answers("a:1", NO_CONTACT);
        answers("b:1", error(412, "STALE"));
        assertEquals(1, run("config", "put", "--json", "-b", "5", next()));
        assertEquals(List.of("a:1", "b:1"), called);
        says("\"code\" : \"STALE\"");
        says("STALE: /p: m (412 from b:1)");
    }

    @Test
    void anyOther4xxEndsItAtTheThirdTry() {
        answers("a:1", error(404, "NONE"));
        answers("b:1", error(404, "NONE"));
        answers("c:1", error(404, "NONE"));
        assertEquals(1, run("config", "get"));
        assertEquals(3, called.size());
    }

    @Test
    void whatChangesIsShownByNamesAndNoKeyEver() {
        String before = configuration(5, "s-1", KEY);
        answers("a:1", answer(200, before), answer(200, "{\"edition\":7}"));
        assertEquals(0, run("config", "put", next()));
        assertEquals("5", requests.get(1).headers().get("Sablehinge-Based-On"));
        says("edition 5 -> 7\n  ~ route h.example/x/ (r-1)\n  + service s-2\n  - service s-1\n" + "  ~ tenant t-1\n");
        assertEquals(0, run("config", "put", "--json", "-b", "7", file(configuration(8, "s", KEY))));
        assertFalse(response().contains(KEY) || response().contains(NEXT_KEY), response());
    }

    @Test
    void aDryRunSendsNothingAndRefusesWhatTheCoreWould() {
        answers("a:1", answer(200, configuration(7, "s-1", KEY)));
        assertEquals(1, run("config", "put", "--dry-run", next()));
        says("OLD_EDITION");
        assertEquals(1, run("config", "put", "--dry-run", "-b", "6", next()));
        says("STALE: --based-on: version 7 is in place, not 6");
        assertTrue(requests.stream().allMatch(request -> request.method().equals("GET")));
    }

    @Test
    void aFaultyFileIsNotSentAndAllThatIsWrongIsNamed() {
        String file = file(configuration(5, "s-1", KEY)
                .replace("\"depot\":\"s-1\"", "\"depot\":\"s-l\"")
                .replace("4000", "-4"));
        assertEquals(2, run("config", "put", file));
        assertEquals(2, run("config", "check", file));
        assertEquals(List.of(), called);
        says("next.json: /gates/0/regulations/0/dispatch/timeoutMs: ");
        says("next.json: /gates/0/regulations/0/dispatch/depot: a service of /fleets was expected, "
                + "found \"s-l\"; the nearest one is \"s-1\" (UNKNOWN_SERVICE)");
    }

    @Test
    void whatIsFetchedIsWrittenAsItWasSentForItsOwnerAlone() throws IOException {
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
    void aStatusAsksAllMembersThatAnybodyTellsOf() {
        answers("a:1", status("0", "follower", 3));
        answers("b:1", status("1", "leader", 3));
        assertEquals(0, run("status", "--core", "a:1"));
        assertEquals(List.of("a:1", "b:1", "c:1"), called);
        says("a majority answers: 2 of 3 members\nleader    b:1, term 4\nedition   5\n"
                + "balancers 3 known, 2 ready\n");
        says("c:1     -     -     silent: down\n");
    }

    @Test
    void aMinorityIsToldAndIsNoError() {
        answers("a:1", status("0", "follower", 3));
        answers("c:1", NO_CONTACT);
        assertEquals(0, run("status"));
        says("NO MAJORITY: 1 of 3 members answer; nothing can be changed or confirmed before 2 do\n"
                + "leader    none");
        answers("a:1", DOWN);
        assertEquals(3, run("status"));
    }

    @ParameterizedTest
    @CsvSource({
        "stats, , \"stats\" is no verb; the nearest one is \"status\"",
        "config, putt, \"config putt\" is no verb; the nearest one is \"config put\"",
        "nodes, --jsn, \"--jsn\" is no option of nodes; the nearest one is \"--json\"",
        "nodes, --core=a, BAD_ADDRESS: --core: HOST:PORT was expected, found \"a\""
    })
    void aWordThatIsNoneIsAnsweredWithTheNearest(String verb, String word, String words) {
        assertEquals(2, word == null ? run(verb) : run(verb, word));
        says(words);
    }
}
