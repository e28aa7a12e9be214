package sablehinge.cli;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import sablehinge.config.ConfigException;
import sablehinge.config.local.LocalSettings;
import sablehinge.log.LogTerms;
import sablehinge.log.Logging;
import sablehinge.reservoir.Reservoir;
import sablehinge.sluice.Sluice;

/** The mesh's daemons: {@code sluice} beside an upstream, {@code reservoir} on a machine of the core. */
final class Waterworks {

    private static final String SETTINGS = "SABLEHINGE_CONFIG";

    private Waterworks() {
    }

    /** Runs a daemon by the settings file that the environment names, until it is ended. */
    static void run(String role) throws InterruptedException {
        Logging.apply(LogTerms.MESH);
        try {
            String file = System.getenv(SETTINGS);
            if (file == null) {
                throw new ConfigException(SETTINGS + " names no settings file");
            }
            LocalSettings settings = LocalSettings.read(Path.of(file));
            if (!settings.role().name().toLowerCase(Locale.ROOT).equals(role)) {
                throw new ConfigException(file + ": role is " + settings.role().name().toLowerCase(Locale.ROOT)
                        + ", but " + role + " was started");
            }
            if (settings.role() == LocalSettings.Role.SLUICE) {
                Sluice sluice = Sluice.start(settings);
                Main.drainAtShutdown(sluice::drain);
            } else {
                Reservoir.start(settings);
            }
        } catch (ConfigException e) {
            System.err.println("sablehinge: " + e.getMessage());
            System.exit(1);
        }
        new CountDownLatch(1).await();
    }
}
