package sablehinge.controlplane.node;

import java.io.IOException;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.logging.Log;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.Message;

/** Handles the records from other control nodes and from the data plane, on the node's event loop. */
final class FrameHandler implements Connection.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(FrameHandler.class);

    private final DataPlaneService dataPlane;
    private final BiConsumer<Member, Message> onRaftMessage;

    FrameHandler(DataPlaneService dataPlane, BiConsumer<Member, Message> onRaftMessage) {
        this.dataPlane = dataPlane;
        this.onRaftMessage = onRaftMessage;
    }

    @Override
    public void onFrame(Connection.Link link, Frame frame) {
        try {
            switch (frame.kind()) {
                case HELLO -> link.attach(PeerConnections.readHello(frame));
                case RAFT -> {
                    if (link.attachment() instanceof Member from) {
                        onRaftMessage.accept(from, RaftMessageCodec.read(frame.body()));
                    }
                }
                default -> {
                    if (!dataPlane.handleFrame(link, frame)) {
                        link.close();
                    }
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            Log.warn(LOG, "record-malformed")
                    .addKeyValue("kind", frame.kind())
                    .addKeyValue("cause", e.getMessage())
                    .log("malformed record; closes the connection");
            link.close();
        }
    }

    @Override
    public void closed(Connection.Link link) {
        dataPlane.onConnectionClosed(link);
    }
}
