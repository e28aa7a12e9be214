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
 * A stand-in upstream as specified in PROTOCOL. It runs a limited number of requests concurrently, rejects requests for
 * other upstreams, stamps its responses, and records its runs. {@link HeartbeatSender} sends its heartbeats.
 */
public final class StandInUpstream implements AutoCloseable {

    private static final int MAX_QUEUED_REQUESTS = 8;
    private static final int MAX_CONNECTIONS = 110;
    private static final int IDLE_TIMEOUT_MS = 30_000;
    private static final int MAX_PADDING_BYTES = 900;

    private final Terms terms;
    private final TrafficLog trafficLog;
    private final ServerSocket listener;
    private final Semaphore runPermits;
    private final Semaphore admissionPermits;
    private final AtomicLong stamps = new AtomicLong();
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean unloading;
    private volatile int slowdown = 1;
    /** The number of runs of which one fails and one is aborted by closing its connection; 0 for none. */
    private volatile int failureInterval;
    /** The number of runs of which one has a response without a length, which ends with its connection; 0 for none. */
    private volatile int unframedInterval;
    /** The call that each run makes; null for none. */
    private volatile DependentCall dependency;

    private volatile boolean closed;

    /** A call to another service that a run depends on. */
    interface DependentCall {

        /** Makes the call; returns whether it succeeded. */
        boolean isServed() throws InterruptedException;
    }

    /**
     * The properties of an upstream.
     *
     * @param id the id of the incarnation
     * @param depot the service
     * @param berths the number of requests that the upstream runs concurrently
     * @param workMs the maximum duration of a run in ms
     */
    public record Terms(String id, String depot, InetSocketAddress address, int berths, int workMs) {}

    /** Creates an upstream and starts to serve. */
    public StandInUpstream(Terms terms, TrafficLog trafficLog) {
        this.terms = terms;
        this.trafficLog = trafficLog;
        runPermits = new Semaphore(terms.berths(), true);
        admissionPermits = new Semaphore(terms.berths() + MAX_QUEUED_REQUESTS);
        try {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(terms.address(), MAX_CONNECTIONS);
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

    /** Returns the properties of the upstream. */
    public Terms terms() {
        return terms;
    }

    /** Returns the address at which the upstream listens, with the actual port. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Starts to unload: each response closes its connection from now on. */
    public void unloads() {
        unloading = true;
    }

    /** Slows all runs by a factor. */
    void setSlowdown(int factor) {
        slowdown = factor;
    }

    /** Makes one of each {@code runsPerFailure} runs fail, aborts one, and makes the others depend on a call. */
    void setDependency(int runsPerFailure, DependentCall call) {
        failureInterval = runsPerFailure;
        dependency = call;
    }

    /** Makes one of each {@code runsPerUnframed} responses end with its connection, without saying so. */
    void setUnframedInterval(int runsPerUnframed) {
        unframedInterval = runsPerUnframed;
    }

    boolean isUnloading() {
        return unloading;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                if (openSockets.size() >= MAX_CONNECTIONS) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    openSockets.add(socket);
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
            socket.setSoTimeout(IDLE_TIMEOUT_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean keepOpen = true;
            while (keepOpen) {
                Message request = Message.read(in);
                keepOpen = request != null && answer(socket, request) && !request.closes();
            }
        } catch (IOException e) {
            // The client has disconnected.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openSockets.remove(socket);
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    private boolean answer(Socket socket, Message request) throws IOException, InterruptedException {
        String id = request.header("Sablehinge-Try-Id");
        String deliverTo = request.header("Sablehinge-Deliver-To");
        boolean health = request.word(0).equals("GET") && request.word(1).equals("/health");
        if (id == null && !health) {
            return reject(socket, 400, "Bad Request", id);
        }
        if (deliverTo != null && !deliverTo.equals(terms.id())) {
            return reject(socket, 421, "Misdirected Request", id);
        }
        if (!admissionPermits.tryAcquire()) {
            return reject(socket, 503, "Service Unavailable", id);
        }
        try {
            runPermits.acquire();
            try {
                return health ? health(socket) : run(socket, request, id);
            } finally {
                runPermits.release();
            }
        } finally {
            admissionPermits.release();
        }
    }

    private boolean reject(Socket socket, int status, String reason, String id) throws IOException {
        return write(
                socket,
                "HTTP/1.1 " + status + " " + reason + "\r\nSablehinge-Not-Run: 1\r\n"
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
        TimeUnit.MILLISECONDS.sleep(slowdown * workMs);
        DependentCall required = dependency;
        boolean served =
                (failureInterval == 0 || number % failureInterval != 0) && (required == null || required.isServed());
        trafficLog.finished(new TrafficLog.Finished(stamp, TrafficLog.now()));
        if (failureInterval > 0 && number % failureInterval == 1) {
            trafficLog.aborted(stamp);
            return false;
        }
        if (unframedInterval > 0 && number % unframedInterval == 2) {
            return writeUnframed(socket, served, id, stamp, body);
        }
        return write(
                socket,
                "HTTP/1.1 " + (served ? "200 OK" : "500 Internal Server Error") + "\r\nSablehinge-Try-Id: " + id
                        + "\r\nSablehinge-Postmark: " + stamp + "\r\nContent-Type: text/plain\r\n",
                body,
                number % 3 == 0);
    }

    /** Writes a response that has no length and ends with its connection, and does not announce that. */
    private static boolean writeUnframed(Socket socket, boolean served, String id, String stamp, byte[] body)
            throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ClientCall.text(
                out,
                "HTTP/1.1 " + (served ? "200 OK" : "500 Internal Server Error") + "\r\nSablehinge-Try-Id: " + id
                        + "\r\nSablehinge-Postmark: " + stamp + "\r\n\r\n");
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.shutdownOutput();
        return false;
    }

    private byte[] body(Message request, String id, long number) {
        String text = "ran " + id + " at " + terms.id() + ", " + request.body().length + " bytes of sum "
                + Long.toHexString(Message.sum(request.body())) + "\n";
        int padding = (int) parameter(request, "bytes", number % MAX_PADDING_BYTES);
        return (text + ".".repeat(padding)).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a number from the query of a request, or a default. */
    private static long parameter(Message request, String name, long fallback) {
        Matcher named = Pattern.compile("[?&]" + name + "=(\\d{1,9})").matcher(request.word(1));
        return named.find() ? Long.parseLong(named.group(1)) : fallback;
    }

    private boolean write(Socket socket, String head, byte[] body, boolean chunked) throws IOException {
        boolean closing = unloading;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ClientCall.text(out, head + (closing ? "Connection: close\r\n" : ""));
        ClientCall.body(out, body, chunked, true);
        socket.getOutputStream().write(out.toByteArray());
        return !closing;
    }

    /** Closes the listener and all connections immediately. */
    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            // The sockets are released nevertheless.
        }
    }
}
