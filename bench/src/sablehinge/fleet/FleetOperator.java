package sablehinge.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sablehinge.standin.mesh.Ledger;

/** Sends configurations to the control nodes and asks which of them leads. */
final class FleetOperator {

    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final long AGAIN_MS = 20;
    private static final int OK = 200;
    private static final int STALE = 412;

    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.ALWAYS).connectTimeout(Duration.ofSeconds(1)).build();
    private final HttpClient direct = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER).connectTimeout(Duration.ofSeconds(1)).build();
    private final List<String> control;
    private int next;

    /** An operator that knows where the control nodes take calls. */
    FleetOperator(List<String> control) {
        this.control = List.copyOf(control);
    }

    /**
     * Sends a configuration until it is acknowledged.
     *
     * @return whether that came within the time
     */
    boolean replace(long basedOn, byte[] body, long withinMs) throws InterruptedException {
        double end = Ledger.now() + withinMs;
        while (Ledger.now() < end) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://"
                        + control.get(next % control.size()) + "/sablehinge/Config.Replace"))
                        .timeout(PATIENCE).header("Content-Type", "application/json")
                        .header("Sablehinge-Based-On", Long.toString(basedOn))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
                HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == OK) {
                    return true;
                }
                if (answer.statusCode() / 100 == 4 && answer.statusCode() != STALE
                        && answer.statusCode() != 429 && answer.statusCode() != 408) {
                    throw new IllegalStateException("the configuration was refused: " + answer.statusCode()
                            + " " + answer.body());
                }
            } catch (IOException e) {
                // The next one is asked.
            }
            next++;
            TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
        }
        return false;
    }

    /** The place of the control node that leads; -1 where none says so. */
    int leader() throws InterruptedException {
        for (int i = 0; i < control.size(); i++) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control.get(i)
                        + "/sablehinge/Config.Read")).timeout(PATIENCE).GET().build();
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
