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

/** The daemons of the mesh: {@code sidecar} beside an upstream, {@code control} on a machine of the core. */
final class MeshDaemon {

    private static final String SETTINGS_VARIABLE = "SABLEHINGE_CONFIG";
    /** Netty's machine id, set explicitly: Netty would otherwise scan every network interface to derive one. */
    private static final String NETTY_MACHINE_ID = "io.netty.machineId";

    private static final double NANOS_PER_MS = 1e6;
    /** How long a process that is terminated during its start has to complete the start. */
    private static final long START_TIMEOUT_MS = 2_000;

    private static final String FIXED_MACHINE_ID = "02:00:00:00:00:01";

    /** Shuts a daemon down gracefully; returns when the process may exit. */
    private interface Shutdown {

        /** Shuts down; {@code elapsedMs} have passed since the signal and count against the grace period. */
        void run(double elapsedMs) throws InterruptedException;
    }

    private MeshDaemon() {}

    /** Runs a daemon with the settings file that the environment names, until the process is terminated. */
    static void run(String role) throws InterruptedException {
        long processStartedAt = System.nanoTime();
        DirectProvider.register();
        System.setProperty(NETTY_MACHINE_ID, FIXED_MACHINE_ID);
        // Before anything else: without a handler, the signal would end even a process that has just started.
        AtomicReference<Consumer<LocalSettings>> reload = new AtomicReference<>();
        Main.onHangup(() -> reloadSettings(role, reload.get()));
        CompletableFuture<Shutdown> started = new CompletableFuture<>();
        Main.drainAtShutdown(() -> drainOnceStarted(started));
        try {
            String file = System.getenv(SETTINGS_VARIABLE);
            if (file == null) {
                throw new ConfigException(SETTINGS_VARIABLE + " names no settings file");
            }
            LocalSettings settings = read(role, file);
            if (settings.role() == LocalSettings.Role.SIDECAR) {
                Sidecar sidecar = Sidecar.start(settings, made -> started.complete(made::drain));
                reload.set(sidecar::reload);
            } else {
                ControlNode node = ControlNode.start(settings, processStartedAt);
                reload.set(node::reload);
                started.complete(node::leave);
            }
            new SettingsWatch(() -> Files.readAllBytes(Path.of(file)), () -> reloadSettings(role, reload.get()))
                    .start();
        } catch (ConfigException e) {
            started.complete(elapsedMs -> {});
            System.err.println("sablehinge: " + e.getMessage());
            System.exit(1);
        }
        new CountDownLatch(1).await();
    }

    /**
     * Drains a process that may be terminated during its start: it reads requests before the start is complete, and
     * must answer them like any others. A process that does not complete its start in time has read no request.
     */
    private static void drainOnceStarted(CompletableFuture<Shutdown> started) throws InterruptedException {
        long signalledAt = System.nanoTime();
        Shutdown shutdown;
        try {
            shutdown = started.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            Log.warn(LoggerFactory.getLogger(MeshDaemon.class), "ends-unstarted")
                    .log("the process exits before its start is complete");
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

    /** Handles SIGHUP or a changed file: applies the settings file again; an invalid file changes nothing. */
    private static void reloadSettings(String role, Consumer<LocalSettings> reload) {
        try {
            LocalSettings settings = read(role, System.getenv(SETTINGS_VARIABLE));
            if (reload != null) {
                reload.accept(settings);
            }
        } catch (ConfigException | RuntimeException e) {
            Log.warn(LoggerFactory.getLogger(MeshDaemon.class), "settings-malformed")
                    .addKeyValue("cause", e.getMessage())
                    .log("invalid settings file ignored; the settings are unchanged");
        }
    }
}
