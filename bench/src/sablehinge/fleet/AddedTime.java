package sablehinge.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import sablehinge.tools.standin.mesh.TrafficLog;

/** What two real sidecars, outbound and inbound, add to a request, without any load. */
final class AddedTime {

    /** The JDK's client sets the host itself unless it is set not to; read once, before its first use. */
    private static final String RESTRICTED = "jdk.httpclient.allowRestrictedHeaders";

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    /** Requests before those that are measured. */
    static final int WARM_UP = 300;

    private static final int OK = 200;

    private AddedTime() {}

    /** Times of requests in ms; what failed is counted apart. */
    record Result(Times direct, Times through) {}

    /** Lets the JDK's client name any host; to be called before a client is made. */
    static void prepare() {
        System.setProperty(RESTRICTED, "host");
    }

    /** Sends so many requests each way, by turns, one at a time. */
    static Result measure(FleetPlan plan, int requests) throws InterruptedException {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        double[] direct = new double[requests];
        double[] through = new double[requests];
        for (int i = -WARM_UP; i < requests; i++) {
            double straight = time(client, plan.app(0), i);
            double carried = time(client, plan.outbound(0), i);
            if (i >= 0) {
                direct[i] = straight;
                through[i] = carried;
            }
        }
        return new Result(Times.since(0, direct), Times.since(0, through));
    }

    /** How long a request took, in ms; NaN where it was not served. */
    private static double time(HttpClient client, String to, int number) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + to + FleetConfiguration.prefix(FleetConfiguration.OPEN) + number))
                .timeout(TIMEOUT)
                .header("Host", FleetConfiguration.HOST)
                .header("Sablehinge-Try-Id", String.format("%016x", number))
                .header("Sablehinge-Time-Left", "2000")
                .GET()
                .build();
        double begun = TrafficLog.now();
        try {
            int status =
                    client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            return status == OK ? TrafficLog.now() - begun : Double.NaN;
        } catch (IOException e) {
            return Double.NaN;
        }
    }
}
