package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.mesh.failuredetection.HashRing;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.failuredetection.SuspicionCause;
import sablehinge.mesh.watch.Registration;
import sablehinge.testing.Backlog;
import sablehinge.testing.Listener;
import sablehinge.testing.Peer;

/** Heartbeats between sidecars, the suspicions reported for silent peers, and the reaction to updates about peers. */
@Timeout(60)
class PeerMonitorTest {

    private static final String OTHER = "s-2";

    private static HeartbeatPacket read(DatagramSocket socket) throws IOException {
        socket.setSoTimeout(Peer.TIMEOUT_MS);
        DatagramPacket packet = new DatagramPacket(new byte[64], 64);
        socket.receive(packet);
        return HeartbeatPacket.read(Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    private static void send(DatagramSocket socket, SidecarFixture mesh, byte[] bytes) throws IOException {
        socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getByName(host(mesh)), SidecarFixture.INNER));
    }

    private static String host(SidecarFixture mesh) {
        return mesh.at.inbound().substring(0, mesh.at.inbound().indexOf(':'));
    }

    @Test
    void sendsHeartbeatsToWatchersAndSuspectsSilentPeersUntilHeartbeatsResume() throws Exception {
        try (SidecarFixture mesh = SidecarFixture.withUpstream()) {
            String own = host(mesh);
            int last = own.lastIndexOf('.') + 1;
            String peer = own.substring(0, last) + (254 - Integer.parseInt(own.substring(last)));
            try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(peer, SidecarFixture.INNER));
                    Backlog unresponsive = new Backlog()) {
                mesh.core.register(registration(peer + ":7001", "i-2", true));
                mesh.core.register(new Registration(
                        "s-3", "monza-b", unresponsive.address(), SidecarFixture.SERVICE, "i-3", true, 4, 0));
                HeartbeatPacket first = read(socket);
                assertEquals(HashRing.positionOf("s-1"), first.place());
                HeartbeatPacket second = read(socket);
                assertEquals(new HeartbeatPacket(first.place(), first.incarnation(), first.number() + 1), second);
                HeartbeatPacket heartbeat = new HeartbeatPacket(HashRing.positionOf(OTHER), 5, 1);
                send(socket, mesh, heartbeat.bytes());
                send(socket, mesh, new HeartbeatPacket(HashRing.positionOf("s-3"), 6, 1).bytes());
                send(socket, mesh, new byte[3]);
                SidecarFixture.await(
                        "both peers are suspected", () -> suspectedPeers(mesh).equals(Set.of(OTHER, "s-3")));
                send(socket, mesh, heartbeat.bytes());
                send(socket, mesh, new HeartbeatPacket(heartbeat.place(), 5, 2).bytes());
                SidecarFixture.await("the resumed peer is no longer suspected", () -> suspectedPeers(mesh)
                        .equals(Set.of("s-3")));
            }
        }
    }

    private static Set<String> suspectedPeers(SidecarFixture mesh) {
        return mesh.core.suspicions().stream().map(Suspicion::node).collect(Collectors.toSet());
    }

    @Test
    void derivesSuspicionCauseFromConnectionAttempt() {
        assertEquals(SuspicionCause.FROZEN, PeerMonitor.evidence(null));
        assertEquals(SuspicionCause.RESET, PeerMonitor.evidence(new ConnectException()));
        assertEquals(SuspicionCause.SILENT, PeerMonitor.evidence(new ConnectTimeoutException()));
        assertEquals(SuspicionCause.SILENT, PeerMonitor.evidence(new NoRouteToHostException()));
    }

    @Test
    void readsHeartbeatAsWrittenAndRejectsMalformedOnes() throws IOException {
        HeartbeatPacket heartbeat = new HeartbeatPacket(1L << 60, -7, 1 << 30);
        assertEquals(heartbeat, HeartbeatPacket.read(heartbeat.bytes()));
        assertArrayEquals(
                heartbeat.bytes(), HeartbeatPacket.read(heartbeat.bytes()).bytes());
        for (int length = 0; length < HeartbeatPacket.BYTES + 2; length++) {
            byte[] bytes = Arrays.copyOf(heartbeat.bytes(), length);
            bytes = length == HeartbeatPacket.BYTES ? withWrongVersion(bytes) : bytes;
            byte[] wrong = bytes;
            assertThrows(IOException.class, () -> HeartbeatPacket.read(wrong), "of " + length);
        }
    }

    private static byte[] withWrongVersion(byte[] bytes) {
        bytes[0]++;
        return bytes;
    }

    /** Repeated with a new sidecar, as an attempt that took as long as a connection timeout proves nothing. */
    @Test
    void retriesElsewhereWhenUpstreamDrainsDuringConnect() throws Exception {
        long took = Long.MAX_VALUE;
        for (int i = 0; i < 20 && took >= 900; i++) {
            try (SidecarFixture mesh = new SidecarFixture();
                    Backlog full = new Backlog()) {
                mesh.core.setConfiguration(SidecarFixture.configuration(4, "", ""), 4);
                mesh.core.register(registration(full.address(), "i-2", true));
                mesh.core.awaitKnown("");
                PlainConnection client = mesh.client();
                long begun = System.nanoTime();
                client.write(SidecarFixture.post("/u/x", "t-1", "1"));
                // Once a later request is answered, the first one has been read and is waiting.
                SidecarFixture.await("the sidecar is ready", () -> {
                    try {
                        return mesh.ready() == 200;
                    } catch (IOException e) {
                        return false;
                    }
                });
                Listener other = mesh.addPeer("i-3");
                mesh.respond(other, request -> SidecarFixture.ok(request.id(), "there"));
                mesh.core.register(registration(full.address(), "i-2", false));
                PlainConnection.Message answer = client.read();
                took = (System.nanoTime() - begun) / 1_000_000;
                assertEquals("there", answer.body());
            }
        }
        assertTrue(took < 900, "took " + took + " ms");
    }

    private static Registration registration(String at, String incarnation, boolean ready) {
        return new Registration(OTHER, "monza-a", at, SidecarFixture.SERVICE, incarnation, ready, 4, 0);
    }
}
