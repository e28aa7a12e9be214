package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.DoublePredicate;
import sablehinge.dataplane.proxy.Tracer;

/**
 * Counts the connections of the process against its limit of file descriptors. A client in the accept backlog already
 * counts as accepted, so calls to upstreams leave room for clients, and an idle connection is evicted if its descriptor
 * is needed.
 */
public final class Sockets {

    /**
     * Descriptors reserved for the virtual machine, the listening socket, discovery and clients that are accepted at
     * once.
     */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Divisor for the share of the remaining descriptors that only clients may use. */
    private static final int CALLERS_DIVISOR = 5;
    /** Idle time after which a client is unlikely to be about to send, ms. */
    private static final double RESTING_CALLER_MS = 300;

    /**
     * Clients that are accepted at once at most, and the divisor for the share of all connections that is kept free for
     * them.
     */
    private static final int ACCEPT_BATCH = 16;

    private static final int SPARE_DIVISOR = 10;

    private final int descriptors;
    private final SocketKind kind;
    private int limit;
    private int open;
    private int lastNumber;
    private Tracer tracer = Tracer.OFF;
    private final List<DoublePredicate> evictCaller = new ArrayList<>(1);
    private BooleanSupplier evictUpstream = () -> false;

    /** Counts against the given number of descriptors. */
    public Sockets(int descriptors) {
        this(descriptors, SocketKind.NIO);
    }

    /** Counts against the given number of descriptors, with sockets of the given kind. */
    public Sockets(int descriptors, SocketKind kind) {
        this.descriptors = descriptors;
        this.kind = kind;
        setProcessCount(1);
    }

    /** The kind of its sockets. */
    SocketKind kind() {
        return kind;
    }

    /** Sets the tracer of connections that are opened from now on. */
    public void setTracer(Tracer listener) {
        tracer = listener;
    }

    /** The current tracer. */
    Tracer tracer() {
        return tracer;
    }

    /** The number of the next connection. Numbers start at 1, and again after the largest one. */
    int nextConnectionNumber() {
        lastNumber = lastNumber == Integer.MAX_VALUE ? 1 : lastNumber + 1;
        return lastNumber;
    }

    /** Divides the descriptors among the given number of processes. */
    public void setProcessCount(int processes) {
        limit = Math.max(CALLERS_DIVISOR, descriptors / processes - RESERVED_DESCRIPTORS);
    }

    /** Sets the function that closes one idle upstream connection and reports whether there was one. */
    void setUpstreamEviction(BooleanSupplier evict) {
        evictUpstream = evict;
    }

    /**
     * Adds a function that closes one client connection that has been idle since before a time, and reports whether
     * there was one.
     */
    void addCallerEviction(DoublePredicate evict) {
        evictCaller.add(evict);
    }

    /** Removes a function that was added. */
    void removeCallerEviction(DoublePredicate evict) {
        evictCaller.remove(evict);
    }

    /** The number of open connections. */
    public int open() {
        return open;
    }

    /** Whether a connection to an upstream may be opened, after evicting an idle one if necessary. */
    boolean hasRoomForUpstream(double now) {
        return open < limit - limit / CALLERS_DIVISOR || evict(now);
    }

    /**
     * Whether one more client may be accepted, after evicting idle connections for a batch: clients are accepted
     * several at a time, and must not wait while other connections are idle.
     */
    boolean hasRoomForCaller(double now) {
        int spare = Math.min(ACCEPT_BATCH, limit / SPARE_DIVISOR);
        boolean gone = true;
        while (gone && open >= limit - spare) {
            gone = evict(now);
        }
        return open < limit;
    }

    /** Evicts idle clients first: a reconnect costs them less than a new connection costs an upstream. */
    private boolean evict(double now) {
        return evictCaller(now - RESTING_CALLER_MS) || evictUpstream.getAsBoolean() || evictCaller(now);
    }

    private boolean evictCaller(double before) {
        for (DoublePredicate evict : evictCaller) {
            if (evict.test(before)) {
                return true;
            }
        }
        return false;
    }

    /** Counts a connection until it is closed. */
    void count(Channel channel) {
        open++;
        channel.closeFuture().addListener(closed -> open--);
    }

    /**
     * Handles at once what the kernel holds for a channel: bytes, the peer's end of the stream, clients in the backlog.
     * The state of the connection is then as current as possible.
     */
    void readNow(Channel channel) {
        if (channel.isOpen()) {
            kind.readNow(channel);
        }
    }

    /** Writes the pending output of a channel to the kernel at once, as far as the kernel accepts it. */
    void writeNow(Channel channel) {
        if (channel.isOpen()) {
            kind.writeNow(channel);
        }
    }
}
