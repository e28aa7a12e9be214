package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.dataplane.sidecar.HopFixture.Hop;
import sablehinge.testing.Listener;

/** REFUSED: an upload that its upstream has begun to take in is never answered by a promise that it has not run. */
@Timeout(60)
class PartialUploadTest {

    private static final int BODY_BYTES = 6_000_000;
    private static final int STORED_BYTES = 1_500_000;
    private static final int PIECE_BYTES = 50_000;
    private static final int TIMEOUT_MS = 20_000;
    private static final byte[] PIECE = "x".repeat(PIECE_BYTES).getBytes(StandardCharsets.ISO_8859_1);

    /** How an upstream, or a peer, ends within an upload. */
    private enum Crash {
        RESET,
        CLOSE;

        void strike(Socket socket) throws IOException {
            if (this == RESET) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    /** A sidecar whose server stores uploads as they come. */
    private static final class Stage implements AutoCloseable {
        private final SidecarFixture mesh = new SidecarFixture();
        private final BlockingQueue<Socket> begun = new LinkedBlockingQueue<>();
        private final Hop hop;

        Stage(Hop hop) throws Exception {
            this.hop = hop;
            mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
            Listener server = hop == Hop.OUTBOUND ? mesh.addPeer("i-8") : mesh.app;
            if (hop != Hop.OUTBOUND) {
                mesh.heartbeat("i-1", "ready");
            }
            mesh.core.awaitKnown(hop == Hop.OUTBOUND ? "" : "i-1");
            SidecarFixture.daemon(() -> {
                while (true) {
                    Socket socket = server.accept().socket;
                    SidecarFixture.daemon(() -> store(socket));
                }
            });
        }

        /** Reads some of an upload, tells the test, and reads on. */
        private void store(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            int first = in.readNBytes(STORED_BYTES).length;
            if (first == STORED_BYTES) {
                begun.add(socket);
            }
            long stored = first;
            byte[] buffer = new byte[PIECE_BYTES];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                stored += read;
                if (stored > BODY_BYTES) {
                    // The head has some hundred bytes; the rest of them is on its way with the last piece.
                    socket.getOutputStream()
                            .write(SidecarFixture.ok("t-1", "stored", "Sablehinge-Verdict: ran\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    return;
                }
            }
        }

        PlainConnection connect() throws IOException {
            return hop == Hop.INBOUND ? mesh.connectAsPeer() : mesh.client();
        }

        String head() {
            String hopHeaders = hop == Hop.INBOUND ? "Sablehinge-Deliver-To: i-1\r\nSablehinge-Patience: 4000\r\n" : "";
            return SidecarFixture.get("/u/x", "t-1", hopHeaders, "Content-Length: " + BODY_BYTES + "\r\n")
                    .replaceFirst("GET", "POST");
        }

        Socket awaitBegun() throws InterruptedException {
            Socket socket = begun.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertTrue(socket != null, "no upload has reached the server");
            return socket;
        }

        @Override
        public void close() throws IOException {
            mesh.close();
        }
    }

    private static void write(PlainConnection client, int bytes) throws IOException {
        for (int sent = 0; sent < bytes; sent += PIECE_BYTES) {
            client.socket.getOutputStream().write(PIECE);
        }
    }

    @ParameterizedTest
    @CsvSource({"INBOUND, RESET", "INBOUND, CLOSE", "BOTH, RESET", "BOTH, CLOSE", "OUTBOUND, RESET", "OUTBOUND, CLOSE"})
    void uploadWhoseServerEndsWithinItMayHaveRun(Hop hop, Crash crash) throws Exception {
        try (Stage stage = new Stage(hop)) {
            PlainConnection client = stage.connect();
            client.write(stage.head());
            write(client, STORED_BYTES + PIECE_BYTES);
            crash.strike(stage.awaitBegun());
            PlainConnection.Message answer = client.read();
            assertEquals(502, answer.status(), answer.startLine());
            assertEquals(hop == Hop.INBOUND ? "may-have-run" : null, answer.header("Sablehinge-Verdict"));
        }
    }

    /** The sidecar is told to end; what its upstream has begun goes on, and is served within the grace. */
    @Test
    void uploadThatHasBegunIsServedDuringShutdown() throws Exception {
        try (Stage stage = new Stage(Hop.BOTH)) {
            PlainConnection client = stage.connect();
            client.write(stage.head());
            write(client, STORED_BYTES + PIECE_BYTES);
            stage.awaitBegun();
            SidecarFixture.daemon(() -> stage.mesh.sidecar.drain());
            TimeUnit.MILLISECONDS.sleep(4_600);
            write(client, BODY_BYTES - STORED_BYTES - PIECE_BYTES);
            PlainConnection.Message answer = client.read();
            assertEquals(200, answer.status(), answer.startLine());
        }
    }

    /** An upload that is still incomplete at the end of the grace may have run. */
    @ParameterizedTest
    @EnumSource(
            value = Hop.class,
            names = {"INBOUND", "BOTH"})
    void uploadThatIsGivenUpAtEndOfShutdownMayHaveRun(Hop hop) throws Exception {
        try (Stage stage = new Stage(hop)) {
            PlainConnection client = stage.connect();
            client.write(stage.head());
            write(client, STORED_BYTES + PIECE_BYTES);
            stage.awaitBegun();
            SidecarFixture.daemon(() -> stage.mesh.sidecar.drain());
            PlainConnection.Message answer = client.read();
            assertTrue(answer.startLine().matches("HTTP/1.1 50[24] .*"), answer.startLine());
        }
    }
}
