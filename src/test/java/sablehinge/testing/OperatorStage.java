package sablehinge.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import sablehinge.gateway.node.OperatorNode;

/** A balancer by an operator file between stand-in servers, and an operator's hand on its admin socket. */
public final class OperatorStage implements AutoCloseable {

    private static final JsonMapper JSON = new JsonMapper();

    public final Path folder;
    public final Path file;
    public final List<StandIn> servers = new ArrayList<>();
    public OperatorNode node;

    public OperatorStage(int count) throws Exception {
        folder = Files.createTempDirectory("operator");
        file = folder.resolve("operator.toml");
        for (int i = 0; i < count; i++) {
            servers.add(new StandIn());
        }
    }

    /** A file with the given servers, by their places, and more lines at its end. */
    public String text(String listen, String more, int... places) {
        StringBuilder text = new StringBuilder(
                """
                [node]
                version-header = true
                [[listener]]
                address = "%s"
                [[class]]
                name = "look-up"
                effect = "safe"
                deadline = "10s"
                [[class]]
                name = "credit-spend"
                effect = "unsafe"
                deadline = "10s"
                """
                        .formatted(listen));
        for (int place : places) {
            text.append("[[upstream]]\nid = \"s%d\"\naddress = \"%s\"\ncell = %d\n"
                    .formatted(place, servers.get(place).address(), place));
        }
        return text + more;
    }

    public String text(int... places) {
        return text("127.0.0.1:0", "", places);
    }

    public OperatorStage start(String text) throws Exception {
        Files.writeString(file, text);
        node = OperatorNode.start(file, false);
        return this;
    }

    public Peer caller() throws Exception {
        List<InetSocketAddress> addresses = node.addresses();
        return Peer.to(addresses.get(addresses.size() - 1));
    }

    /** One request, sent over a connection of its own, and its answer. */
    public Peer.Message ask(String request) throws Exception {
        try (Peer caller = caller()) {
            caller.write(request);
            return caller.read();
        }
    }

    /** Asks the admin listener; the answer's body with its status in {@code status}. */
    public JsonNode admin(String method, String target, String body) throws IOException {
        return admin(node.adminAddress(), null, method, target, body);
    }

    public static JsonNode admin(SocketAddress address, String token, String method, String target, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (SocketChannel channel = SocketChannel.open(address)) {
            ByteBuffer head = StandardCharsets.US_ASCII.encode(method + " " + target
                    + " HTTP/1.1\r\nHost: admin\r\n" + (token == null ? "" : "Authorization: Bearer " + token + "\r\n")
                    + "Content-Length: " + bytes.length + "\r\n\r\n");
            channel.write(head);
            ByteBuffer rest = ByteBuffer.wrap(bytes);
            while (rest.hasRemaining()) {
                channel.write(rest);
            }
            String answer = new String(Channels.newInputStream(channel).readAllBytes(), StandardCharsets.UTF_8);
            JsonNode parsed = JSON.readTree(answer.substring(answer.indexOf("\r\n\r\n")));
            return ((com.fasterxml.jackson.databind.node.ObjectNode) parsed)
                    .put("status", Integer.parseInt(answer.substring(9, 12)));
        }
    }

    /** Stages a file; fails the test if it is refused. */
    public int stage(String text) throws IOException {
        JsonNode staged = admin("POST", "/config/stage", text);
        if (staged.path("status").asInt() != 200) {
            throw new AssertionError(staged.toString());
        }
        return staged.path("version").asInt();
    }

    public JsonNode apply(int version) throws IOException {
        return admin("POST", "/config/apply?version=" + version, "");
    }

    public JsonNode confirm() throws IOException {
        return admin("POST", "/config/confirm", "");
    }

    public JsonNode status() throws IOException {
        return admin("GET", "/config/status", "");
    }

    /** Waits until the status is as wanted. */
    public JsonNode until(Predicate<JsonNode> wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.TIMEOUT_MS);
        JsonNode status = status();
        while (!wanted.test(status)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not as wanted: " + status);
            }
            Thread.onSpinWait();
            status = status();
        }
        return status;
    }

    @Override
    public void close() throws IOException {
        if (node != null) {
            node.kill();
        }
        servers.forEach(StandIn::close);
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
