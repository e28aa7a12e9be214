package cranedeal.node;

import java.util.concurrent.CountDownLatch;

/** The command line: {@code serve} runs one balancer, {@code wire} the same decisions for the simulator. */
public final class Main {

    private Main() {
    }

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("wire")) {
            cranedeal.wire.Main.main(args);
        } else if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else {
            exit("usage: java -jar sablehinge.jar serve | wire", 2);
        }
    }

    private static void serve() throws InterruptedException {
        Node node = null;
        try {
            node = Node.start(NodeConfig.read(System.getenv("PROXY_CONFIG")));
        } catch (ConfigException e) {
            exit("sablehinge: " + e.getMessage(), 1);
        }
        drainAtShutdown(node);
        // The node's own threads are daemons, so that the end of the shutdown hook ends the process.
        new CountDownLatch(1).await();
    }

    /** SIGTERM starts the hook, and the virtual machine lives on until the hook returns. */
    private static void drainAtShutdown(Node node) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
    }

    private static void exit(String message, int status) {
        System.err.println(message);
        System.exit(status);
    }
}
