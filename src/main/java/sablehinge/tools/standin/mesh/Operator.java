package sablehinge.tools.standin.mesh;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Sends configurations to the control nodes, follows redirects to the leader, and reads the newest version back. */
public final class Operator {

    private static final int TIMEOUT_MS = 2_500;
    private static final int MAX_REDIRECTS = 2;
    private static final long RETRY_DELAY_MS = 100;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<InetSocketAddress> controlNodes;
    private final List<Order> orders = new ArrayList<>();
    private int nextNode;

    /** A configuration that was sent; {@code ackedAt} is NaN without an acknowledgement. */
    public record Order(MeshVersion version, double sentAt, double ackedAt) {}

    /** Creates an operator with the addresses of the control nodes. */
    public Operator(List<InetSocketAddress> controlNodes) {
        this.controlNodes = new CopyOnWriteArrayList<>(controlNodes);
    }

    /** Adds the address of a control node. */
    public void addControlNode(InetSocketAddress address) {
        controlNodes.add(address);
    }

    /** Sends a configuration until it is acknowledged; throws an exception with the last response otherwise. */
    public void replace(MeshVersion version, long withinMs) throws InterruptedException {
        double sentAt = TrafficLog.now();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "control");
        headers.put("Sablehinge-Based-On", Long.toString(version.basedOn()));
        headers.put("Content-Type", "application/json");
        double ackedAt = Double.NaN;
        Message answer;
        try {
            answer = callUntilAnswered(withinMs, "POST", "/sablehinge/Config.Replace", headers, version.body());
            ackedAt = answer.status() == 200 ? TrafficLog.now() : Double.NaN;
        } finally {
            orders.add(new Order(version, sentAt, ackedAt));
        }
        if (answer.status() != 200) {
            throw new MeshException(
                    MeshException.Code.TIMEOUT,
                    "configuration " + version.edition()
                            + " was answered with " + answer.start() + " "
                            + new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8),
                    null);
        }
    }

    /** Reads the newest configuration from the control nodes. */
    public byte[] read(long withinMs) throws InterruptedException {
        return callUntilAnswered(withinMs, "GET", "/sablehinge/Config.Read", Map.of("Host", "control"), new byte[0])
                .body();
    }

    /** Returns the sent configurations in order. */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Returns whether a body has the same content as a version. */
    static boolean hasSameContent(byte[] body, MeshVersion version) {
        try {
            JsonNode read = JSON.readTree(body);
            return JSON.readTree(version.body()).equals(read);
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the index of the leader among the known control nodes; -1 if no node responds as leader. */
    public int leader() {
        for (int i = 0; i < controlNodes.size(); i++) {
            try {
                Message answer = ClientCall.once(
                        controlNodes.get(i),
                        TIMEOUT_MS,
                        "GET",
                        "/sablehinge/Config.Read",
                        Map.of("Host", "control"),
                        new byte[0]);
                if (answer != null && answer.status() == 200) {
                    return i;
                }
            } catch (IOException e) {
                // This control node does not run.
            }
        }
        return -1;
    }

    private Message callUntilAnswered(
            long withinMs, String method, String path, Map<String, String> headers, byte[] body)
            throws InterruptedException {
        double deadline = TrafficLog.now() + withinMs;
        Message last = null;
        while (TrafficLog.now() < deadline) {
            try {
                Message answer = callWithRedirects(method, path, headers, body);
                if (answer != null) {
                    last = answer;
                    int status = answer.status();
                    if (status < 300
                            || status >= 400 && status < 500 && status != 404 && status != 408 && status != 429) {
                        return answer;
                    }
                }
            } catch (IOException e) {
                // The next control node is tried.
            }
            nextNode++;
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
        throw new MeshException(
                MeshException.Code.TIMEOUT,
                path + " has no answer that counts; the last was " + (last == null ? "none" : last.start()),
                null);
    }

    private Message callWithRedirects(String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        InetSocketAddress node = controlNodes.get(Math.floorMod(nextNode, controlNodes.size()));
        Message answer = ClientCall.once(node, TIMEOUT_MS, method, path, headers, body);
        for (int i = 0; i < MAX_REDIRECTS && answer != null && answer.status() == 307; i++) {
            node = ClientCall.address(URI.create(answer.header("Location")).getAuthority());
            answer = ClientCall.once(node, TIMEOUT_MS, method, path, headers, body);
        }
        return answer;
    }
}
