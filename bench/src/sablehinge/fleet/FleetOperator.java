package sablehinge.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sablehinge.tools.standin.mesh.TrafficLog;

/** Sends configurations to the control nodes and asks which of them leads. */
final class FleetOperator {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long AGAIN_MS = 20;
    private static final int OK = 200;
    /** Answers 4xx that don't say that the configuration is bad: late, stale, too many. */
    private static final Set<Integer> MAY_COME_TO_OK = Set.of(408, 412, 429);

    private final HttpClient client;
    private final HttpClient direct = client(HttpClient.Redirect.NEVER);
    private final List<String> control;
    private int next;

    private FleetOperator(List<String> control, HttpClient.Redirect redirect) {
        this.control = List.copyOf(control);
        client = client(redirect);
    }

    private static HttpClient client(HttpClient.Redirect redirect) {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(redirect)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
    }

    /** An operator who knows where the control nodes take calls. */
    static FleetOperator of(List<String> control) {
        return new FleetOperator(control, HttpClient.Redirect.ALWAYS);
    }

    /** One who can reach only these control nodes, and so is not led to others. */
    static FleetOperator confinedTo(List<String> control) {
        return new FleetOperator(control, HttpClient.Redirect.NEVER);
    }

    /**
     * Sends a configuration until it is acknowledged.
     *
     * @return whether that came within the time
     */
    boolean replace(long basedOn, byte[] body, long withinMs) throws InterruptedException {
        double end = TrafficLog.now() + withinMs;
        while (TrafficLog.now() < end) {
            if (send(basedOn, body) == OK) {
                return true;
            }
            next++;
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
        return false;
    }

    /**
     * Sends a configuration once.
     *
     * @return the status of the answer; 0 for none
     * @throws IllegalStateException if the configuration itself is refused
     */
    int send(long basedOn, byte[] body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + control.get(next % control.size()) + "/sablehinge/Config.Replace"))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Sablehinge-Based-On", Long.toString(basedOn))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
            int status = answer.statusCode();
            if (status / 100 == 4 && !MAY_COME_TO_OK.contains(status)) {
                throw new IllegalStateException("the configuration was refused: " + status + " " + answer.body());
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    /** The place of the control node that leads; -1 where none says so. */
    int leader() throws InterruptedException {
        for (int i = 0; i < control.size(); i++) {
            try {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http://" + control.get(i) + "/sablehinge/Config.Read"))
                        .timeout(TIMEOUT)
                        .GET()
                        .build();
                if (direct.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK) {
                    return i;
                }
            } catch (IOException e) {
                // It does not run, or does not answer.
            }
        }
        return -1;
    }
}
