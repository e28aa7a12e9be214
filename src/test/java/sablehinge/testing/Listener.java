package sablehinge.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Listens on a port of its own and hands each connection to the test, which plays the server. */
public final class Listener implements AutoCloseable {

    private final ServerSocket server;
    private final java.net.Socket kept = new java.net.Socket();
    private final LinkedBlockingQueue<Peer> accepted = new LinkedBlockingQueue<>();
    private final Thread accepting = new Thread(this::acceptAll, "listener");
    private volatile boolean closing;

    public Listener() throws IOException {
        this(0);
    }

    /** With a receive buffer of a size, 0 for the system's choice. */
    public Listener(int receiveBuffer) throws IOException {
        server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        accepting.setDaemon(true);
        accepting.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Peer peer = new Peer(server.accept());
                if (closing) {
                    peer.reset();
                } else {
                    accepted.add(peer);
                }
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The next connection; fails the test if none comes. */
    public Peer accept() throws InterruptedException {
        Peer peer = accepted.poll(Peer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (peer == null) {
            throw new AssertionError("no connection came");
        }
        return peer;
    }

    /** The next connection, however long it takes; for a thread that serves until the test is over. */
    public Peer await() throws InterruptedException, IOException {
        Peer peer = accepted.take();
        peer.socket.setSoTimeout(0);
        return peer;
    }

    /** How many connections have come that the test has not looked at. */
    public int waiting() {
        return accepted.size();
    }

    /**
     * Keeps the port, with nobody listening: a connection could else be given it and meet itself there. The system
     * listens on for as long as a thread is still amid its call to accept, so that is waited for.
     */
    @Override
    public void close() throws IOException {
        closing = true;
        server.close();
        try {
            accepting.join(Peer.TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            kept.setReuseAddress(true);
            kept.bind(server.getLocalSocketAddress());
        } catch (IOException e) {
            // Closed before, or somebody has it already.
        }
    }
}
