package sablehinge.cli.mesh;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import sablehinge.cli.mesh.operator.MeshCommand;
import sablehinge.tools.standin.mesh.HeartbeatSender;
import sablehinge.tools.standin.mesh.MeshPlan;
import sablehinge.tools.standin.mesh.StandInUpstream;
import sablehinge.tools.standin.mesh.TrafficLog;

/** Runs one stand-in upstream until it is terminated; at SIGTERM it drains and signs off. */
@Command(
        name = "upstream",
        description = "Runs a stand-in upstream, which tells the sidecar beside it that "
                + "it lives; at SIGTERM it unloads, signs off and ends")
public final class MeshUpstreamCommand implements MeshCommand {

    @Required
    @Option(
            name = {"-d", "--depot"},
            title = "SERVICE",
            description = "Its service")
    private String depot;

    @Required
    @Option(
            name = {"-l", "--listen"},
            title = "ADDRESS",
            description = "Where it listens, the app address")
    private String listen;

    @Required
    @Option(
            name = {"-c", "--control"},
            title = "ADDRESS",
            description = "The sidecar's control address")
    private String control;

    @Option(
            name = {"-b", "--berths"},
            title = "NUMBER",
            description = "How many requests it works on at once (default: 12)")
    private int berths = 12;

    @Option(
            name = {"-w", "--work"},
            title = "MS",
            description = "The longest that one takes (default: 20)")
    private int workMs = 20;

    /** Called by the command line parser. */
    public MeshUpstreamCommand() {}

    @Override
    public int execute() throws InterruptedException {
        TrafficLog trafficLog = new TrafficLog();
        String id = "i-" + Long.toHexString(System.nanoTime());
        StandInUpstream upstream =
                new StandInUpstream(new StandInUpstream.Terms(id, depot, address(listen), berths, workMs), trafficLog);
        HeartbeatSender heartbeats =
                new HeartbeatSender(upstream, address(control), MeshPlan.ZONE, MeshPlan.HEARTBEAT_MS, trafficLog);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                heartbeats.leave(MeshPlan.UNLOAD_MS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "leaves"));
        System.out.println(id + " of " + depot + " listens on " + listen);
        new CountDownLatch(1).await();
        return 0;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
