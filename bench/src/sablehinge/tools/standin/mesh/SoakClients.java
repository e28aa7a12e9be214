package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one machine in a soak run. Each uses its connection for as long as that is open, whatever state the
 * process behind it is in, and makes the next one as soon as it can.
 */
final class SoakClients implements AutoCloseable {

    /** The time that a client gives its request, ms. */
    private static final int LEFT_MS = 4_000;
    /** How long a client waits for an answer, ms. */
    private static final int SILENCE_MS = 9_000;

    private static final int RECONNECT_MS = 40;
    /** The longest that an upstream takes for one of the requests that stand before others, ms. */
    private static final int LONG_WORK_MS = 1_500;
    /** The largest answer to a client that reads slowly, bytes. */
    private static final int LONG_ANSWER_BYTES = 1_200_000;

    private static final int SMALL_BYTES = 300;
    private static final int LARGE_BYTES = 150_000;

    /** In what way a client uses its connection. */
    private enum Habit {
        /** One request after the other. */
        KEEPS(1, 1, 0),
        /**
         * Safe requests, long ones among them, of which one is always written before the answer to the last has come.
         */
        SENDS_AHEAD(3, 1, 0),
        /** Requests that come in parts. */
        SENDS_SLOWLY(1, 5, 0),
        /** One after the other, with pauses in which the connection may be closed. */
        RESTS(1, 1, 3_000),
        /** Safe requests, whose long answers are read slowly. */
        READS_SLOWLY(1, 1, 0);

        private final int window;
        private final int parts;
        private final int restMs;

        Habit(int window, int parts, int restMs) {
            this.window = window;
            this.parts = parts;
            this.restMs = restMs;
        }

        private boolean isSafe() {
            return this == SENDS_AHEAD || this == READS_SLOWLY;
        }
    }

    private final int machine;
    private final InetSocketAddress outbound;
    private final String service;
    private final List<MeshVersion.Route> routes;
    private final int pauseMs;
    private final SoakTries tries;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;

    /**
     * Clients of a machine.
     *
     * @param service of the upstream there
     * @param pauseMs between two requests of one client, on the average
     */
    SoakClients(
            int machine,
            InetSocketAddress outbound,
            String service,
            List<MeshVersion.Route> routes,
            int pauseMs,
            SoakTries tries) {
        this.machine = machine;
        this.outbound = outbound;
        this.service = service;
        this.routes = List.copyOf(routes);
        this.pauseMs = pauseMs;
        this.tries = tries;
    }

    /** Begins to send, each client by random numbers of its own. */
    void start(SplittableRandom random) {
        for (Habit habit : Habit.values()) {
            SplittableRandom own = random.split();
            Thread thread = new Thread(() -> run(own, habit), "clients-" + machine + "-" + habit);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(SplittableRandom random, Habit habit) {
        try {
            while (!ended) {
                try (ClientCall call = new ClientCall(outbound, SILENCE_MS, habit == Habit.READS_SLOWLY)) {
                    use(call, random, habit);
                } catch (IOException e) {
                    // Nobody listens.
                }
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Uses a connection until it ends, or there is nothing more to send. */
    private void use(ClientCall call, SplittableRandom random, Habit habit) throws InterruptedException {
        ArrayDeque<SoakTries.Pending> waiting = new ArrayDeque<>();
        SoakTry.End rest = SoakTry.End.CUT;
        boolean writes = true;
        try {
            while (true) {
                while (writes && !ended && waiting.size() < habit.window) {
                    writes = write(call, random, habit, waiting);
                }
                if (waiting.isEmpty()) {
                    return;
                }
                Message answer = call.receive();
                if (answer == null) {
                    break;
                }
                tries.end(waiting.poll(), SoakTry.End.ANSWERED, answer, true);
                if (answer.closes()) {
                    rest = SoakTry.End.UNREAD;
                    break;
                }
                pause(random, habit);
            }
        } catch (SocketTimeoutException e) {
            rest = SoakTry.End.SILENT;
        } catch (IOException e) {
            // Cut off.
        }
        boolean begun = call.isResponseBegun() && rest == SoakTry.End.CUT;
        for (SoakTries.Pending one : waiting) {
            tries.end(one, rest, null, begun);
            // Only the first of them can have been answered in part.
            begun = false;
        }
    }

    private void pause(SplittableRandom random, Habit habit) throws InterruptedException {
        long ms = random.nextInt(1 + 2 * pauseMs);
        if (habit.restMs > 0) {
            ms += random.nextInt(habit.restMs);
        }
        TimeUnit.MILLISECONDS.sleep(ms);
    }

    /** Writes the next request; false if the connection takes nothing more, though answers may still come. */
    private boolean write(ClientCall call, SplittableRandom random, Habit habit, ArrayDeque<SoakTries.Pending> waiting)
            throws InterruptedException {
        MeshVersion.Route route = draw(random, habit);
        byte[] body = body(random, route);
        String id = String.format("%016x", random.nextLong());
        TrafficLog.Sent sent = new TrafficLog.Sent(
                id,
                service,
                route.kind(),
                route.kind().method(),
                route.prefix() + random.nextInt(1_000) + "?of=" + machine + query(random, habit),
                route.prefix(),
                Message.sum(body),
                TrafficLog.now());
        double readMs = habit == Habit.READS_SLOWLY ? SlowInputStream.pausesMs(LONG_ANSWER_BYTES) : 0;
        SoakTries.Pending one = tries.begin(sent, waiting.size(), LEFT_MS, readMs);
        waiting.add(one);
        byte[] bytes = ClientCall.request(
                sent.method(), sent.uri(), MeshVersion.headers(id, LEFT_MS), body, random.nextBoolean());
        try {
            int part = 1 + bytes.length / habit.parts;
            for (int from = 0; from < bytes.length; from += part) {
                if (from > 0) {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(1 + LEFT_MS / 8));
                }
                call.write(bytes, from, Math.min(part, bytes.length - from));
            }
            one.isWritten();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private MeshVersion.Route draw(SplittableRandom random, Habit habit) {
        List<MeshVersion.Route> fit = routes.stream()
                .filter(route -> !habit.isSafe() || route.kind() == TrafficLog.Kind.SAFE)
                .toList();
        return fit.get(random.nextInt(fit.size()));
    }

    /** What a request asks of its upstream beside the usual. */
    private static String query(SplittableRandom random, Habit habit) {
        return switch (habit) {
            case SENDS_AHEAD -> random.nextInt(3) == 0 ? "&work=" + random.nextInt(LONG_WORK_MS) : "";
            case READS_SLOWLY -> "&bytes=" + random.nextInt(LONG_ANSWER_BYTES);
            default -> "";
        };
    }

    private static byte[] body(SplittableRandom random, MeshVersion.Route route) {
        int bytes =
                switch (route.kind()) {
                    case SAFE -> 0;
                    case UNSAFE -> random.nextInt(SMALL_BYTES);
                    case UPLOAD -> random.nextInt(LARGE_BYTES);
                };
        byte[] body = new byte[bytes];
        random.nextBytes(body);
        return body;
    }

    /** Sends nothing more, and returns when all that was sent has come to an end. */
    @Override
    public void close() {
        ended = true;
        try {
            for (Thread thread : threads) {
                thread.join(2L * SILENCE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
