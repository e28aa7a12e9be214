package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Requests at a steady rate, whatever becomes of them: each is one attempt on a connection of its own, to one machine
 * after another and over all routes. Times are the log's, in ms.
 */
final class Pulse implements AutoCloseable {

    /** The part of the requests of a second that is served where all is well. */
    static final double WELL = 0.95;

    private static final int TIMEOUT_MS = 2_000;
    private static final int MAX = 160;
    private static final double WINDOW_MS = 1_000;
    private static final int BODY = 200;
    private static final double NANOS = 1e6;

    private final List<InetSocketAddress> to;
    private final List<MeshVersion.Route> routes;
    private final double everyMs;
    private final List<One> all = new ArrayList<>();
    private final ThreadPoolExecutor calls =
            new ThreadPoolExecutor(0, MAX, 1, TimeUnit.SECONDS, new SynchronousQueue<>(), work -> {
                Thread thread = new Thread(work, "pulse");
                thread.setDaemon(true);
                return thread;
            });
    private volatile double late;
    private final Thread heartbeat = new Thread(this::heartbeat, "pulse beat");

    /** A request; NaN as long as it has no end. */
    private static final class One {
        private final double sentAt = TrafficLog.now();
        private volatile double endedAt = Double.NaN;
        private volatile boolean served;

        private void end(boolean good) {
            served = good;
            endedAt = TrafficLog.now();
        }
    }

    /** Begins to send so many requests a second. */
    Pulse(List<InetSocketAddress> to, List<MeshVersion.Route> routes, double perSecond) {
        this.to = List.copyOf(to);
        this.routes = List.copyOf(routes);
        everyMs = 1_000 / perSecond;
        heartbeat.setDaemon(true);
        heartbeat.start();
    }

    private void heartbeat() {
        double due = TrafficLog.now();
        try {
            for (int i = 0; !Thread.interrupted(); i++) {
                double wait = due - TrafficLog.now();
                if (wait > 0) {
                    TimeUnit.NANOSECONDS.sleep((long) (wait * NANOS));
                }
                late = Math.max(late, TrafficLog.now() - due);
                due += everyMs;
                One one = new One();
                synchronized (all) {
                    all.add(one);
                }
                int number = i;
                try {
                    calls.execute(() -> one.end(call(number)));
                } catch (RejectedExecutionException e) {
                    one.end(false);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean call(int number) {
        MeshVersion.Route route = routes.get(number % routes.size());
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        boolean safe = route.kind() == TrafficLog.Kind.SAFE;
        try {
            Message answer = ClientCall.once(
                    to.get(number / routes.size() % to.size()),
                    TIMEOUT_MS,
                    safe ? "GET" : route.kind() == TrafficLog.Kind.UPLOAD ? "PUT" : "POST",
                    route.prefix() + number,
                    Map.of(
                            "Host",
                            MeshVersion.HOST,
                            "Sablehinge-Try-Id",
                            id,
                            "Sablehinge-Time-Left",
                            Integer.toString(TIMEOUT_MS),
                            "Sablehinge-Key",
                            MeshVersion.KEY,
                            "Connection",
                            "close"),
                    new byte[safe ? 0 : BODY]);
            return answer != null && answer.status() == 200 && id.equals(answer.header("Sablehinge-Try-Id"));
        } catch (IOException e) {
            return false;
        }
    }

    private One[] sent() {
        synchronized (all) {
            return all.toArray(new One[0]);
        }
    }

    /** When the first request was served from then on; NaN where none was. */
    double first(double from) {
        return Arrays.stream(sent())
                .filter(one -> one.served && one.endedAt >= from)
                .mapToDouble(one -> one.endedAt)
                .min()
                .orElse(Double.NaN);
    }

    /**
     * From when on each second of requests was served, by when they were sent; NaN as long as that has not held for a
     * while.
     */
    double well(double from, double whileMs) {
        List<One> ended = new ArrayList<>();
        double until = TrafficLog.now();
        for (One one : sent()) {
            if (Double.isNaN(one.endedAt)) {
                until = one.sentAt;
                break;
            }
            if (one.sentAt >= from) {
                ended.add(one);
            }
        }
        boolean[] served = new boolean[ended.size()];
        for (int i = 0; i < served.length; i++) {
            served[i] = ended.get(i).served;
        }
        return well(ended.stream().mapToDouble(one -> one.sentAt).toArray(), served, until, whileMs);
    }

    /** The same of requests that all have ended, up to a time. */
    static double well(double[] sentAt, boolean[] served, double until, double whileMs) {
        double well = Double.NaN;
        int end = 0;
        int good = 0;
        for (int i = 0; i < sentAt.length && sentAt[i] + WINDOW_MS <= until; i++) {
            for (; end < sentAt.length && sentAt[end] < sentAt[i] + WINDOW_MS; end++) {
                good += served[end] ? 1 : 0;
            }
            if (good < WELL * (end - i)) {
                well = Double.NaN;
            } else if (Double.isNaN(well)) {
                well = sentAt[i];
            }
            good -= served[i] ? 1 : 0;
        }
        return until - well >= WINDOW_MS + whileMs ? well : Double.NaN;
    }

    /** The longest that a request was sent after its time, in ms: how long the machine had no time for it. */
    double late() {
        return late;
    }

    /** The part of what was sent since then that was served; what has no end yet was not. */
    double share(double from) {
        return Arrays.stream(sent())
                .filter(one -> one.sentAt >= from)
                .mapToDouble(one -> one.served ? 1 : 0)
                .average()
                .orElse(Double.NaN);
    }

    @Override
    public void close() {
        heartbeat.interrupt();
        calls.shutdown();
    }
}
