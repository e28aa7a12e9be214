package sablehinge.controlplane.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.Message;

/**
 * Outgoing connections to the other nodes of the core, one to each. A message that can't be sent now is dropped, except
 * for the newest one of each peer: Raft repeats every message that matters.
 */
final class PeerConnections {

    private static final int MAX_PEERS = 128;
    private static final long RECONNECT_INTERVAL_NANOS = 100_000_000;
    private final Connection connection;
    private final Member self;
    private final BiConsumer<Member, Message> onMessage;
    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer implements Connection.Handler {
        private final Frame hello;
        private Connection.Link link;
        private long lastAttemptNanos;
        /** The newest frame that waits for the connection. */
        private Frame pendingFrame;

        Peer(Frame hello) {
            this.hello = hello;
        }

        @Override
        public void opened(Connection.Link opened) {
            opened.send(hello);
            if (pendingFrame != null) {
                opened.send(pendingFrame);
                pendingFrame = null;
            }
        }

        @Override
        public void onFrame(Connection.Link from, Frame frame) {
            // The peer sends its messages on its own connection.
        }

        @Override
        public void closed(Connection.Link closed) {
            if (link == closed) {
                link = null;
            }
        }
    }

    PeerConnections(Connection connection, Member self, BiConsumer<Member, Message> onMessage) {
        this.connection = connection;
        this.self = self;
        this.onMessage = onMessage;
    }

    void send(Member to, Message message) {
        if (to.id() == self.id()) {
            onMessage.accept(self, message);
            return;
        }
        if (peers.size() > MAX_PEERS) {
            peers.values().removeIf(peer -> peer.link == null);
        }
        Peer peer = peers.computeIfAbsent(to.address(), address -> new Peer(helloFrame()));
        Frame frame = new Frame(Frame.Kind.RAFT, RaftMessageCodec.write(message));
        if (peer.link != null && peer.link.isUp()) {
            peer.link.send(frame);
            return;
        }
        peer.pendingFrame = frame;
        long now = System.nanoTime();
        if (peer.link == null && now - peer.lastAttemptNanos > RECONNECT_INTERVAL_NANOS) {
            peer.lastAttemptNanos = now;
            peer.link = connection.connect(ControlNode.address(to.address()), peer);
        }
    }

    /** Removes peers that are not members of the core and have no connection. */
    void retainOnly(List<Member> members) {
        peers.entrySet().removeIf(peer -> {
            boolean removable =
                    members.stream().noneMatch(member -> member.address().equals(peer.getKey()))
                            && peer.getValue().link == null;
            return removable;
        });
    }

    private Frame helloFrame() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            RaftMessageCodec.writeMember(self, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Frame(Frame.Kind.HELLO, bytes.toByteArray());
    }

    /** The member that a HELLO frame names as the sender. */
    static Member readHello(Frame frame) throws IOException {
        return RaftMessageCodec.readMember(new DataInputStream(new ByteArrayInputStream(frame.body())));
    }
}
