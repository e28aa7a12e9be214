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
import sablehinge.cli.mesh.operator.CommandContext;
import sablehinge.common.logging.Log;
import sablehinge.common.settings.ConfigException;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.gateway.node.Node;

/**
 * The command line: {@code serve} runs one balancer on the platform, {@code wire} the same decisions for the simulator,
 * {@code sidecar} and {@code control} the mesh's daemons. None of these loads the operators' commands, which are in
 * {@link Commands} and, for a mesh, in {@link MeshCommands}.
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
            System.exit(MeshCommands.run(
                    Arrays.copyOfRange(args, 1, args.length), CommandContext.ofProcess(System.out, System.err)));
        } else {
            System.exit(Commands.run(
                    args,
                    new PrintWriter(System.out, true, Charset.defaultCharset()),
                    new PrintWriter(System.err, true, Charset.defaultCharset())));
        }
    }

    /** Runs a balancer on the platform until the process is terminated. */
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
        // The node's threads are daemon threads, so the process exits when the shutdown hook returns.
        new CountDownLatch(1).await();
    }

    /** Blocks until all requests received have been answered. */
    interface Draining {
        void run() throws InterruptedException;
    }

    /** Registers a shutdown hook that drains: after SIGTERM the JVM exits only once the hook returns. */
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
     * Reloads the configuration at SIGHUP, which would otherwise end the JVM, even if it has only just started. The
     * file is read outside the node's event loop, one read after another, so that the last signal sees the latest file.
     * An invalid file changes nothing.
     */
    private static void reloadAtHangup(CompletableFuture<Node> started) {
        ExecutorService reloads = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
        });
        onHangup(() -> reloads.execute(() -> {
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

    /**
     * Installs a SIGHUP handler by reflection: javac emits a warning for each use of Signal that can't be suppressed.
     */
    static void onHangup(Runnable reaction) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    Main.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        reaction.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException e) {
            exit("sablehinge: SIGHUP can't be handled: " + e, 1);
        }
    }

    private static void exit(String message, int status) {
        System.err.println(message);
        System.exit(status);
    }
}
