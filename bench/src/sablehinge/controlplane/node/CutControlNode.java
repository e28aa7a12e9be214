package sablehinge.controlplane.node;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sablehinge.common.logging.LogTerms;
import sablehinge.common.logging.Logging;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Cut;
import sablehinge.common.settings.LocalSettings;

/** A control node as its daemon runs it, but that it can be cut from others. */
public final class CutControlNode {

    /** How often it is looked whether the cut lasts, in ms. */
    private static final long LOOK_MS = 10;

    private static volatile boolean lasts;

    private CutControlNode() {}

    /**
     * Runs by the settings file that the environment names, until it is killed.
     *
     * @param args a file that is there while the cut lasts, and the numbers of those beyond it, with commas
     */
    public static void main(String[] args) throws Exception {
        Path flag = Path.of(args[0]);
        Set<String> others = Set.of(args[1].split(","));
        LocalSettings settings = LocalSettings.read(Path.of(System.getenv("SABLEHINGE_CONFIG")));
        Logging.apply(LogTerms.MESH);
        Cut cut = new Cut(() -> lasts, to -> others.contains(to.getAddress().getHostAddress()));
        ControlNode.start(
                settings,
                System.nanoTime(),
                () -> RaftStore.open(Path.of(settings.dataDir())),
                new Connection.Observer() {
                    @Override
                    public void beforeConnect(Channel channel, InetSocketAddress to) {
                        cut.apply(channel, to);
                    }
                });
        CountDownLatch never = new CountDownLatch(1);
        while (!never.await(LOOK_MS, TimeUnit.MILLISECONDS)) {
            lasts = Files.exists(flag);
        }
    }
}
