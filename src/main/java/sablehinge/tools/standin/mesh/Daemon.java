package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon of the mesh as a child process, which is started with a settings file. */
public final class Daemon implements AutoCloseable {

    private static final String SETTINGS = "SABLEHINGE_CONFIG";

    private final String name;
    private final Path settings;
    private final Path log;
    private Process process;
    private long outputBefore;

    /** A daemon that does not run yet; its log is appended to a file. */
    public Daemon(String name, Path settings, Path log) {
        this.name = name;
        this.settings = settings;
        this.log = log;
    }

    /** Starts it by a command. */
    public void start(List<String> command) {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put(SETTINGS, settings.toString());
        try {
            outputBefore = Files.exists(log) ? Files.size(log) : 0;
            process = builder.start();
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.DAEMON, name + " can't be started: " + e.getMessage(), e);
        }
    }

    /** Whether it runs. */
    public boolean runs() {
        return process != null && process.isAlive();
    }

    /** What it has logged since its last start. */
    public String output() {
        try {
            byte[] all = Files.readAllBytes(log);
            int from = (int) Math.min(all.length, outputBefore);
            return new String(all, from, all.length - from, StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "(no log)";
        }
    }

    /** The number of its process. */
    public long pid() {
        return process.pid();
    }

    /** The processor time that it has used, in ms; 0 where the system does not say. */
    public long cpuMs() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }

    /** Ends it at once, and returns when it is gone. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends it SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Sends it SIGHUP. */
    public void hangUp() throws InterruptedException {
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        } catch (IOException e) {
            throw new MeshException(MeshException.Code.DAEMON, name + " can't be signalled: " + e.getMessage(), e);
        }
    }

    /** Runs something once it has ended. */
    public void onEnd(Runnable then) {
        process.onExit().thenRun(then);
    }

    /** Whether it ends within so long. */
    public boolean ends(long withinMs) throws InterruptedException {
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    /** Asks it to end; whether it has within so long. */
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
