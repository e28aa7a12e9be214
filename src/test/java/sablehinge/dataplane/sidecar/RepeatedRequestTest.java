package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.testing.Listener;

/**
 * A request that is sent to the same upstream again, where a late second response to its first arrival names the same
 * request as the response to the second arrival.
 */
@Timeout(60)
class RepeatedRequestTest {

    private static final String ID = "t-1";

    /** The arrival of a request, and the number of the connection that it came on. */
    private record Arrival(String id, int connection) {}

    /**
     * An upstream that answers the first arrivals of {@link #ID} in a given way, and runs all other arrivals. It sends
     * a second copy of such an answer when the next request arrives on the same connection, before it runs that one.
     */
    private static final class LateCopyUpstream {
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        private final int unserved;
        private final String unservedAnswer;
        private final UnaryOperator<String> served;
        /** Requests with the id {@code t-0} are answered after this. */
        final CountDownLatch mayAnswerAhead = new CountDownLatch(1);

        LateCopyUpstream(Listener listener, int unserved, String unservedAnswer, UnaryOperator<String> served) {
            this.unserved = unserved;
            this.unservedAnswer = unservedAnswer;
            this.served = served;
            SidecarFixture.daemon(() -> {
                for (int number = 0; ; number++) {
                    PlainConnection connection = new PlainConnection(listener.accept().socket);
                    int accepted = number;
                    SidecarFixture.daemon(() -> serve(connection, accepted));
                }
            });
        }

        private void serve(PlainConnection connection, int number) throws Exception {
            String lateCopy = "";
            for (PlainConnection.Message request = connection.read(); request != null; request = connection.read()) {
                connection.write(lateCopy);
                lateCopy = "";
                if (arrive(request.id(), number)) {
                    connection.write(unservedAnswer);
                    lateCopy = unservedAnswer;
                } else {
                    if (request.id().equals("t-0")) {
                        mayAnswerAhead.await();
                    }
                    connection.write(served.apply(request.id()));
                }
            }
        }

        /** Records an arrival; returns whether it is not served. */
        private synchronized boolean arrive(String id, int connection) {
            arrivals.add(new Arrival(id, connection));
            return id.equals(ID) && runs() <= 0;
        }

        /** How often {@link #ID} has arrived and was served; 0 or less before that. */
        int runs() {
            return (int) arrivals.stream().filter(a -> a.id().equals(ID)).count() - unserved;
        }
    }

