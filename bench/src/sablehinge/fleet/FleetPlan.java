package sablehinge.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sablehinge.common.settings.LocalSettings;

/**
 * Names, zones and loopback addresses of a fleet: each machine has an address of its own, all have the same ports.
 *
 * @param network second number of all addresses, 1 to 254
 * @param controlNodes machines of the control plane
 * @param sidecars machines with a sidecar process
 * @param hollow machines whose sidecar is hollow
 * @param services names of services are numbered from 0
 */
record FleetPlan(int network, int controlNodes, int sidecars, int hollow, int services) {

    static final int ZONES = 6;
    private static final int REGIONS = 2;
    private static final int CONTROL_HOST = 11;
    private static final int SIDECAR_HOST = 101;
    private static final int HOSTS = 250;
    private static final int INNER = 7780;
    private static final int INNER_LAST = 7795;
    private static final int CONTROL = 7701;
    private static final int OUTBOUND = 7702;
    private static final int INBOUND = 7703;
    private static final int READY = 7704;
    private static final int APP = 7705;
    private static final double HEARTBEAT_MS = 1_500;
    private static final int SEEDS = 3;
    /** What the operators' smaller site says. */
    private static final LocalSettings.Bounds BOUNDS = new LocalSettings.Bounds(
            3, 2, 3_000, 5_000, 4, 2_500, 6, 200, 2_500, 250, 8_000, false, 5_000, 0.2, 10, 62, 5, 0.1, 20, 15);

    /** The zone of the machine that has this number among its kind. */
    static String zone(int number) {
        return "zone-" + number % ZONES;
    }

    /** The number of a control node's zone: they take turns between the regions, the first ones too. */
    static int controlZone(int place) {
        return place % REGIONS * (ZONES / REGIONS) + place / REGIONS % (ZONES / REGIONS);
    }

    /** The number of the region of a zone that has this number. */
    static int regionOfZone(int zone) {
        return zone % ZONES * REGIONS / ZONES;
    }

    private static String region(int number) {
        return "region-" + regionOfZone(number);
    }

    private static Map<String, String> zones() {
        Map<String, String> zones = new LinkedHashMap<>();
        for (int i = 0; i < ZONES; i++) {
            zones.put(zone(i), region(i));
        }
        return zones;
    }

    /** The number of a control node's machine. */
    String controlIp(int place) {
        return "127." + network + ".0." + (CONTROL_HOST + place);
    }

    private String sidecarIp(int place) {
        return "127." + network + ".0." + (SIDECAR_HOST + place);
    }

    private String hollowIp(int place) {
        return "127." + network + "." + (1 + place / HOSTS) + "." + (1 + place % HOSTS);
    }

    /** The number of the region in which a control node or a hollow sidecar has its address. */
    int regionAt(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        int row = Byte.toUnsignedInt(ip[2]);
        int host = Byte.toUnsignedInt(ip[3]);
        return regionOfZone(row == 0 ? controlZone(host - CONTROL_HOST) : hollowZone((row - 1) * HOSTS + host - 1));
    }

    /** Each service's machines take turns over all zones. */
    private int hollowZone(int place) {
        return (place + place / (services - 1)) % ZONES;
    }

    /** Where a control node takes operators' calls. */
    String control(int place) {
        return controlIp(place) + ":" + CONTROL;
    }

    /** Where a sidecar process receives heartbeats of its upstream. */
    String heartbeats(int place) {
        return sidecarIp(place) + ":" + CONTROL;
    }

    /** Where the upstream of a sidecar process listens. */
    String app(int place) {
        return sidecarIp(place) + ":" + APP;
    }

    /** Where a sidecar process takes its clients' requests. */
    String outbound(int place) {
        return sidecarIp(place) + ":" + OUTBOUND;
    }

    /** The service of a machine with a sidecar process; they have one to themselves. */
    static String service(int number) {
        return "service-" + number;
    }

    /** The name of a hollow machine. */
    static String node(int place) {
        return "hollow-" + place;
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(SEEDS, controlNodes); i++) {
            seeds.add(control(i));
        }
        return seeds;
    }

    /** The settings of a hollow sidecar. */
    LocalSettings hollowSettings(int place) {
        String ip = hollowIp(place);
        int zone = hollowZone(place);
        LocalSettings.ListenOn listen = new LocalSettings.ListenOn(
                ip + ":" + INBOUND, ip + ":" + OUTBOUND, ip + ":" + READY, ip + ":" + CONTROL);
        return new LocalSettings(
                node(place),
                LocalSettings.Role.SIDECAR,
                "sidecar",
                List.of("sidecar"),
                ip,
                zone(zone),
                region(zone),
                INNER,
                INNER_LAST,
                seeds(),
                true,
                false,
                null,
                HEARTBEAT_MS,
                List.of("base", "quota", "retry"),
                ip + ":" + APP,
                service(1 + place % (services - 1)),
                zones(),
                listen,
                new LocalSettings.Limits(1, 1, 400, 2_000, 1_000, 0),
                1,
                BOUNDS);
    }

    private String head(String node, String role, String ip, int number) {
        StringBuilder seeds = new StringBuilder();
        seeds().forEach(seed -> seeds.append(seeds.length() == 0 ? "" : ",")
                .append('"')
                .append(seed)
                .append('"'));
        boolean isControl = role.equals("control");
        return String.format(
                Locale.ROOT,
                """
                node = "%s"
                role = "%s"
                machineClass = "%s"
                serves = ["%s"]
                ip = "%s"
                zone = "%s"
                region = "%s"
                innerPorts = [%d,%d]
                seeds = [%s]
                beatMs = %.0f
                contracts = ["base","drain","config","cost","retry","recover","tenants","quota"]
                """,
                node,
                role,
                isControl ? "core" : "sidecar",
                isControl ? "control" : "sidecar",
                ip,
                zone(number),
                region(number),
                INNER,
                INNER_LAST,
                seeds,
                HEARTBEAT_MS);
    }

    private String tail(int diskMb) {
        StringBuilder zones = new StringBuilder("[zones]\n");
        zones().forEach((zone, region) ->
                zones.append(zone).append(" = \"").append(region).append("\"\n"));
        return zones + "[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = 430\nfds = 4100\nlinkMbps = 1000.0\n"
                + "diskMb = " + diskMb + "\n[tolerate]\nmachines = " + (controlNodes - 1) / 2
                + "\nzones = 0\nregions = 0\n";
    }

    /** The settings file of a control node. */
    String controlSettings(int place, String dataDir, boolean firstStart) {
        return head("control-" + place, "control", controlIp(place), controlZone(place)) + "dataDir = \"" + dataDir
                + "\"\nfirstStart = " + firstStart + "\ncounted = true\n" + tail(256)
                + "[listenOn]\ncontrol = \"" + control(place) + "\"\n";
    }

    /** The settings file of a sidecar process. */
    String sidecarSettings(int place) {
        String ip = sidecarIp(place);
        return head("sidecar-" + place, "sidecar", ip, place) + "app = \"" + app(place) + "\"\ndepot = \""
                + service(0) + "\"\nfirstStart = true\ncounted = false\n" + tail(0)
                + "[listenOn]\ninbound = \"" + ip + ":" + INBOUND + "\"\noutbound = \"" + outbound(place)
                + "\"\nready = \"" + ip + ":" + READY + "\"\ncontrol = \"" + heartbeats(place) + "\"\n";
    }
}
