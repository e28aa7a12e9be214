package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one machine: one client sends single requests for all routes, and a second client pipelines safe
 * requests. A single request that is rejected as not run is retried as a new attempt.
 */
public final class LoadClients implements AutoCloseable {

    private static final int TIMEOUT_MS = 5_000;
    private static final int REQUEST_TIMEOUT_MS = 4_000;
    private static final int PIPELINE_DEPTH = 4;
    private static final int MAX_SMALL_BODY_BYTES = 300;
    private static final int MAX_UPLOAD_BYTES = 150_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final long SEED = 1_000_003;
    private static final int MAX_RETRY_DELAY_MS = 1_000;

    private final InetSocketAddress outbound;
    private final String depot;
    private final List<MeshVersion.Route> routes;
    private final TrafficLog trafficLog;
    private final long intervalMs;
    private final String name;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean closed;

    /** Creates the clients of a machine with an outbound address and the service of its upstream. */
    public LoadClients(
            String name,
            InetSocketAddress outbound,
            String depot,
            List<MeshVersion.Route> routes,
            long intervalMs,
            TrafficLog trafficLog) {
        this.name = name;
        this.outbound = outbound;
        this.depot = depot;
        this.routes = List.copyOf(routes);
        this.intervalMs = intervalMs;
        this.trafficLog = trafficLog;
    }

    /** Starts to send requests. */
    public void start() {
        threads.add(new Thread(() -> sendSingles(new SplittableRandom(SEED * name.hashCode())), name + " singles"));
        threads.add(new Thread(() -> sendPipelined(new SplittableRandom(SEED * name.hashCode() + 1)), name + " rows"));
        threads.forEach(thread -> {
            thread.setDaemon(true);
            thread.start();
        });
    }

    private TrafficLog.Sent newRequest(SplittableRandom random, MeshVersion.Route route, byte[] body, String id) {
        return new TrafficLog.Sent(
                id,
                depot,
                route.kind(),
                route.kind().method(),
                route.prefix() + random.nextInt(1_000) + "?of=" + name,
                route.prefix(),
                Message.sum(body),
                TrafficLog.now());
    }

    private static String id(SplittableRandom random) {
        return String.format("%016x", random.nextLong());
    }

    private void send(ClientCall call, TrafficLog.Sent request, byte[] body, boolean chunked) throws IOException {
        trafficLog.sent(request);
        call.send(
                request.method(), request.uri(), MeshVersion.headers(request.id(), REQUEST_TIMEOUT_MS), body, chunked);
    }

    private void recordAnswer(TrafficLog.Sent request, Message answer) {
        trafficLog.answered(
                answer == null
                        ? new TrafficLog.Answered(request.id(), 0, null, null, 0, TrafficLog.now())
                        : new TrafficLog.Answered(
                                request.id(),
                                answer.status(),
                                answer.header("Sablehinge-Try-Id"),
                                answer.header("Sablehinge-Postmark"),
                                Message.sum(answer.body()),
                                TrafficLog.now()));
    }

    private void sendSingles(SplittableRandom random) {
        ClientCall call = null;
        try {
            for (int i = 0; !closed; i++) {
                MeshVersion.Route route = routes.get(i % routes.size());
                byte[] body = new byte
                        [route.kind() == TrafficLog.Kind.SAFE
                                ? 0
                                : random.nextInt(
                                        route.kind() == TrafficLog.Kind.UPLOAD
                                                ? MAX_UPLOAD_BYTES
                                                : MAX_SMALL_BODY_BYTES)];
                for (int j = 0; j < body.length; j++) {
                    body[j] = (byte) random.nextInt();
                }
                for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
                    TrafficLog.Sent request = newRequest(random, route, body, id(random));
                    Message answer = null;
                    try {
                        call = call == null ? new ClientCall(outbound, TIMEOUT_MS) : call;
                        send(call, request, body, body.length > 0 && i % 2 == 0);
                        answer = call.receive();
                    } catch (IOException e) {
                        // Recorded below as no response.
                    }
                    recordAnswer(request, answer);
                    if (answer == null || answer.closes() || answer.status() == 503) {
                        call = close(call);
                    }
                    if (answer == null || answer.status() != 503 && answer.status() != 429) {
                        break;
                    }
                    TimeUnit.MILLISECONDS.sleep(retryDelayMs(answer));
                }
                TimeUnit.MILLISECONDS.sleep(random.nextLong(1 + 2 * intervalMs));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(call);
        }
    }

    private static long retryDelayMs(Message answer) {
        String retryAfter = answer.header("Retry-After");
        double seconds =
                retryAfter != null && retryAfter.matches("\\d+(\\.\\d+)?") ? Double.parseDouble(retryAfter) : 0.1;
        return (long) Math.min(MAX_RETRY_DELAY_MS, seconds * 1_000);
    }

    private static ClientCall close(ClientCall call) {
        if (call != null) {
            call.close();
        }
        return null;
    }

    private void sendPipelined(SplittableRandom random) {
        List<MeshVersion.Route> safeRoutes =
                routes.stream().filter(r -> r.kind() == TrafficLog.Kind.SAFE).toList();
        try {
            while (!closed) {
                sendPipeline(random, safeRoutes);
                TimeUnit.MILLISECONDS.sleep(random.nextLong(1 + 2 * PIPELINE_DEPTH * intervalMs));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendPipeline(SplittableRandom random, List<MeshVersion.Route> safeRoutes) {
        List<TrafficLog.Sent> pending = new ArrayList<>();
        int answers = 0;
        try (ClientCall call = new ClientCall(outbound, TIMEOUT_MS)) {
            for (int i = 0; i < PIPELINE_DEPTH; i++) {
                TrafficLog.Sent request =
                        newRequest(random, safeRoutes.get(random.nextInt(safeRoutes.size())), new byte[0], id(random));
                pending.add(request);
                send(call, request, new byte[0], false);
            }
            Message answer = call.receive();
            while (answer != null) {
                recordAnswer(pending.get(answers++), answer);
                answer = answer.closes() || answers == PIPELINE_DEPTH ? null : call.receive();
            }
        } catch (IOException e) {
            // Requests without a response are recorded as such below.
        }
        pending.subList(answers, pending.size()).forEach(request -> recordAnswer(request, null));
    }

    /** Stops sending, and waits for the responses to all requests. */
    @Override
    public void close() {
        closed = true;
        try {
            for (Thread thread : threads) {
                thread.join(2L * TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
