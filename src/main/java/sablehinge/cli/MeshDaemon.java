package sablehinge.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
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

    private static final String ANY_MACHINE = "02:00:00:00:00:01";

    private MeshDaemon() {}

    /** Runs a daemon by the settings file that the environment names, until it is ended. */
    static void run(String role) throws InterruptedException {
        long processStartedAt = System.nanoTime();
        DirectProvider.name();
        System.setProperty(MACHINE, ANY_MACHINE);
        // Before anything else: the signal would end the process, also one that has only just begun.
        AtomicReference<Consumer<LocalSettings>> takes = new AtomicReference<>();
        Main.onHangup(() -> reread(role, takes.get()));
        try {
            String file = System.getenv(SETTINGS);
            if (file == null) {
                throw new ConfigException(SETTINGS + " names no settings file");
            }
            LocalSettings settings = read(role, file);
            if (settings.role() == LocalSettings.Role.SIDECAR) {
                Sidecar sidecar = Sidecar.start(settings);
                takes.set(sidecar::reload);
                Main.drainAtShutdown(sidecar::drain);
            } else {
                ControlNode node = ControlNode.start(settings, processStartedAt);
                takes.set(node::reload);
                Main.drainAtShutdown(node::leave);
            }
            new SettingsWatch(() -> Files.readAllBytes(Path.of(file)), () -> reread(role, takes.get())).start();
        } catch (ConfigException e) {
            System.err.println("sablehinge: " + e.getMessage());
            System.exit(1);
        }
        new CountDownLatch(1).await();
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
