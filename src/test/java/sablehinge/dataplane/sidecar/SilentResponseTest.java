package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.dataplane.sidecar.HopFixture.Hop;

/** LOST: the silence of an upstream within its response ends nothing before the request's deadline. */
@Timeout(120)
class SilentResponseTest {

    /** Longer than any timeout for progress that a response had, which was 5 s, or 10 s for a relayed one. */
    private static final long SILENT_MS = 11_200;

    private static final int RELAYED_BYTES = 300_000;
    private static final int SHORT_BYTES = 300;
    private static final String DEADLINE = "Sablehinge-Time-Left: 1500\r\n";
    private static final long DEADLINE_MS = 1_500;
    /** Time that a response may take beyond its deadline (RULES, CONFIG: half a second). */
    private static final long AFTER_DEADLINE_MS = 500;

    /** Where the response falls silent. */
    private enum Part {
        HEAD(SHORT_BYTES, "Content-Length: " + SHORT_BYTES + "\r\n"),
        LENGTH(SHORT_BYTES, "Content-Length: " + SHORT_BYTES + "\r\n"),
        CHUNKED(SHORT_BYTES, "Transfer-Encoding: chunked\r\n"),
        CONNECTION(SHORT_BYTES, "Connection: close\r\n"),
        RELAYED_LENGTH(RELAYED_BYTES, "Content-Length: " + RELAYED_BYTES + "\r\n"),
        RELAYED_CHUNKED(RELAYED_BYTES, "Transfer-Encoding: chunked\r\n"),
        RELAYED_CONNECTION(RELAYED_BYTES, "Connection: close\r\n");

        private final String response;
        private final int silentAfter;
        private final int bodyBytes;

        Part(int bodyBytes, String framing) {
            this.bodyBytes = bodyBytes;
            String body = "x".repeat(bodyBytes);
            String head = HopFixture.head("HTTP/1.1", framing);
            boolean chunked = framing.contains("chunked");
            response = head + (chunked ? Integer.toHexString(bodyBytes) + "\r\n" + body + "\r\n0\r\n\r\n" : body);
            silentAfter = name().equals("HEAD") ? head.length() / 2 : head.length() + bodyBytes / 2;
        }

        boolean isRelayed() {
            return bodyBytes == RELAYED_BYTES;
        }

        void begin(PlainConnection server) throws IOException {
            server.write(response.substring(0, silentAfter));
        }

        void finish(PlainConnection server) throws IOException {
            server.write(response.substring(silentAfter));
            if (name().endsWith("CONNECTION")) {
                server.socket.shutdownOutput();
            }
        }
    }

    private static void sleep(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Runs all cases at the same time, as each of them waits for long; returns what went wrong. */
    private static void runAll(List<Callable<String>> cases) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(cases.size());
        try {
            List<String> wrong = new ArrayList<>();
            for (Future<String> result : threads.invokeAll(cases)) {
                if (!result.get().isEmpty()) {
                    wrong.add(result.get());
                }
            }
            assertEquals(List.of(), wrong);
        } finally {
            threads.shutdownNow();
        }
    }

    private static String describe(PlainConnection.Message answer, Part part) {
        if (answer == null) {
            return "the connection is closed";
        }
        boolean complete = answer.status() == 200 && answer.body().length() == part.bodyBytes;
        return complete ? "" : answer.startLine() + ", " + answer.body().length() + " bytes";
    }

    private static String playSilence(Hop hop, Part part) throws Exception {
        try (HopFixture stage = new HopFixture(hop)) {
            PlainConnection client = stage.connect();
            PlainConnection server = stage.send(client, "t-1");
            part.begin(server);
            sleep(SILENT_MS);
            part.finish(server);
            String seen = describe(client.read(), part);
            return seen.isEmpty() ? "" : hop + " " + part + ": " + seen;
        } catch (IOException e) {
            return hop + " " + part + ": " + e;
        }
    }

