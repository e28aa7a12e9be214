package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.ResponseGrammar;

/** The client of the admin listener, with a balancer that the test plays octet by octet. */
@Timeout(120)
class AdminClientTest {

    private static final String OK = "HTTP/1.1 200 OK";
    private static final String REST = "\r\nContent-Length: 7\r\n\r\n{\"a\":1}";

    private static AdminClient.Answer call(Listener balancer, String response) throws Exception {
        Thread server = new Thread(() -> {
            try (Peer peer = balancer.accept()) {
                peer.read();
                peer.write(response);
            } catch (IOException | InterruptedException e) {
                // The call has ended, which the test looks at.
            }
        });
        server.start();
        try {
            return new AdminClient(balancer.address(), "token").call("GET", "/x", null);
        } finally {
            server.join();
        }
    }

    @Test
    void malformedResponseIsNoAnswer() throws Exception {
        List<String> responses = new ArrayList<>();
        ResponseGrammar.malformedStatusLines().forEach(line -> responses.add(line + REST));
        ResponseGrammar.malformedNames().forEach(name -> responses.add(OK + "\r\nA: b\r\n" + name + ": v" + REST));
        try (Listener balancer = new Listener()) {
            List<String> answered = new ArrayList<>();
            for (String response : responses) {
                try {
                    answered.add(call(balancer, response).status() + " for " + ResponseGrammar.escape(response));
                } catch (IOException e) {
                    // No answer.
                }
            }
            assertEquals(List.of(), answered, () -> answered.size() + " of " + responses.size());
        }
    }

    @Test
    void allowedResponsesAreAnswers() throws Exception {
        try (Listener balancer = new Listener()) {
            for (String line : ResponseGrammar.successes()) {
                AdminClient.Answer answer = call(balancer, line + REST);
                assertEquals(Integer.parseInt(line.substring(9, 12)), answer.status());
                assertEquals(1, answer.body().path("a").asInt());
            }
            assertEquals(404, call(balancer, "HTTP/1.1 404 " + REST).status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}"})
    void incompleteResponseIsNoAnswer(String response) throws Exception {
        try (Listener balancer = new Listener()) {
            assertThrows(IOException.class, () -> call(balancer, response));
        }
    }
}
