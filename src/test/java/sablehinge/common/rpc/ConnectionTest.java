package sablehinge.common.rpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** One end of a connection with a simulated clock. */
class ConnectionTest {

    private static final long PING_MS = 300;
    private static final long TIMEOUT_MS = 1_200;
    private static final int RECORD = 1_000_000;
    private static final int PART = 10_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Frame> received = new ArrayList<>();
    private long nanos;
    private boolean closed;

    private ConnectionTest() {
        Connection connection =
                new Connection(channel.eventLoop(), PING_MS, TIMEOUT_MS, Connection.Observer.NONE, () -> nanos);
        Connection.Handler handler = new Connection.Handler() {
            @Override
            public void onFrame(Connection.Link link, Frame frame) {
                received.add(frame);
            }

            @Override
            public void closed(Connection.Link link) {
                closed = true;
            }
        };
        Connection.addHandlers(channel, connection.new Link(channel, handler));
        channel.pipeline().fireChannelActive();
    }

    private void advanceTime(long ms) {
        nanos += TimeUnit.MILLISECONDS.toNanos(ms);
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** A record whose transfer takes some seconds; no other record can be received before its end. */
    @Test
    void doesNotTimeOutDuringLargeRecordOnSlowLink() {
        byte[] body = new byte[RECORD];
        body[RECORD - 1] = 7;
        ByteBuf record = Unpooled.buffer()
                .writeInt(1 + RECORD)
                .writeByte(Frame.Kind.UPDATE.ordinal())
                .writeBytes(body);
        while (record.isReadable()) {
            assertFalse(closed, "closed with " + record.readableBytes() + " bytes to come");
            channel.writeInbound(record.readBytes(Math.min(PART, record.readableBytes())));
            advanceTime(50);
        }
        assertEquals(1, received.size());
        assertArrayEquals(body, received.get(0).body());
        record.release();
        channel.finishAndReleaseAll();
    }

    @Test
    void pingsSilentPeerAndThenCloses() {
        advanceTime(PING_MS);
        assertFalse(closed);
        ByteBuf ping = channel.readOutbound();
        assertEquals(Frame.Kind.PING.ordinal(), ping.getByte(Integer.BYTES));
        ping.release();
        for (long ms = PING_MS; ms <= TIMEOUT_MS; ms += PING_MS) {
            assertFalse(closed);
            advanceTime(PING_MS);
        }
        assertTrue(closed);
        channel.finishAndReleaseAll();
    }
}
