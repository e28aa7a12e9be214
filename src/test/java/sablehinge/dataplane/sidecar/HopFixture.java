package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import sablehinge.testing.Listener;

/** A sidecar, and a server whose connections the test answers and ends. */
final class HopFixture implements AutoCloseable {

    private static final long TIMEOUT_S = 20;
    private static final int MAX_REQUESTS = 8;

    /** Who reads the response of the server. */
    enum Hop {
        /** The sidecar of an upstream, for a peer: one hop. */
        INBOUND,
        /** The same for a client, whose sidecar reads what the upstream's sidecar makes of it: two hops. */
        BOTH,
        /** The sidecar of a client, from a peer. */
        OUTBOUND
    }

    final SidecarFixture mesh = new SidecarFixture();
    private final BlockingQueue<PlainConnection> requested = new ArrayBlockingQueue<>(MAX_REQUESTS);
    private final Hop hop;

    HopFixture(Hop hop) throws Exception {
        this.hop = hop;
        mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
        Listener server = hop == Hop.OUTBOUND ? mesh.addPeer("i-8") : mesh.app;
        if (hop != Hop.OUTBOUND) {
            mesh.heartbeat("i-1", "ready");
        }
        mesh.core.awaitKnown(hop == Hop.OUTBOUND ? "" : "i-1");
        SidecarFixture.daemon(() -> {
            while (true) {
                PlainConnection connection = new PlainConnection(server.accept().socket);
                SidecarFixture.daemon(() -> readRequests(connection));
            }
        });
    }

    private void readRequests(PlainConnection connection) throws Exception {
        while (connection.read() != null) {
            requested.put(connection);
        }
    }

    /** Opens a connection of a client, or of a peer on the inbound hop. */
    PlainConnection connect() throws IOException {
        return hop == Hop.INBOUND ? mesh.connectAsPeer() : mesh.client();
    }

    /** The connection on which the next request has reached the server. */
    PlainConnection nextRequest() throws InterruptedException {
        PlainConnection connection = requested.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(connection, "no request has reached the server");
        return connection;
    }

    /** Sends a request that may not be repeated; returns the connection on which it has reached the server. */
    PlainConnection send(PlainConnection client, String id, String... headers) throws Exception {
        String hopHeaders = hop == Hop.INBOUND ? "Sablehinge-Deliver-To: i-1\r\nSablehinge-Patience: 4000\r\n" : "";
        client.write(SidecarFixture.post("/u/x", id, "b", hopHeaders, String.join("", headers)));
        return nextRequest();
    }

    /** Expects that a further request is served, on another connection to the server. */
    void expectServed(PlainConnection client, PlainConnection ended) throws Exception {
        PlainConnection server = send(client, "t-next");
        assertNotSame(ended, server);
        server.write(SidecarFixture.ok("t-next", "served", "Sablehinge-Verdict: ran\r\n"));
        assertEquals("served", client.read().body());
    }

    /** The head of a success for the request {@code t-1}. */
    static String head(String version, String headers) {
        return version + " 200 OK\r\nSablehinge-Try-Id: t-1\r\nSablehinge-Postmark: 3e1b.t-1\r\n"
                + "Sablehinge-Verdict: ran\r\n" + headers + "\r\n";
    }

    @Override
    public void close() throws IOException {
        mesh.close();
    }
}
