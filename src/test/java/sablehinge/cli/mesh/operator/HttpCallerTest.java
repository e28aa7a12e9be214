package sablehinge.cli.mesh.operator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.ResponseGrammar;

/** The operators' calls over a socket, with a control node that the test plays octet by octet. */
@Timeout(120)
class HttpCallerTest {

    private static final long TIMEOUT_MS = 10_000;
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String REST = "\r\nContent-Length: 4\r\n\r\nbody";
    private static final HttpCaller.Request READ = HttpCaller.Request.get("Config.Read");

    private final Listener core = new Listener();
    private final HttpCaller caller =
            CommandContext.ofProcess(discard(), discard()).http();

    HttpCallerTest() throws IOException {}

    private static PrintStream discard() {
        return new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    }

    @AfterEach
    void closeCore() throws IOException {
        core.close();
    }

    /** Answers the next call with the given octets and closes the connection. */
    private HttpCaller.Answer call(String response) throws IOException, InterruptedException {
        Thread server = new Thread(() -> {
            try (Peer peer = core.accept()) {
                peer.read();
                peer.write(response);
            } catch (IOException | InterruptedException e) {
                // The call has ended, which the test looks at.
            }
        });
        server.start();
        try {
            return caller.call(core.address(), READ, TIMEOUT_MS);
        } finally {
            server.join();
        }
    }

    private List<String> answered(List<String> responses) throws InterruptedException {
        List<String> answered = new ArrayList<>();
        for (String response : responses) {
            try {
                answered.add(call(response).status() + " for " + ResponseGrammar.escape(response));
            } catch (IOException e) {
                assertFalse(e instanceof ConnectException, "the call may have been carried out");
            }
        }
        return answered;
    }

    @Test
    void malformedStatusLineIsNoAnswer() throws Exception {
        List<String> responses = new ArrayList<>();
        ResponseGrammar.malformedStatusLines().forEach(line -> responses.add(line + REST));
        List<String> answered = answered(responses);
        assertEquals(List.of(), answered, () -> answered.size() + " of " + responses.size());
    }

    @Test
    void malformedFieldNameIsNoAnswer() throws Exception {
        List<String> responses = new ArrayList<>();
        ResponseGrammar.malformedNames().forEach(name -> responses.add(OK + "\r\nA: b\r\n" + name + ": v" + REST));
        List<String> answered = answered(responses);
        assertEquals(List.of(), answered, () -> answered.size() + " of " + responses.size());
    }

    @Test
    void allowedResponsesAreAnswers() throws Exception {
        for (String line : ResponseGrammar.successes()) {
            HttpCaller.Answer answer = call("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + line + REST);
            assertEquals(Integer.parseInt(line.substring(9, 12)), answer.status());
            assertArrayEquals("body".getBytes(StandardCharsets.UTF_8), answer.body());
        }
        for (String name : ResponseGrammar.names()) {
            assertEquals(200, call(OK + "\r\n" + name + ": v" + REST).status(), name);
        }
        HttpCaller.Answer redirect = call("HTTP/1.1 307 \r\nlocation: http://a:1/x\r\nContent-Length: 0\r\n\r\n");
        assertEquals(307, redirect.status());
        assertEquals("http://a:1/x", redirect.location());
        assertEquals(0, redirect.body().length);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 100 \r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\n\r\nbody",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nbody"
            })
    void incompleteOrUnboundedResponseIsNoAnswer(String response) {
        IOException failure = assertThrows(IOException.class, () -> call(response));
        assertFalse(failure instanceof ConnectException);
    }

    @Test
    void sendsRequestComplete() throws Exception {
        Thread client = new Thread(() -> {
            try {
                caller.call(
                        core.address(),
                        new HttpCaller.Request(
                                "POST", "/sablehinge/Config.Replace?a=b", Map.of("If-Match", "\"7\""), new byte[] {
                                    '{', '}'
                                }),
                        TIMEOUT_MS);
            } catch (IOException | InterruptedException e) {
                // The test looks at the request only.
            }
        });
        client.start();
        try (Peer peer = core.accept()) {
            Peer.Message request = peer.read();
            assertEquals("POST /sablehinge/Config.Replace?a=b HTTP/1.1", request.first());
            assertEquals(core.address(), request.header("Host"));
            assertEquals("\"7\"", request.header("If-Match"));
            assertEquals("{}", request.body());
            peer.write(OK + REST);
        }
        client.join();
    }

    @Test
    void unreachableAddressIsReportedAsNotCalled() throws Exception {
        core.close();
        for (String address : List.of(core.address(), "no address", "127.0.0.1:x", ":1")) {
            IOException failure =
                    assertThrows(IOException.class, () -> caller.call(address, READ, TIMEOUT_MS), address);
            assertInstanceOf(ConnectException.class, failure, address);
        }
    }

    @Test
    void silentCoreEndsCallInTime() throws Exception {
        IOException failure = assertThrows(IOException.class, () -> caller.call(core.address(), READ, 200));
        assertTrue(failure.getMessage().contains("200 ms"), failure.getMessage());
    }
}
