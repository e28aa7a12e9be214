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

/** Sends configurations to whichever machine of the core takes them, and reads the newest back. */
public final class Operator {

    private static final int TIMEOUT_MS = 2_500;
    private static final int HOPS = 2;
    private static final long AGAIN_MS = 100;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<InetSocketAddress> core;
    private final List<Order> orders = new ArrayList<>();
    private int next;

    /** A configuration that was sent; {@code ackedAt} is NaN where no acknowledgement has come. */
    public record Order(MeshVersion version, double sentAt, double ackedAt) {}

    /** An operator that knows these machines. */
    public Operator(List<InetSocketAddress> core) {
        this.core = new CopyOnWriteArrayList<>(core);
    }

    /** Another machine of the core may be here. */
    public void knows(InetSocketAddress another) {
        core.add(another);
    }

    /** Sends a configuration until it is acknowledged; the error says what was answered in the end. */
    public void replace(MeshVersion version, long withinMs) throws InterruptedException {
        double sentAt = TrafficLog.now();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "control");
        headers.put("Sablehinge-Based-On", Long.toString(version.basedOn()));
        headers.put("Content-Type", "application/json");
        double ackedAt = Double.NaN;
        Message answer;
        try {
            answer = until(withinMs, "POST", "/sablehinge/Config.Replace", headers, version.body());
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

    /** The newest configuration, as the core has it. */
    public byte[] read(long withinMs) throws InterruptedException {
        return until(withinMs, "GET", "/sablehinge/Config.Read", Map.of("Host", "control"), new byte[0])
                .body();
    }

    /** What was sent, in its order. */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    /** Whether a body says the same as a version. */
    static boolean same(byte[] body, MeshVersion version) {
        try {
            JsonNode read = JSON.readTree(body);
            return JSON.readTree(version.body()).equals(read);
        } catch (IOException e) {
            return false;
        }
    }

    /** The place of the machine that leads, among those that were given; -1 where none says so. */
    public int leader() {
        for (int i = 0; i < core.size(); i++) {
            try {
                Message answer = ClientCall.once(
                        core.get(i),
                        TIMEOUT_MS,
                        "GET",
                        "/sablehinge/Config.Read",
                        Map.of("Host", "control"),
                        new byte[0]);
                if (answer != null && answer.status() == 200) {
                    return i;
                }
            } catch (IOException e) {
                // This one does not run.
            }
        }
        return -1;
    }

    private Message until(long withinMs, String method, String path, Map<String, String> headers, byte[] body)
            throws InterruptedException {
        double end = TrafficLog.now() + withinMs;
        Message last = null;
        while (TrafficLog.now() < end) {
            try {
                Message answer = follow(method, path, headers, body);
                if (answer != null) {
                    last = answer;
                    int status = answer.status();
                    if (status < 300
                            || status >= 400 && status < 500 && status != 404 && status != 408 && status != 429) {
                        return answer;
                    }
                }
            } catch (IOException e) {
                // The next one is called.
            }
            next++;
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
        throw new MeshException(
                MeshException.Code.TIMEOUT,
                path + " has no answer that counts; the last was " + (last == null ? "none" : last.start()),
                null);
    }

    private Message follow(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        InetSocketAddress to = core.get(Math.floorMod(next, core.size()));
        Message answer = ClientCall.once(to, TIMEOUT_MS, method, path, headers, body);
        for (int i = 0; i < HOPS && answer != null && answer.status() == 307; i++) {
            to = ClientCall.address(URI.create(answer.header("Location")).getAuthority());
            answer = ClientCall.once(to, TIMEOUT_MS, method, path, headers, body);
        }
        return answer;
    }
}
