package sablehinge.dataplane.http1;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.DoublePredicate;
import sablehinge.dataplane.proxy.Tracer;

/**
 * Counts the process's connections against the descriptors that it may hold. A caller that waits in the backlog already
 * counts as taken, so calls to upstreams leave room for callers, and an idle connection gives way to whoever needs its
 * descriptor.
 */
public final class Sockets {

    /** Descriptors of the virtual machine, the listening socket and discovery, and callers let in at once. */
    private static final int OF_THE_PROCESS = 64;
    /** The part of the rest that only callers may use. */
    private static final int CALLERS_SHARE = 5;
    /** A caller that has been idle for so long (ms) is hardly about to send. */
    private static final double RESTING_MS = 300;

    /** Callers that are accepted at once at most, and the part of all connections kept free for them. */
    private static final int BATCH = 16;

    private static final int SPARE_SHARE = 10;

    private final int descriptors;
    private final SocketKind kind;
    private int limit;
    private int open;
    private int numbered;
    private Tracer tracer = Tracer.OFF;
    private final List<DoublePredicate> evictCaller = new ArrayList<>(1);
    private BooleanSupplier evictUpstream = () -> false;

    /** Counts against so many descriptors of the process. */
    public Sockets(int descriptors) {
        this(descriptors, SocketKind.NIO);
    }

    /** Likewise, of sockets of the given kind. */
    public Sockets(int descriptors, SocketKind kind) {
        this.descriptors = descriptors;
        this.kind = kind;
        setProcessCount(1);
    }

    /** What its sockets are. */
    SocketKind kind() {
        return kind;
    }

    /** Sets the tracer of connections that are made from now on. */
    public void setTracer(Tracer listener) {
        tracer = listener;
    }

    /** The present tracer. */
    Tracer tracer() {
        return tracer;
    }

    /** The number of the next connection, from 1 on; it begins anew once all have been given. */
    int next() {
        numbered = numbered == Integer.MAX_VALUE ? 1 : numbered + 1;
        return numbered;
    }

    /** Counts against the part of the descriptors that each of so many processes has. */
    public void setProcessCount(int processes) {
        limit = Math.max(CALLERS_SHARE, descriptors / processes - OF_THE_PROCESS);
    }

    /** Names what closes one idle upstream connection and tells whether there was one. */
    void upstreamsGiveWay(BooleanSupplier evict) {
        evictUpstream = evict;
    }

    /** Adds to what closes one caller's connection that was idle before a time; likewise. */
    void callersGiveWay(DoublePredicate evict) {
        evictCaller.add(evict);
    }

    /** Takes out what was added. */
    void callersLeft(DoublePredicate evict) {
        evictCaller.remove(evict);
    }

    /** How many connections there are. */
    public int open() {
        return open;
    }

    /** Whether a connection to an upstream may be opened, after an idle one has gone for it if need be. */
    boolean roomForUpstream(double now) {
        return open < limit - limit / CALLERS_SHARE || evict(now);
    }

    /**
     * Whether one more caller may be let in, after idle connections have gone for a batch of them: callers are accepted
     * several at a time, and a crowd must not wait while others only rest here.
     */
    boolean roomForCaller(double now) {
        int spare = Math.min(BATCH, limit / SPARE_SHARE);
        boolean gone = true;
        while (gone && open >= limit - spare) {
            gone = evict(now);
        }
        return open < limit;
    }

    /** Resting callers go first: to come back costs them less than a new connection costs an upstream. */
    private boolean evict(double now) {
        return evictCaller(now - RESTING_MS) || evictUpstream.getAsBoolean() || evictCaller(now);
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
     * Handles at once what the kernel holds for a channel: bytes, the peer's end of the stream, callers in the backlog.
     * What it says about a connection is then as fresh as can be.
     */
    void readNow(Channel channel) {
        if (channel.isOpen()) {
            kind.readNow(channel);
        }
    }

    /** Hands the kernel at once what it can take of a channel's. */
    void writeNow(Channel channel) {
        if (channel.isOpen()) {
            kind.writeNow(channel);
        }
    }
}
