package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The addresses of a small mesh: each machine has its own loopback address, and all machines use the same ports.
 *
 * @param prefix the first three octets of all addresses, such as 127.0.0
 * @param controlNodes the number of control nodes
 * @param services the services of the upstreams, one for each sidecar
 */
public record MeshPlan(String prefix, int controlNodes, List<String> services) {

    /** How long an upstream continues to serve after it has announced its shutdown. */
    public static final int UNLOAD_MS = 2_000;
    /** How long an older configuration may stay in effect after a newer one was acknowledged. */
    public static final int EDITION_MS = 2_500;
    /** The interval between heartbeats of an upstream. */
    public static final int HEARTBEAT_MS = 500;
    /** The zone of all machines. */
    public static final String ZONE = "valley";

    private static final int FIRST_CONTROL_NODE_HOST = 11;
    private static final int FIRST_SIDECAR_HOST = 21;
    private static final int FIRST_INNER_PORT = 7780;
    private static final int CONTROL_PORT = 7701;
    private static final int OUTBOUND_PORT = 7702;
    private static final int INBOUND_PORT = 7703;
    private static final int READY_PORT = 7704;
    private static final int APP_PORT = 7705;
    private static final String COMMON_SETTINGS =
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

    /** Creates a plan with an immutable copy of the services. */
    public MeshPlan {
        services = List.copyOf(services);
    }

    /** Returns the address at which a control node listens for operators. */
    public String coreControl(int index) {
        return address(FIRST_CONTROL_NODE_HOST + index, CONTROL_PORT);
    }

    /** Returns the address at which a sidecar accepts the requests of the clients of its machine. */
    public String outbound(int index) {
        return address(FIRST_SIDECAR_HOST + index, OUTBOUND_PORT);
    }

    /** Returns the address at which a sidecar answers readiness checks. */
    public String ready(int index) {
        return address(FIRST_SIDECAR_HOST + index, READY_PORT);
    }

    /** Returns the address at which a sidecar listens for its upstream. */
    public String control(int index) {
        return address(FIRST_SIDECAR_HOST + index, CONTROL_PORT);
    }

    /** Returns the address at which the upstream of a machine listens. */
    public String app(int index) {
        return address(FIRST_SIDECAR_HOST + index, APP_PORT);
    }

    private String address(int host, int port) {
        return prefix + "." + host + ":" + port;
    }

    private String identitySettings(String node, String role, int host) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controlNodes); i++) {
            seeds.add('"' + coreControl(i) + '"');
        }
        String machineClass = role.equals("control") ? "core" : "sidecar";
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
                machineClass,
                machineClass.equals("core") ? "control" : "sidecar",
                prefix,
                host,
                ZONE,
                FIRST_INNER_PORT,
                FIRST_INNER_PORT + 15,
                seeds);
    }

    /** Returns the text of the settings file of a control node. */
    public String controlSettings(int index, String dataDir, boolean firstStart) {
        return identitySettings("core-" + (index + 1), "control", FIRST_CONTROL_NODE_HOST + index) + "dataDir = \""
                + dataDir + "\"\n"
                + String.format(
                        Locale.ROOT, COMMON_SETTINGS, firstStart, true, HEARTBEAT_MS, 1_000, UNLOAD_MS, EDITION_MS)
                + "[listenOn]\ncontrol = \"" + coreControl(index) + "\"\n";
    }

    /** Returns the text of the settings file of a sidecar. */
    public String sidecarSettings(int index) {
        return identitySettings("sidecar-" + (index + 1), "sidecar", FIRST_SIDECAR_HOST + index) + "app = \""
                + app(index)
                + "\"\ndepot = \"" + services.get(index) + "\"\n"
                + String.format(Locale.ROOT, COMMON_SETTINGS, true, false, HEARTBEAT_MS, 0, UNLOAD_MS, EDITION_MS)
                + "[listenOn]\ninbound = \"" + address(FIRST_SIDECAR_HOST + index, INBOUND_PORT) + "\"\noutbound = \""
                + outbound(index) + "\"\nready = \"" + ready(index) + "\"\ncontrol = \"" + control(index)
                + "\"\n";
    }
}
