package sablehinge.testing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Run by the build: starts the packed program by the given command, lets it serve for a moment and ends it as the
 * platform does, so that the virtual machine archives the classes that it has loaded by then.
 */
public final class Rehearsal {

    private static final int REQUESTS = 300;

    private Rehearsal() {}

    /** The arguments are the command that starts the program. */
    public static void main(String[] command) throws Exception {
        Path file = Files.createTempFile("rehearsal", ".json");
        Process process = null;
        try (Stage stage = new Stage(2)) {
            for (Listener upstream : stage.upstreams) {
                serve(upstream, Stage.ok("served"));
            }
            serve(stage.discovery, Stage.ok(Stage.roster(42, false)));
            int port;
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            Files.writeString(file, stage.config().replace("127.0.0.1:0", "127.0.0.1:" + port));
            ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
            builder.environment().put("PROXY_CONFIG", file.toString());
            process = builder.start();
            try (Peer caller = Peer.toServing(new InetSocketAddress("127.0.0.1", port), process)) {
                for (int i = 0; i < REQUESTS; i++) {
                    caller.write(i % 2 == 0 ? Stage.get("r" + i, "2") : Stage.spend("r" + i, "body"));
                    caller.read();
                }
            }
            process.destroy();
            process.waitFor(1, TimeUnit.MINUTES);
        } finally {
            if (process != null) {
                process.destroyForcibly();
            }
            Files.delete(file);
        }
    }

    /** Answers whatever comes with the same text. */
    private static void serve(Listener listener, String answer) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Peer peer = listener.accept();
                    Thread worker = new Thread(() -> answer(peer, answer));
                    worker.setDaemon(true);
                    worker.start();
                }
            } catch (InterruptedException | AssertionError e) {
                // Nobody calls any more.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private static void answer(Peer peer, String answer) {
        try (peer) {
            while (peer.read() != null) {
                TimeUnit.MILLISECONDS.sleep(1);
                peer.write(answer);
            }
        } catch (IOException | InterruptedException e) {
            // The program has closed the connection.
        }
    }
}
