package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one machine: one sends single requests of all routes, another safe ones in a row without waiting. What
 * is promised not to have run is sent once more, as another try.
 */
public final class LoadClients implements AutoCloseable {

    private static final int TIMEOUT_MS = 5_000;
    private static final int LEFT_MS = 4_000;
    private static final int ROW = 4;
    private static final int SMALL = 300;
    private static final int LARGE = 150_000;
    private static final int TRIES = 3;
    private static final long SEED = 1_000_003;
    private static final int AT_MOST_WAIT_MS = 1_000;

    private final InetSocketAddress outbound;
    private final String depot;
    private final List<MeshVersion.Route> routes;
    private final TrafficLog trafficLog;
    private final long everyMs;
    private final String name;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;

    /** Clients of the machine with that outbound address, whose upstream is of that service. */
    public LoadClients(
            String name,
            InetSocketAddress outbound,
            String depot,
            List<MeshVersion.Route> routes,
            long everyMs,
            TrafficLog trafficLog) {
        this.name = name;
        this.outbound = outbound;
        this.depot = depot;
        this.routes = List.copyOf(routes);
        this.everyMs = everyMs;
        this.trafficLog = trafficLog;
    }

    /** Begins to send. */
    public void start() {
        threads.add(new Thread(() -> singles(new SplittableRandom(SEED * name.hashCode())), name + " singles"));
        threads.add(new Thread(() -> rows(new SplittableRandom(SEED * name.hashCode() + 1)), name + " rows"));
        threads.forEach(thread -> {
            thread.setDaemon(true);
            thread.start();
        });
    }

    private TrafficLog.Sent draw(SplittableRandom random, MeshVersion.Route route, byte[] body, String id) {
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

    private void send(ClientCall call, TrafficLog.Sent one, byte[] body, boolean chunked) throws IOException {
        trafficLog.sent(one);
        call.send(one.method(), one.uri(), MeshVersion.headers(one.id(), LEFT_MS), body, chunked);
    }

    private void note(TrafficLog.Sent one, Message answer) {
        trafficLog.answered(
                answer == null
                        ? new TrafficLog.Answered(one.id(), 0, null, null, 0, TrafficLog.now())
                        : new TrafficLog.Answered(
                                one.id(),
                                answer.status(),
                                answer.header("Sablehinge-Try-Id"),
                                answer.header("Sablehinge-Postmark"),
                                Message.sum(answer.body()),
                                TrafficLog.now()));
    }

    private void singles(SplittableRandom random) {
        ClientCall call = null;
        try {
            for (int i = 0; !ended; i++) {
                MeshVersion.Route route = routes.get(i % routes.size());
                byte[] body = new byte
                        [route.kind() == TrafficLog.Kind.SAFE
                                ? 0
                                : random.nextInt(route.kind() == TrafficLog.Kind.UPLOAD ? LARGE : SMALL)];
                for (int j = 0; j < body.length; j++) {
                    body[j] = (byte) random.nextInt();
                }
                for (int tries = 0; tries < TRIES; tries++) {
                    TrafficLog.Sent one = draw(random, route, body, id(random));
                    Message answer = null;
                    try {
                        call = call == null ? new ClientCall(outbound, TIMEOUT_MS) : call;
                        send(call, one, body, body.length > 0 && i % 2 == 0);
                        answer = call.receive();
                    } catch (IOException e) {
                        // Noted as no answer.
                    }
                    note(one, answer);
                    if (answer == null || answer.closes() || answer.status() == 503) {
                        call = ended(call);
                    }
                    if (answer == null || answer.status() != 503 && answer.status() != 429) {
                        break;
                    }
                    TimeUnit.MILLISECONDS.sleep(wait(answer));
                }
                TimeUnit.MILLISECONDS.sleep(random.nextLong(1 + 2 * everyMs));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended(call);
        }
    }

    private static long wait(Message answer) {
        String received = answer.header("Retry-After");
        double seconds = received != null && received.matches("\\d+(\\.\\d+)?") ? Double.parseDouble(received) : 0.1;
        return (long) Math.min(AT_MOST_WAIT_MS, seconds * 1_000);
    }

    private static ClientCall ended(ClientCall call) {
        if (call != null) {
            call.close();
        }
        return null;
    }

    private void rows(SplittableRandom random) {
        List<MeshVersion.Route> safe =
                routes.stream().filter(r -> r.kind() == TrafficLog.Kind.SAFE).toList();
        try {
            while (!ended) {
                row(random, safe);
                TimeUnit.MILLISECONDS.sleep(random.nextLong(1 + 2 * ROW * everyMs));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void row(SplittableRandom random, List<MeshVersion.Route> safe) {
        List<TrafficLog.Sent> waiting = new ArrayList<>();
        int answers = 0;
        try (ClientCall call = new ClientCall(outbound, TIMEOUT_MS)) {
            for (int i = 0; i < ROW; i++) {
                TrafficLog.Sent one = draw(random, safe.get(random.nextInt(safe.size())), new byte[0], id(random));
                waiting.add(one);
                send(call, one, new byte[0], false);
            }
            Message answer = call.receive();
            while (answer != null) {
                note(waiting.get(answers++), answer);
                answer = answer.closes() || answers == ROW ? null : call.receive();
            }
        } catch (IOException e) {
            // What has no answer is noted as such below.
        }
        waiting.subList(answers, waiting.size()).forEach(one -> note(one, null));
    }

    /** Sends nothing more, and returns when all that was sent has come out. */
    @Override
    public void close() {
        ended = true;
        try {
            for (Thread thread : threads) {
                thread.join(2L * TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
