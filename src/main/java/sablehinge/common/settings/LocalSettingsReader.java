package sablehinge.common.settings;

/**
 * Reads {@link LocalSettings} from the tables of a settings file. A key that is missing and has no default, or that has
 * another type, fails with {@link SettingsTable.InvalidKeyException}.
 */
final class LocalSettingsReader {

    private LocalSettingsReader() {}

    static LocalSettings settings(SettingsTable root) {
        int[] ports = root.ports("innerPorts");
        return new LocalSettings(
                root.name("node"),
                role(root),
                root.name("machineClass"),
                root.texts("serves"),
                root.name("ip"),
                root.name("zone"),
                root.name("region"),
                ports[0],
                ports[1],
                root.addresses("seeds"),
                root.flag("firstStart"),
                root.flag("counted"),
                root.nameIfAny("dataDir"),
                root.figure("beatMs"),
                root.texts("contracts"),
                root.addressIfAny("app"),
                root.nameIfAny("depot"),
                root.table("zones").names(),
                listenOn(root.table("listenOn")),
                limits(root.table("limits")),
                root.table("tolerate").count("machines"),
                bounds(root.tableIfAny("bounds")));
    }

    private static LocalSettings.Role role(SettingsTable root) {
        return switch (root.name("role")) {
            case "sidecar" -> LocalSettings.Role.SIDECAR;
            case "control" -> LocalSettings.Role.CONTROL;
            default -> throw root.invalid("role");
        };
    }

    private static LocalSettings.ListenOn listenOn(SettingsTable table) {
        return new LocalSettings.ListenOn(
                table.addressIfAny("inbound"),
                table.addressIfAny("outbound"),
                table.addressIfAny("ready"),
                table.addressIfAny("control"));
    }

    private static LocalSettings.Limits limits(SettingsTable table) {
        return new LocalSettings.Limits(
                table.figure("cpuShare"),
                table.figure("cores"),
                table.figure("memoryMb"),
                table.count("fds"),
                table.figure("linkMbps"),
                table.figure("diskMb"));
    }

    /** A limit of a contract that is not in force may be missing. */
    private static LocalSettings.Bounds bounds(SettingsTable table) {
        return new LocalSettings.Bounds(
                table.figure("seedDelayS", 3),
                table.figure("readdressAfterS", 2),
                table.figure("contactMs", 3_000),
                table.figure("receiptMs", 5_000),
                table.figure("onboardS", 4),
                table.figure("unloadMs", 2_500),
                table.figure("graceS", 6),
                table.figure("lostSlackMs", 200),
                table.figure("editionMs", 2_500),
                table.figure("revertMs", 250),
                table.figure("maxStretchMs", 8_000),
                table.flag("sealed", false),
                table.figure("revokeMs", 5_000),
                table.figure("retryRatio", 0.2),
                table.figure("retryWindowS", 10),
                table.figure("retrySlack", 62),
                table.figure("quotaWindowS", 5),
                table.figure("quotaExcess", 0.1),
                table.figure("quotaSlack", 20),
                table.figure("recoverS", 15));
    }
}
