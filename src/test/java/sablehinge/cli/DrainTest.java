package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;
import sablehinge.testing.Stage;

/** Runs the program as a process: its command line, reload at SIGHUP and graceful shutdown. */
@Timeout(120)
class DrainTest {

    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";

    private static Process start(Path config, String... arguments) throws IOException {
        String[] command = new String[arguments.length + 4];
        command[0] = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        command[1] = "-cp";
        command[2] = System.getProperty("java.class.path");
        command[3] = Main.class.getName();
        System.arraycopy(arguments, 0, command, 4, arguments.length);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("PROXY_CONFIG");
        if (config != null) {
            builder.environment().put("PROXY_CONFIG", config.toString());
        }
        return builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    private record ExpectedExit(Process process, int status) {}

    private static void assertExitsWithOneErrorLine(ExpectedExit one) throws Exception {
        try (BufferedReader error = one.process.errorReader()) {
            List<String> output = error.lines().filter(line -> !line.isBlank()).toList();
            assertEquals(1, output.size(), output::toString);
        }
        assertTrue(one.process.waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(one.status, one.process.exitValue());
    }

    @Test
    void reportsInvalidCommandLineOrConfigurationInOneLine() throws Exception {
        // Started in parallel, as each start takes a second.
        List<ExpectedExit> expectedExits = new ArrayList<>(List.of(
                new ExpectedExit(start(null), 2),
                new ExpectedExit(start(null, "server"), 2),
                new ExpectedExit(start(null, "serve"), 1),
                new ExpectedExit(start(Path.of("no-such-file"), "serve"), 1)));
        List<Path> files = new ArrayList<>();
        try (Stage stage = new Stage()) {
            for (String bad : new String[] {
                "",
                "{",
                "[]",
                "{\"listen\":\"nowhere\"}",
                stage.config().replace("127.0.0.1:0", "127.0.0.1:notaport"),
                stage.config().replace("\"aim\":1000.0", "\"aim\":\"soon\""),
                stage.config().replace("8c1f30d27a5be964", "no number"),
                stage.config().replace("\"up\"", "\"sideways\""),
                stage.config().replace("127.0.0.1:0", stage.discovery.address())
            }) {
                files.add(Files.writeString(Files.createTempFile("node", ".json"), bad));
                expectedExits.add(new ExpectedExit(start(files.get(files.size() - 1), "serve"), 1));
            }
            for (ExpectedExit one : expectedExits) {
                assertExitsWithOneErrorLine(one);
            }
        } finally {
            expectedExits.forEach(one -> one.process.destroyForcibly());
            for (Path file : files) {
                Files.delete(file);
            }
        }
    }

    /** Unused features must cost nothing: the platform's serve loads no class of the operators' commands. */
    @Test
    void platformServeLoadsNoOperatorClasses() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        Path loaded = Files.createTempFile("classes", ".log");
        Process process = null;
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        try (Stage stage = new Stage()) {
            Files.writeString(file, stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
            ProcessBuilder builder = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xlog:class+load:file=" + loaded,
                    "-cp",
                    System.getProperty("java.class.path"),
                    Main.class.getName(),
                    "serve");
            builder.environment().put("PROXY_CONFIG", file.toString());
            process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
            Peer.toServing(new InetSocketAddress("127.0.0.1", port), process).close();
            String classes = Files.readString(loaded);
            assertTrue(classes.contains("sablehinge.dataplane.proxy.RequestProxy "));
            for (String prefix : new String[] {
                "picocli.",
                "org.tomlj.",
                "org.antlr.",
                "com.github.difflib.",
                "sablehinge.gateway.rollout.",
                "sablehinge.gateway.admin.",
                "sablehinge.gateway.config.operator.",
                "sablehinge.gateway.config.versions.",
                "sablehinge.gateway.node.Operator",
                "sablehinge.gateway.node.Versions",
                "sablehinge.tools.replay.",
                "sablehinge.tools.standin.",
                "sablehinge.tools.audit.",
                "sablehinge.tools.audit.judge.",
                "sablehinge.common.mapping.",
                "sablehinge.tools.replay.statistics.",
                "sablehinge.tools.replay.schedule.",
                "sablehinge.tools.standin.model.",
                "sablehinge.tools.replay.folding.",
                "sablehinge.tools.replay.timeline.",
                "sablehinge.dataplane.budget.",
                "sablehinge.gateway.recorder.",
                "net.logstash.",
                "sablehinge.common.logging.JsonLines",
                "ch.qos.logback.classic.joran.",
                "sablehinge.gateway.node.Recording",
                "java.lang.management.",
                "org.HdrHistogram.",
                "io.airlift."
            }) {
                assertFalse(classes.contains(" " + prefix), prefix);
            }
        } finally {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
            Files.delete(file);
            Files.delete(loaded);
        }
    }

    @Test
    void answersAllReceivedRequestsAfterSigterm() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Process process = null;
        try (Stage stage = new Stage()) {
            Files.writeString(file, stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
            process = start(file, "serve");
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
            Peer taken = Peer.toServing(address, process);
            Peer idle = Peer.to(address);
            idle.write(HEALTH);
            assertEquals("keep-alive", idle.read().headers().getOrDefault("connection", "keep-alive"));
            taken.write(Stage.get("taken", "10"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            process.destroy();
            idle.write(Stage.get("reused", "10"));
            Peer second = stage.upstreams.get(0).accept();
            second.read();
            // Covers a caller on a new connection, one on an existing connection, and an in-flight request.
            Peer.Message draining = null;
            while (draining == null || draining.header("Connection") == null) {
                // Callers are asked to close their connections only when the final phase of the drain begins.
                Peer caller = Peer.to(address);
                caller.write(HEALTH);
                draining = caller.read();
                assertEquals(200, draining.status());
            }
            second.write(Stage.ok("reused"));
            Peer.Message reused = idle.read();
            assertEquals("reused", reused.body());
            assertEquals("close", reused.header("Connection"));
            assertTrue(idle.ended());
            upstream.write(Stage.ok("taken"));
            assertEquals("taken", taken.read().body());
            assertTrue(process.waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } finally {
            if (process != null) {
                process.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    @Test
    void reloadsFileAtSighupAndIgnoresInvalidFile() throws Exception {
        Path file = Files.createTempFile("node", ".json");
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Process process = null;
        try (Stage stage = new Stage();
                Listener second = new Listener()) {
            String config = stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port);
            Files.writeString(file, config);
            process = start(file, "serve");
            Peer caller = Peer.toServing(new InetSocketAddress("127.0.0.1", port), process);
            stage.discovery.accept().read();
            Files.writeString(file, "{");
            sendSighup(process);
            // The warning shows that the file has been read.
            assertTrue(process.errorReader().lines().anyMatch(line -> line.contains("stays as it was")));
            Files.writeString(file, config.replace(stage.discovery.address(), second.address()));
            sendSighup(process);
            assertEquals("GET /catalog/members HTTP/1.1", second.accept().read().first());
            caller.write(HEALTH);
            assertEquals(200, caller.read().status());
        } finally {
            if (process != null) {
                process.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    void servesCallersUnchangedInFirstPhaseOfDrain() throws Exception {
        try (Stage stage = new Stage().start()) {
            Thread drain = new Thread(() -> {
                try {
                    stage.node.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Peer caller = stage.caller();
            caller.write(HEALTH);
            caller.read();
            drain.start();
            // The drain has begun once the thread sleeps; callers are not yet asked to close their connections.
            while (drain.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait();
            }
            caller.write(HEALTH);
            assertEquals("keep-alive", caller.read().headers().getOrDefault("connection", "keep-alive"));
            drain.join();
            assertTrue(caller.ended());
        }
    }

    @Test
    void failsUnfinishedRequestsAtEndOfDrain() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            stage.node.drain();
            assertEquals(504, caller.read().status());
            assertTrue(upstream.ended());
        }
    }

    @Test
    void startsNoPipelinedRequestAfterDrainCancelsItsPredecessor() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(Stage.spend("1", "x") + Stage.spend("2", "x"));
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            stage.node.drain();
            assertEquals(504, caller.read().status());
            Peer.Message refused = caller.read();
            assertEquals(503, refused.status());
            assertEquals("close", refused.header("Connection"));
            assertTrue(caller.ended());
            assertEquals(0, stage.upstreams.get(0).waiting());
        }
    }

    @Test
    void drainKeepsConnectionWithUnreadRequestOpen() throws Exception {
        try (Stage stage = new Stage().start()) {
            Peer caller = stage.caller();
            caller.write(HEALTH);
            caller.read();
            caller.write(Stage.get("1", "10"));
            // The request is in the socket buffer or in flight; in either case it must not be lost.
            assertFalse(stage.node.endDrain());
            Peer upstream = stage.upstreams.get(0).accept();
            upstream.read();
            upstream.write(Stage.ok("kept"));
            assertEquals("kept", caller.read().body());
        }
    }
}
