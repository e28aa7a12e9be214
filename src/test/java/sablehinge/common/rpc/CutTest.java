package sablehinge.common.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** The traffic that a simulated network partition drops. */
class CutTest {

    private static final InetSocketAddress SAME_SIDE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress OTHER_SIDE = new InetSocketAddress("127.0.0.2", 1);
    private final AtomicBoolean lasts = new AtomicBoolean();
    private final Cut cut = new Cut(lasts::get, OTHER_SIDE::equals);

    private static ByteBuf bytes() {
        return Unpooled.wrappedBuffer(new byte[] {1});
    }

    @Test
    void dropsBothDirectionsOfConnectionAcrossTheCutWhileItLasts() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.apply(channel, OTHER_SIDE);
        channel.writeInbound(bytes());
        channel.writeOutbound(bytes());
        assertNotNull(channel.readInbound());
        assertNotNull(channel.readOutbound());
        lasts.set(true);
        channel.writeInbound(bytes());
        channel.writeOutbound(bytes());
        assertNull(channel.readInbound());
        assertNull(channel.readOutbound());
    }

    @Test
    void leavesConnectionOnTheSameSideAlone() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.apply(channel, SAME_SIDE);
        lasts.set(true);
        channel.writeInbound(bytes());
        assertNotNull(channel.readInbound());
    }

    @Test
    void dropsOnlyDatagramsAcrossTheCut() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.apply(channel);
        lasts.set(true);
        channel.writeInbound(new DatagramPacket(bytes(), SAME_SIDE, OTHER_SIDE));
        channel.writeOutbound(new DatagramPacket(bytes(), OTHER_SIDE, SAME_SIDE));
        assertNull(channel.readInbound());
        assertNull(channel.readOutbound());
        channel.writeInbound(new DatagramPacket(bytes(), OTHER_SIDE, SAME_SIDE));
        channel.writeOutbound(new DatagramPacket(bytes(), SAME_SIDE, OTHER_SIDE));
        DatagramPacket in = channel.readInbound();
        assertEquals(SAME_SIDE, in.sender());
        assertNotNull(channel.readOutbound());
    }
}
