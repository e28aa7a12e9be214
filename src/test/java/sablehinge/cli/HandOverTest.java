package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.testing.Peer;
import sablehinge.testing.Stage;

/** Hands over from a running process to a new one that listens on the same address. */
@Timeout(120)
class HandOverTest {

    @TempDir
    private Path folder;

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private Process start(Path config, InetSocketAddress operator) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_OPERATOR", "127.0.0.1:" + operator.getPort());
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        Process process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        while (true) {
            try {
                assertEquals("ok", Stage.call(operator, "STATUS"));
                return process;
            } catch (IOException e) {
                assertTrue(process.isAlive());
                Thread.onSpinWait();
            }
        }
    }

    private static Peer.Message exchange(Peer caller, Peer upstream, String id) throws IOException {
        caller.write(Stage.get(id, "10"));
        upstream.read();
        upstream.write(Stage.ok(id));
        return caller.read();
    }

    @Test
    void oldProcessReleasesAddressAndAnswersItsInFlightRequests() throws Exception {
        InetSocketAddress oldOperator = freeAddress();
        InetSocketAddress newOperator = freeAddress();
        Process oldProcess = null;
        Process newProcess = null;
        try (Stage stage = new Stage(2)) {
            InetSocketAddress address = freeAddress();
            stage.operator = "127.0.0.1:1";
            Path config = Files.writeString(
                    folder.resolve("config.json"),
                    stage.config().replace("127.0.0.1:0", "127.0.0.1:" + address.getPort()));
            oldProcess = start(config, oldOperator);
            assertEquals("ok", Stage.call(oldOperator, "SUSPEND s-00000000"));
            Peer idle = Peer.to(address);
            Peer busy = Peer.to(address);
            busy.write(Stage.get("busy", "10"));
            Peer upstream = stage.upstreams.get(1).accept();
            upstream.read();

            newProcess = start(config, newOperator);
            oldProcess.destroy();
            while (Stage.call(oldOperator, "STATUS").equals("ok")) {
                Thread.onSpinWait();
            }
            upstream.write(Stage.ok("busy"));
            Peer.Message answer = busy.read();
            assertEquals("busy", answer.body());
            assertEquals("close", answer.header("Connection"));
            idle.close();
            assertTrue(oldProcess.waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS));

            // New connections reach the new process, which knows that the first server is suspended.
            Peer caller = Peer.to(address);
            caller.write(Stage.get("r0", "10"));
            Peer newUpstream = stage.upstreams.get(1).accept();
            newUpstream.read();
            newUpstream.write(Stage.ok("r0"));
            answer = caller.read();
            assertEquals("r0", answer.body());
            assertFalse("close".equals(answer.header("Connection")));
            for (int i = 1; i < 20; i++) {
                assertEquals(200, exchange(caller, newUpstream, "r" + i).status());
            }
            assertEquals(0, stage.upstreams.get(0).waiting());
            assertEquals("ok", Stage.call(newOperator, "RESTORE s-00000000"));
            caller.close();
        } finally {
            for (Process process : new Process[] {oldProcess, newProcess}) {
                if (process != null) {
                    process.destroyForcibly().waitFor();
                }
            }
        }
    }
}
