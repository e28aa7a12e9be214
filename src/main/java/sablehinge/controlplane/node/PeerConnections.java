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
 * Connections to the other machines of the core: one to each for what is sent to it. What can't be sent now is dropped,
 * as the agreement says everything again that matters.
 */
final class PeerConnections {

    private static final int MAX_PEERS = 128;
    private static final long RETRY_NANOS = 100_000_000;
    private final Connection connection;
    private final Member self;
    private final BiConsumer<Member, Message> messageHandler;
    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer implements Connection.Handler {
        private final Frame hello;
        private Connection.Link link;
        private long triedAt;
        /** What waits for the connection: the newest only. */
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
            // The other end speaks on its own connection.
        }

        @Override
        public void closed(Connection.Link closed) {
            if (link == closed) {
                link = null;
            }
        }
    }

    PeerConnections(Connection connection, Member self, BiConsumer<Member, Message> messageHandler) {
        this.connection = connection;
        this.self = self;
        this.messageHandler = messageHandler;
    }

    void send(Member to, Message message) {
        if (to.id() == self.id()) {
            messageHandler.accept(self, message);
            return;
        }
        if (peers.size() > MAX_PEERS) {
            peers.values().removeIf(peer -> peer.link == null);
        }
        Peer peer = peers.computeIfAbsent(to.address(), at -> new Peer(hello()));
        Frame frame = new Frame(Frame.Kind.RAFT, RaftMessageCodec.write(message));
        if (peer.link != null && peer.link.isUp()) {
            peer.link.send(frame);
            return;
        }
        peer.pendingFrame = frame;
        long now = System.nanoTime();
        if (peer.link == null && now - peer.triedAt > RETRY_NANOS) {
            peer.triedAt = now;
            peer.link = connection.connect(ControlNode.address(to.address()), peer);
        }
    }

    /** Who is in the core now: connections to others end. */
    void retainOnly(List<Member> retainOnly) {
        peers.entrySet().removeIf(peer -> {
            boolean gone =
                    retainOnly.stream().noneMatch(member -> member.address().equals(peer.getKey()))
                            && peer.getValue().link == null;
            return gone;
        });
    }

    private Frame hello() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            RaftMessageCodec.writeMember(self, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Frame(Frame.Kind.HELLO, bytes.toByteArray());
    }

    /** Who speaks on a connection. */
    static Member hello(Frame frame) throws IOException {
        return RaftMessageCodec.readMember(new DataInputStream(new ByteArrayInputStream(frame.body())));
    }
}
