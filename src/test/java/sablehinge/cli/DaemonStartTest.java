package sablehinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the mesh's daemons as processes: signals and invalid settings. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DaemonStartTest {

    /** An address unique to this process, as other test runs may be in progress on the machine. */
    private static final String IP = "127." + (1 + ProcessHandle.current().pid() % 250) + "."
            + (1 + ProcessHandle.current().pid() / 250 % 250) + ".77";

    private static final String SETTINGS =
            """
            node = "core-1"
            role = "control"
            machineClass = "core"
            serves = ["control"]
            ip = "127.77.0.1"
            zone = "plateau"
            region = "sahel"
            innerPorts = [7780, 7795]
            seeds = ["127.77.0.1:8367", "127.77.0.2:8367", "127.77.0.3:8367"]
            firstStart = true
            counted = true
            dataDir = "%s"
            discovery = "local"
            entry = "local"
            beatMs = 1500
            contracts = ["base"]
            [zones]
            plateau = "sahel"
            [listenOn]
            control = "127.77.0.1:8367"
            [limits]
            cpuShare = 0.9
            cores = 2
            memoryMb = 426
            fds = 4096
            linkMbps = 1000.0
            diskMb = 256
            [tolerate]
            machines = 1
            zones = 0
            regions = 0
            [bounds]
            graceS = 6
            """
                    .replace("127.77.0.1", IP);

    @TempDir
    Path folder;

    private Process start(String role, String text) throws IOException {
        Path file = folder.resolve("local.toml");
        Files.writeString(file, text);
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        role)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("SABLEHINGE_CONFIG", file.toString());
        return builder.start();
    }

    private static String awaitLine(BufferedReader output, String wanted) throws IOException {
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            if (line.contains(wanted)) {
                return line;
            }
        }
        throw new AssertionError("the process exited before it logged " + wanted);
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Without a handler, SIGHUP ends the JVM. */
    @Test
    void sighupReloadsSettingsAndKeepsProcessRunning() throws Exception {
        String text = SETTINGS.formatted(folder.resolve("data"));
        Process process = start("control", text);
        try (BufferedReader output = process.errorReader()) {
            assertTrue(awaitLine(output, "event=starts").contains("node=core-1"));
            sendSighup(process);
            awaitLine(output, "event=settings ");
            Files.writeString(folder.resolve("local.toml"), text.replace("innerPorts", "outerPorts"));
            sendSighup(process);
            assertTrue(awaitLine(output, "event=settings-malformed").contains("innerPorts"));
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    @Test
    void invalidSettingsEndProcessWithOneLineThatNamesFileAndKey() throws Exception {
        String text = SETTINGS.formatted(folder.resolve("data"));
        String[][] invalidSettings = {
            {"zone = ", "zoone = ", "zone"},
            {"beatMs = 1500", "beatMs = \"soon\"", "beatMs"},
            {"role = \"control\"", "role = \"lake\"", "role"}
        };
        for (String[] replacement : invalidSettings) {
            Process process = start("control", text.replace(replacement[0], replacement[1]));
            String output = new String(process.getErrorStream().readAllBytes());
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
            assertEquals(1, process.exitValue());
            assertEquals(1, output.lines().count(), output);
            assertTrue(output.contains("local.toml") && output.contains(replacement[2]), output);
        }
    }
}
