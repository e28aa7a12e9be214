package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Where everything of a small mesh is: each machine has a loopback address of its own, all have the same ports.
 *
 * @param prefix the first three numbers of all addresses, such as 127.0.0
 * @param controlNodes how many machines the core has
 * @param services the services of the upstreams, one for each machine with an upstream
 */
public record MeshPlan(String prefix, int controlNodes, List<String> services) {

    /** How long an upstream serves on once it has announced that it leaves. */
    public static final int UNLOAD_MS = 2_000;
    /** After an acknowledgement, how long an older configuration may be in force. */
    public static final int EDITION_MS = 2_500;
    /** Between two heartbeats of an upstream. */
    public static final int HEARTBEAT_MS = 500;
    /** The zone of all machines. */
    public static final String ZONE = "valley";

    private static final int CORE = 11;
    private static final int SIDECARS = 21;
    private static final int INNER = 7780;
    private static final int CONTROL = 7701;
    private static final int OUTBOUND = 7702;
    private static final int INBOUND = 7703;
    private static final int READY = 7704;
    private static final int APP = 7705;
    private static final String REST =
            """
            firstStart = %s
            counted = %s
            beatMs = %d
            contracts = ["base","drain","config","cost","retry","recover","tenants","quota"]
            [zones]
            valley = "hills"
            [limits]
            cpuShare = 1.0
            cores = 1
            memoryMb = 400
            fds = 2000
            linkMbps = 1000.0
            diskMb = %d
            [tolerate]
            machines = 1
            zones = 0
            regions = 0
            [bounds]
            unloadMs = %d
            editionMs = %d
            """;

    /** A plan whose services can't be changed. */
    public MeshPlan {
        services = List.copyOf(services);
    }

    /** Where a machine of the core listens for operators, by its place. */
    public String coreControl(int place) {
        return at(CORE + place, CONTROL);
    }

    /** Where clients of a machine call, by its place among those with an upstream. */
    public String outbound(int place) {
        return at(SIDECARS + place, OUTBOUND);
    }

    /** Where a machine answers readiness checks. */
    public String ready(int place) {
        return at(SIDECARS + place, READY);
    }

    /** Where a machine listens for its upstream. */
    public String control(int place) {
        return at(SIDECARS + place, CONTROL);
    }

    /** Where a machine's upstream listens. */
    public String app(int place) {
        return at(SIDECARS + place, APP);
    }

    private String at(int last, int port) {
        return prefix + "." + last + ":" + port;
    }

    private String head(String node, String role, int last) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controlNodes); i++) {
            seeds.add('"' + coreControl(i) + '"');
        }
        String machines = role.equals("control") ? "core" : "sidecar";
        return String.format(
                Locale.ROOT,
                """
                node = "%s"
                role = "%s"
                machineClass = "%s"
                serves = ["%s"]
                ip = "%s.%d"
                zone = "%s"
                region = "hills"
                innerPorts = [%d,%d]
                seeds = %s
                """,
                node,
                role,
                machines,
                machines.equals("core") ? "control" : "sidecar",
                prefix,
                last,
                ZONE,
                INNER,
                INNER + 15,
                seeds);
    }

    /** The settings file of a machine of the core. */
    public String controlSettings(int place, String dataDir, boolean firstStart) {
        return head("core-" + (place + 1), "control", CORE + place) + "dataDir = \"" + dataDir + "\"\n"
                + String.format(Locale.ROOT, REST, firstStart, true, HEARTBEAT_MS, 1_000, UNLOAD_MS, EDITION_MS)
                + "[listenOn]\ncontrol = \"" + coreControl(place) + "\"\n";
    }

    /** The settings file of a machine with an upstream. */
    public String sidecarSettings(int place) {
        return head("sidecar-" + (place + 1), "sidecar", SIDECARS + place) + "app = \"" + app(place)
                + "\"\ndepot = \"" + services.get(place) + "\"\n"
                + String.format(Locale.ROOT, REST, true, false, HEARTBEAT_MS, 0, UNLOAD_MS, EDITION_MS)
                + "[listenOn]\ninbound = \"" + at(SIDECARS + place, INBOUND) + "\"\noutbound = \""
                + outbound(place) + "\"\nready = \"" + ready(place) + "\"\ncontrol = \"" + control(place)
                + "\"\n";
    }
}
