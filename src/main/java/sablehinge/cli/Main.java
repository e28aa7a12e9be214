package sablehinge.cli;

import java.io.PrintWriter;
import java.lang.reflect.Proxy;
import java.nio.charset.Charset;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.LoggerFactory;
import sablehinge.cli.mesh.MeshCommands;
import sablehinge.cli.mesh.operator.Shell;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.ConfigException;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.gateway.node.Node;

/**
 * The command line: {@code serve} runs one balancer on the platform, {@code wire} the same decisions for the simulator,
 * {@code sidecar} and {@code control node} the mesh's daemons. These load nothing of the operators' verbs, which are
 * {@link Commands} and, about a mesh, {@link MeshCommands}.
 */
public final class Main {
    private Main() {}

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("wire")) {
            sablehinge.gateway.wire.Main.main(args);
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && (args[0].equals("sidecar") || args[0].equals("control"))) {
            MeshDaemon.run(args[0]);
        } else if (args.length > 0 && args[0].equals("mesh")) {
            System.exit(
                    MeshCommands.run(Arrays.copyOfRange(args, 1, args.length), Shell.usual(System.out, System.err)));
        } else {
            System.exit(Commands.run(
                    args,
                    new PrintWriter(System.out, true, Charset.defaultCharset()),
                    new PrintWriter(System.err, true, Charset.defaultCharset())));
        }
    }

    /** Runs a balancer on the platform, until it is ended. */
    static void serve() throws InterruptedException {
        Node node = null;
        CompletableFuture<Node> started = new CompletableFuture<>();
        reloadAtHangup(started);
        try {
            node = Node.start(PlatformConfig.read(System.getenv("PROXY_CONFIG")));
        } catch (ConfigException e) {
            exit("sablehinge: " + e.getMessage(), 1);
        }
        drainAtShutdown(node::drain);
        started.complete(node);
        // The node's own threads are daemons, so that the end of the shutdown hook ends the process.
        new CountDownLatch(1).await();
    }

    /** What waits until all that came has been answered. */
    interface Draining {
        void run() throws InterruptedException;
    }

    /** SIGTERM starts the hook, and the virtual machine goes on until the hook returns. */
    static void drainAtShutdown(Draining draining) {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                draining.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
    }

    /**
     * SIGHUP would end the virtual machine, also one that has only just begun to serve; here it means that the
     * configuration was replaced. The file is read off the node's loop, one reading after another, so that the last
     * signal sees the last file. One that is of no use changes nothing.
     */
    private static void reloadAtHangup(CompletableFuture<Node> started) {
        ExecutorService readings = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
        });
        onHangup(() -> readings.execute(() -> {
            try {
                Node node = started.join();
                node.reload(node.config().successor(System.getenv("PROXY_CONFIG")));
            } catch (ConfigException | RuntimeException e) {
                Log.warn(LoggerFactory.getLogger(Main.class), "settings-malformed")
                        .addKeyValue("cause", e.getMessage())
                        .log("the configuration stays as it was: {}", e.getMessage());
            }
        }));
    }

    /** By reflection, as javac has a warning for each use of this class that nothing can suppress. */
    static void onHangup(Runnable reaction) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling = Proxy.newProxyInstance(
                    Main.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        reaction.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            exit("sablehinge: SIGHUP can't be handled: " + e, 1);
        }
    }

    private static void exit(String message, int status) {
        System.err.println(message);
        System.exit(status);
    }
}
