package sablehinge.tools.standin.mesh;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An upstream by PROTOCOL: it works on so many requests at once, rejects what is not meant for it, stamps its answers,
 * sends heartbeats to the balancer beside it, and records what it runs.
 */
public final class StandInUpstream implements AutoCloseable {

    private static final int QUEUED = 8;
    private static final int CONNECTIONS = 110;
    private static final int IDLE_MS = 30_000;
    private static final int PADDING = 900;

    private final Terms terms;
    private final TrafficLog trafficLog;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final Semaphore places;
    private final AtomicLong stamps = new AtomicLong();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean unloading;
    private volatile int slowness = 1;
    /** Of so many runs one fails, and one has its connection closed in place of an answer; 0 for none. */
    private volatile int failsEach;
    /** What it calls while it works; null for nothing. */
    private volatile DependentCall dependency;

    private volatile boolean closed;

    /** A call to another service that a run depends on. */
    interface DependentCall {

        /** Makes the call; whether it was served. */
        boolean isServed() throws InterruptedException;
    }

    /**
     * What an upstream is like.
     *
     * @param id of its incarnation
     * @param depot its service
     * @param berths how many requests it works on at once
     * @param workMs the longest that one takes
     */
    public record Terms(String id, String depot, InetSocketAddress address, int berths, int workMs) {}

    /** An upstream that serves once this returns. */
    public StandInUpstream(Terms terms, TrafficLog trafficLog) {
        this.terms = terms;
        this.trafficLog = trafficLog;
        slots = new Semaphore(terms.berths(), true);
        places = new Semaphore(terms.berths() + QUEUED);
        try {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(terms.address(), CONNECTIONS);
        } catch (IOException e) {
            throw new MeshException(
                    MeshException.Code.ADDRESS, "cannot listen on " + terms.address() + ": " + e.getMessage(), e);
        }
        daemon("accepts " + terms.id(), this::accept);
    }

    static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** What it is like. */
    public Terms terms() {
        return terms;
    }

    /** Where it listens, also if the port was left to the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** From now on its answers end their connections. */
    public void unloads() {
        unloading = true;
    }

    /** From now on its work takes so many times as long. */
    void slows(int times) {
        slowness = times;
    }

    /** From now on, of so many runs, one fails and one is broken off; the others depend on a call. */
    void depends(int failing, DependentCall on) {
        failsEach = failing;
        dependency = on;
    }

    boolean isUnloading() {
        return unloading;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                if (open.size() >= CONNECTIONS) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    open.add(socket);
                    daemon("serves " + terms.id(), () -> serve(socket));
                }
            } catch (IOException e) {
                // The listener was closed, or one connection failed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean more = true;
            while (more) {
                Message request = Message.read(in);
                more = request != null && answer(socket, request) && !request.closes();
            }
        } catch (IOException e) {
            // The caller has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    /** Returns whether the connection stays. */
    private boolean answer(Socket socket, Message request) throws IOException, InterruptedException {
        String id = request.header("Sablehinge-Try-Id");
        String meant = request.header("Sablehinge-Deliver-To");
        boolean health = request.word(0).equals("GET") && request.word(1).equals("/health");
        if (id == null && !health) {
            return turnAway(socket, 400, "Bad Request", id);
        }
        if (meant != null && !meant.equals(terms.id())) {
            return turnAway(socket, 421, "Misdirected Request", id);
        }
        if (!places.tryAcquire()) {
            return turnAway(socket, 503, "Service Unavailable", id);
        }
        try {
            slots.acquire();
            try {
                return health ? health(socket) : run(socket, request, id);
            } finally {
                slots.release();
            }
        } finally {
            places.release();
        }
    }

    private boolean turnAway(Socket socket, int status, String words, String id) throws IOException {
        return write(
                socket,
                "HTTP/1.1 " + status + " " + words + "\r\nSablehinge-Not-Run: 1\r\n"
                        + (id == null ? "" : "Sablehinge-Try-Id: " + id + "\r\n"),
                new byte[0],
                false);
    }

    private boolean health(Socket socket) throws IOException {
        return write(
                socket,
                "HTTP/1.1 " + (unloading ? "503 Draining" : "200 OK") + "\r\nSablehinge-Answered-By: " + terms.id()
                        + "\r\n",
                new byte[0],
                false);
    }

    private boolean run(Socket socket, Message request, String id) throws IOException, InterruptedException {
        long number = stamps.incrementAndGet();
        String stamp = Integer.toHexString(terms.id().hashCode()) + "." + number;
        byte[] body = body(request, id, number);
        trafficLog.ran(new TrafficLog.Run(
                id,
                terms.depot(),
                terms.id(),
                request.word(0),
                request.word(1),
                Message.sum(request.body()),
                request.header("Sablehinge-Caller"),
                request.header("Sablehinge-Sender"),
                stamp,
                Message.sum(body),
                TrafficLog.now()));
        long workMs = parameter(request, "work", ThreadLocalRandom.current().nextInt(1 + terms.workMs()));
        TimeUnit.MILLISECONDS.sleep(slowness * workMs);
        DependentCall needed = dependency;
        boolean served = (failsEach == 0 || number % failsEach != 0) && (needed == null || needed.isServed());
        trafficLog.finished(new TrafficLog.Finished(stamp, TrafficLog.now()));
        if (failsEach > 0 && number % failsEach == 1) {
            trafficLog.brokeOff(stamp);
            return false;
        }
        return write(
                socket,
                "HTTP/1.1 " + (served ? "200 OK" : "500 Internal Server Error") + "\r\nSablehinge-Try-Id: " + id
                        + "\r\nSablehinge-Postmark: " + stamp + "\r\nContent-Type: text/plain\r\n",
                body,
                number % 3 == 0);
    }

    private byte[] body(Message request, String id, long number) {
        String text = "ran " + id + " at " + terms.id() + ", " + request.body().length + " bytes of sum "
                + Long.toHexString(Message.sum(request.body())) + "\n";
        int padding = (int) parameter(request, "bytes", number % PADDING);
        return (text + ".".repeat(padding)).getBytes(StandardCharsets.UTF_8);
    }

    /** A number that a request's query names, else the given one. */
    private static long parameter(Message request, String name, long otherwise) {
        Matcher named = Pattern.compile("[?&]" + name + "=(\\d{1,9})").matcher(request.word(1));
        return named.find() ? Long.parseLong(named.group(1)) : otherwise;
    }

    private boolean write(Socket socket, String head, byte[] body, boolean chunked) throws IOException {
        boolean leaves = unloading;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ClientCall.text(out, head + (leaves ? "Connection: close\r\n" : ""));
        ClientCall.body(out, body, chunked, true);
        socket.getOutputStream().write(out.toByteArray());
        return !leaves;
    }

    /** Ends at once. */
    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        } catch (IOException e) {
            // It is gone all the same.
        }
    }
}
