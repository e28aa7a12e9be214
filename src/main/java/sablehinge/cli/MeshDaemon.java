package sablehinge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.DirectProvider;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;
import sablehinge.controlplane.node.ControlNode;
import sablehinge.dataplane.sidecar.Sidecar;

/** The mesh's daemons: {@code sidecar} beside an upstream, {@code control node} on a machine of the core. */
final class MeshDaemon {

    private static final String SETTINGS = "SABLEHINGE_CONFIG";
    /** Netty tells channels of several machines apart by it, and would look at every network interface. */
    private static final String MACHINE = "io.netty.machineId";

    private static final double NANOS_PER_MS = 1e6;
    /** How long a process that is told to end while it starts has for that, ms. */
    private static final long MAX_START_MS = 2_000;

    private static final String ANY_MACHINE = "02:00:00:00:00:01";

    /** Ends a daemon in order; returns when the process may end. */
    private interface Shutdown {

        /** Some of its grace may be over: {@code elapsedMs} since it was told to end. */
        void run(double elapsedMs) throws InterruptedException;
    }

    private MeshDaemon() {}

    /** Runs a daemon by the settings file that the environment names, until it is ended. */
    static void run(String role) throws InterruptedException {
        long processStartedAt = System.nanoTime();
        DirectProvider.register();
        System.setProperty(MACHINE, ANY_MACHINE);
        // Before anything else: the signal would end the process, also one that has only just begun.
        AtomicReference<Consumer<LocalSettings>> takes = new AtomicReference<>();
        Main.onHangup(() -> reread(role, takes.get()));
        CompletableFuture<Shutdown> started = new CompletableFuture<>();
        Main.drainAtShutdown(() -> drainOnceStarted(started));
        try {
            String file = System.getenv(SETTINGS);
            if (file == null) {
                throw new ConfigException(SETTINGS + " names no settings file");
            }
            LocalSettings settings = read(role, file);
            if (settings.role() == LocalSettings.Role.SIDECAR) {
                Sidecar sidecar = Sidecar.start(settings, made -> started.complete(made::drain));
                takes.set(sidecar::reload);
            } else {
                ControlNode node = ControlNode.start(settings, processStartedAt);
                takes.set(node::reload);
                started.complete(node::leave);
            }
            new SettingsWatch(() -> Files.readAllBytes(Path.of(file)), () -> reread(role, takes.get())).start();
        } catch (ConfigException e) {
            started.complete(elapsedMs -> {});
            System.err.println("sablehinge: " + e.getMessage());
            System.exit(1);
        }
        new CountDownLatch(1).await();
    }

    /**
     * Drains a process that may be told to end while it starts: it reads requests before it has started completely, and
     * these are owed an answer like any others. One that has not come so far in time has read nothing.
     */
    private static void drainOnceStarted(CompletableFuture<Shutdown> started) throws InterruptedException {
        long signalledAt = System.nanoTime();
        Shutdown shutdown;
        try {
            shutdown = started.get(MAX_START_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Log.warn(LoggerFactory.getLogger(MeshDaemon.class), "ends-unstarted")
                    .log("ends before it has started");
            return;
        }
        shutdown.run((System.nanoTime() - signalledAt) / NANOS_PER_MS);
    }

    private static LocalSettings read(String role, String file) throws ConfigException {
        LocalSettings settings = LocalSettings.read(Path.of(file));
        if (!settings.role().name().toLowerCase(Locale.ROOT).equals(role)) {
            throw new ConfigException(file + ": role is "
                    + settings.role().name().toLowerCase(Locale.ROOT) + ", but " + role + " was started");
        }
        return settings;
    }

    /** SIGHUP says that the file has changed; one that is of no use changes nothing. */
    private static void reread(String role, Consumer<LocalSettings> takes) {
        try {
            LocalSettings settings = read(role, System.getenv(SETTINGS));
            if (takes != null) {
                takes.accept(settings);
            }
        } catch (ConfigException | RuntimeException e) {
            Log.warn(LoggerFactory.getLogger(MeshDaemon.class), "settings-malformed")
                    .addKeyValue("cause", e.getMessage())
                    .log("the settings stay as they were");
        }
    }
}
