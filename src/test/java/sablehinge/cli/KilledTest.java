package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.testing.OperatorStage;
import sablehinge.testing.Peer;

/** Runs the operators' commands against a balancer in a separate process that is killed during a change. */
@Timeout(120)
class KilledTest {

    private static String out;

    private static int run(String... arguments) {
        StringWriter output = new StringWriter();
        int status = Commands.run(arguments, new PrintWriter(output), new PrintWriter(output));
        out = output.toString();
        return status;
    }

    private static Process start(Path file) throws IOException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve",
                        "--operator",
                        file.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader output = process.errorReader();
        StringBuilder lines = new StringBuilder();
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            lines.append(line).append('\n');
            if (line.contains("serves as")) {
                out = lines.toString();
                return process;
            }
        }
        throw new AssertionError("the process exited: " + lines);
    }

    @Test
    void servesLastConfirmedVersionAfterKill() throws Exception {
        Process process = null;
        try (OperatorStage stage = new OperatorStage(2)) {
            Files.writeString(stage.file, stage.text(0));
            process = start(stage.file);
            Path next = stage.folder.resolve("next.toml");
            Files.writeString(next, stage.text(1));
            String[] adminOptions = {"--operator", stage.file.toString()};
            assertEquals(0, run("config", "stage", adminOptions[0], adminOptions[1], next.toString()), out);
            assertEquals(0, run("config", "diff", adminOptions[0], adminOptions[1]), out);
            assertTrue(out.contains("+id = \"s1\""), out);
            assertEquals(0, run("config", "apply", adminOptions[0], adminOptions[1], "--confirm-within", "60s"), out);
            process.destroyForcibly().waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(1, run("config", "status", adminOptions[0], adminOptions[1]));
            assertTrue(out.contains("no balancer answers at"), out);

            process = start(stage.file);
            assertTrue(out.contains("version 2 was on trial when the process ended and is undone"), out);
            JsonNode status = OperatorStage.admin(
                    UnixDomainSocketAddress.of(stage.folder.resolve("sablehinge-state/admin.sock")),
                    null,
                    "GET",
                    "/config/status",
                    "");
            assertEquals(1, status.path("current").asInt());
            assertEquals(0, run("config", "stage", adminOptions[0], adminOptions[1], next.toString()), out);
            assertEquals(0, run("config", "apply", adminOptions[0], adminOptions[1]), out);
            assertEquals(0, run("config", "confirm", adminOptions[0], adminOptions[1]), out);
            process.destroyForcibly().waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);

            process = start(stage.file);
            assertTrue(out.contains("the operator file is not version 3, which serves"), out);
            assertEquals(0, run("config", "status", adminOptions[0], adminOptions[1]), out);
            assertTrue(out.contains("confirmed  version 3"), out);
        } finally {
            if (process != null) {
                process.destroyForcibly().waitFor(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    @Test
    void reportsInvalidFilesAndArgumentsOnOneLineEach() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, "[[clas]]\n");
            assertEquals(2, run("check", "--operator", file.toString()));
            assertTrue(out.contains(file + ":1: clas: unknown key, did you mean class?"), out);
            assertEquals(2, run("serve", "--operator", file.toString()));
            assertTrue(out.contains(file + ":1: clas:"), out);
            assertEquals(2, run("config", "apply", "--confirm-within", "soon", "--admin", "none", "3"));
            assertEquals(
                    "sablehinge: --confirm-within: expected a time such as 30s, found soon; see"
                            + " sablehinge config apply --help\n",
                    out);
            assertEquals(2, run("config"));
            assertEquals(1, run("config", "status", "--admin", "/nonexistent/sock"));
            for (String verb : new String[] {"serve", "wire", "check", "config", "config stage", "config apply"}) {
                assertEquals(0, run((verb + " --help").split(" ")), verb);
                assertTrue(out.startsWith("Usage: sablehinge " + verb), out);
                assertEquals(0, run((verb + " --version").split(" ")), verb);
            }
        } finally {
            Files.delete(file);
        }
    }
}
