package sablehinge.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sablehinge.common.eventloop.ClosingEventLoops;

/** The notifications of a connection's observer. */
@Timeout(30)
class ConnectionObserverTest {

    private static final long NEVER_MS = 60_000;

    /** Records its notifications. */
    private static final class Notes implements Connection.Observer {
        private final BlockingQueue<String> notes = new LinkedBlockingQueue<>();

        @Override
        public void sent(Frame.Kind kind, int bytes) {
            notes.add("sent " + kind + " " + bytes);
        }

        @Override
        public void received(Frame.Kind kind, int bytes) {
            notes.add("received " + kind + " " + bytes);
        }

        @Override
        public void beforeConnect(Channel channel, InetSocketAddress to) {
            notes.add("connects " + channel.isActive() + " " + to.getAddress().getHostAddress());
        }
    }

    @Test
    void notifiesObserverOfEachRecordWithItsSizeOnTheWire() throws Exception {
        EventLoop loop = ClosingEventLoops.single("test");
        try {
            Connection server = new Connection(loop, NEVER_MS, NEVER_MS);
            var listening = server.listen(
                            new InetSocketAddress("127.0.0.1", 0),
                            (link, frame) -> link.send(new Frame(Frame.Kind.UPDATE, new byte[100])))
                    .sync();
            Notes notes = new Notes();
            Connection client = new Connection(loop, NEVER_MS, NEVER_MS, notes);
            client.connect((InetSocketAddress) listening.channel().localAddress(), new Connection.Handler() {
                @Override
                public void opened(Connection.Link link) {
                    link.send(new Frame(Frame.Kind.ASK, new byte[7]));
                }

                @Override
                public void onFrame(Connection.Link link, Frame frame) {
                    notes.notes.add("handled " + frame.kind());
                }
            });
            // Each body is preceded by four bytes of length and one of kind.
            assertEquals(
                    List.of("connects false 127.0.0.1", "sent ASK 12", "received UPDATE 105", "handled UPDATE"),
                    List.of(notes.notes.take(), notes.notes.take(), notes.notes.take(), notes.notes.take()));
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
