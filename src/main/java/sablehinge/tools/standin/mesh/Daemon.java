package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon of the mesh that runs as a child process with a settings file. */
public final class Daemon implements AutoCloseable {

    private static final String SETTINGS_VARIABLE = "SABLEHINGE_CONFIG";

    private final String name;
    private final Path settings;
    private final Path log;
    private Process process;
    private long startOffset;

    /** Creates a daemon without starting it; its output is appended to the log file. */
    public Daemon(String name, Path settings, Path log) {
        this.name = name;
        this.settings = settings;
        this.log = log;
    }

    /** Starts the process with a command. */
    public void start(List<String> command) {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        try {
            startOffset = Files.exists(log) ? Files.size(log) : 0;
            process = builder.start();
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.DAEMON, name + " can't be started: " + e.getMessage(), e);
        }
    }

    /** Returns whether the process runs. */
    public boolean runs() {
        return process != null && process.isAlive();
    }

    /** Returns the output since the last start. */
    public String output() {
        try {
            byte[] content = Files.readAllBytes(log);
            int from = (int) Math.min(content.length, startOffset);
            return new String(content, from, content.length - from, StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "(no log)";
        }
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the CPU time of the process in ms; 0 if the system does not report it. */
    public long cpuMs() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /** Kills the process and waits until it has exited. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Sends SIGHUP. */
    public void hangUp() throws InterruptedException {
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.DAEMON, name + " can't be signalled: " + e.getMessage(), e);
        }
    }

    /** Runs an action once the process has exited. */
    public void onEnd(Runnable action) {
        process.onExit().thenRun(action);
    }

    /** Returns whether the process exits within a time. */
    public boolean ends(long withinMs) throws InterruptedException {
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    /** Sends SIGTERM; returns whether the process exits within a time. */
    public boolean end(long withinMs) throws InterruptedException {
        process.destroy();
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