    @Test
    void silenceWithinResponseEndsNothingBeforeDeadline() throws Exception {
        List<Callable<String>> cases = new ArrayList<>();
        for (Hop hop : Hop.values()) {
            for (Part part : Part.values()) {
                cases.add(() -> playSilence(hop, part));
            }
        }
        runAll(cases);
    }

    /** Over a SIGTERM of the sidecar that took the request; the upstream ends before half of the grace is over. */
    @Test
    void silenceWithinResponseEndsNothingDuringShutdown() throws Exception {
        List<Callable<String>> cases = new ArrayList<>();
        for (Part part : Part.values()) {
            cases.add(() -> playShutdown(part));
        }
        runAll(cases);
    }

    private static String playShutdown(Part part) throws Exception {
        try (HopFixture stage = new HopFixture(Hop.BOTH)) {
            PlainConnection client = stage.connect();
            PlainConnection server = stage.send(client, "t-1");
            part.begin(server);
            sleep(3_500);
            SidecarFixture.daemon(() -> stage.mesh.sidecar.drain());
            sleep(2_500);
            part.finish(server);
            String seen = describe(client.read(), part);
            return seen.isEmpty() ? "" : part + ": " + seen;
        } catch (IOException e) {
            return part + ": " + e;
        }
    }

    /** A response that is still silent at the request's deadline ends then: it is cut, or answered by 502 or 504. */
    @ParameterizedTest
    @EnumSource(Hop.class)
    void silentResponseEndsWithDeadline(Hop hop) throws Exception {
        runAll(Stream.of(Part.values())
                .map(part -> (Callable<String>) () -> playDeadline(hop, part))
                .toList());
    }

    private static String playDeadline(Hop hop, Part part) throws Exception {
        try (HopFixture stage = new HopFixture(hop)) {
            PlainConnection client = stage.connect();
            client.write(request(hop));
            long sentAt = System.nanoTime();
            PlainConnection server = stage.nextRequest();
            part.begin(server);
            String seen = end(client);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            boolean inTime = tookMs >= DEADLINE_MS - 50 && tookMs <= DEADLINE_MS + AFTER_DEADLINE_MS;
            boolean ended = part.isRelayed() ? seen.startsWith("cut") : seen.matches("50[24]");
            return inTime && ended ? "" : hop + " " + part + ": " + seen + " after " + tookMs + " ms";
        }
    }

    private static String request(Hop hop) {
        String hopHeaders = hop == Hop.INBOUND ? "Sablehinge-Deliver-To: i-1\r\nSablehinge-Patience: 1000\r\n" : "";
        return SidecarFixture.post("/u/x", "t-1", "b", hopHeaders)
                .replaceFirst("Sablehinge-Time-Left: [0-9]+\r\n", DEADLINE);
    }

    /** Reads to the end of the response; its status, or how it was cut. */
    private static String end(PlainConnection client) throws IOException {
        try {
            PlainConnection.Message answer = client.read();
            return answer == null ? "closed" : String.valueOf(answer.status());
        } catch (java.io.EOFException | SocketException e) {
            return "cut";
        }
    }

    /** A relayed response that makes progress outlasts its deadline, as before: its length depends on the network. */
    @Test
    void responseInProgressOutlastsDeadline() throws Exception {
        try (HopFixture stage = new HopFixture(Hop.BOTH)) {
            PlainConnection client = stage.connect();
            client.write(request(Hop.BOTH));
            PlainConnection server = stage.nextRequest();
            String response = Part.RELAYED_LENGTH.response;
            int parts = 25;
            byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < parts; i++) {
                int from = bytes.length / parts * i;
                int to = i == parts - 1 ? bytes.length : bytes.length / parts * (i + 1);
                server.socket.getOutputStream().write(bytes, from, to - from);
                sleep(100);
            }
            PlainConnection.Message answer = client.read();
            assertEquals(RELAYED_BYTES, answer.body().length());
            assertTrue(answer.body().chars().allMatch(c -> c == 'x'));
        }
    }
}