    private static String notRun(String status) {
        return "HTTP/1.1 " + status + "\r\nSablehinge-Not-Run: 1\r\nSablehinge-Try-Id: " + ID
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String ok(String id) {
        return SidecarFixture.ok(id, "served " + id);
    }

    private static void assertServedByOneRun(PlainConnection.Message answer, LateCopyUpstream upstream) {
        assertEquals(200, answer.status());
        assertEquals("served " + ID, answer.body());
        assertEquals(1, upstream.runs(), () -> "runs, by " + upstream.arrivals);
    }

    /** TWICE: the late copy of a refusal is taken for the refusal of the second arrival, which runs and is repeated. */
    @ParameterizedTest
    @ValueSource(strings = {"429 Many", "503 Full", "421 Other", "400 Bad"})
    void lateCopyOfRefusalIsNoRefusalOfSecondArrival(String status) throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            LateCopyUpstream upstream = new LateCopyUpstream(mesh.app, 1, notRun(status), RepeatedRequestTest::ok);
            assertServedByOneRun(mesh.client().request(SidecarFixture.post("/u/x", ID, "body")), upstream);
        }
    }

    /**
     * TWICE: the same on the hop between sidecars, where the peer's upstream would run a request taken for refused. The
     * second attempt begins before the connection of the first one is idle, so only the third one could use it.
     */
    @Test
    void lateCopyOfPeersRefusalIsNoRefusalOfThirdArrival() throws Exception {
        try (SidecarFixture mesh = new SidecarFixture()) {
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            LateCopyUpstream peer = new LateCopyUpstream(
                    mesh.addPeer("i-8"),
                    2,
                    "HTTP/1.1 503 Full\r\nSablehinge-Verdict: not-run\r\nSablehinge-Try-Id: " + ID
                            + "\r\nContent-Length: 0\r\n\r\n",
                    id -> SidecarFixture.ok(id, "served " + id, "Sablehinge-Verdict: ran\r\n"));
            mesh.core.awaitKnown("");
            assertServedByOneRun(mesh.client().request(SidecarFixture.post("/u/x", ID, "body")), peer);
        }
    }

    /** The late copy of a failure is not the response to a safe request that is sent again after that failure. */
    @Test
    void lateCopyOfFailureIsNoResponseToRepeatedSafeRequest() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            String failure = "HTTP/1.1 500 Oops\r\nSablehinge-Try-Id: " + ID + "\r\nContent-Length: 0\r\n\r\n";
            LateCopyUpstream upstream = new LateCopyUpstream(mesh.app, 1, failure, RepeatedRequestTest::ok);
            assertServedByOneRun(mesh.client().request(SidecarFixture.get("/s/x", ID)), upstream);
        }
    }

    /** A pipelined request that is refused and sent again gets the response to its own second arrival, in its order. */
    @Test
    void lateCopyOfRefusalIsNoRefusalOfPipelinedRequest() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            LateCopyUpstream upstream = new LateCopyUpstream(mesh.app, 1, notRun("429 Many"), RepeatedRequestTest::ok);
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.get("/s/a", "t-0") + SidecarFixture.get("/s/x", ID));
            SidecarFixture.await("the pipelined request has arrived again", () -> upstream.runs() > 0);
            upstream.mayAnswerAhead.countDown();
            assertEquals("served t-0", client.read().body());
            assertServedByOneRun(client.read(), upstream);
        }
    }

    /** A connection is not given up for a refusal: it carries other requests, which its late copies do not name. */
    @Test
    void connectionWithRefusalCarriesOtherRequests() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            LateCopyUpstream upstream = new LateCopyUpstream(mesh.app, 1, notRun("429 Many"), RepeatedRequestTest::ok);
            assertServedByOneRun(mesh.client().request(SidecarFixture.post("/u/x", ID, "body")), upstream);
            PlainConnection holder = mesh.client();
            holder.write(SidecarFixture.post("/u/y", "t-0", "body"));
            SidecarFixture.await("the newer connection is in use", () -> upstream.arrivals.size() == 3);
            assertEquals(
                    "served t-2",
                    mesh.client()
                            .request(SidecarFixture.post("/u/y", "t-2", "body"))
                            .body());
            upstream.mayAnswerAhead.countDown();
            assertEquals("served t-0", holder.read().body());
            assertEquals(
                    List.of(new Arrival(ID, 0), new Arrival(ID, 1), new Arrival("t-0", 1), new Arrival("t-2", 0)),
                    upstream.arrivals);
        }
    }

    /** TWICE: a late copy may also come after the responses to other requests on its connection. */
    @Test
    void connectionNeverCarriesRequestAgainAfterOtherRequests() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            PlainConnection client = mesh.client();
            client.write(SidecarFixture.post("/u/x", ID, "body"));
            PlainConnection first = mesh.upstream();
            assertEquals(ID, first.read().id());
            first.write(notRun("429 Many"));
            PlainConnection second = mesh.upstream();
            assertEquals(ID, second.read().id());
            PlainConnection other = mesh.client();
            other.write(SidecarFixture.post("/u/y", "t-2", "body"));
            assertEquals("t-2", first.read().id());
            first.write(SidecarFixture.ok("t-2", "other"));
            assertEquals("other", other.read().body());
            second.write(notRun("429 Many"));
            PlainConnection third = mesh.upstream();
            assertEquals(ID, third.read().id());
            first.write(notRun("429 Many"));
            third.write(ok(ID));
            assertEquals("served " + ID, client.read().body());
        }
    }
}
