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

/** What a cut that benches play lets through. */
class CutTest {

    private static final InetSocketAddress HERE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress BEYOND = new InetSocketAddress("127.0.0.2", 1);
    private final AtomicBoolean lasts = new AtomicBoolean();
    private final Cut cut = new Cut(lasts::get, BEYOND::equals);

    private static ByteBuf bytes() {
        return Unpooled.wrappedBuffer(new byte[] {1});
    }

    @Test
    void aConnectionAcrossItIsSilentBothWaysWhileItLasts() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.over(channel, BEYOND);
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
    void aConnectionOnThisSideIsLeftAlone() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.over(channel, HERE);
        lasts.set(true);
        channel.writeInbound(bytes());
        assertNotNull(channel.readInbound());
    }

    @Test
    void datagramsAcrossItAreLostAndOthersAreNot() {
        EmbeddedChannel channel = new EmbeddedChannel();
        cut.over(channel);
        lasts.set(true);
        channel.writeInbound(new DatagramPacket(bytes(), HERE, BEYOND));
        channel.writeOutbound(new DatagramPacket(bytes(), BEYOND, HERE));
        assertNull(channel.readInbound());
        assertNull(channel.readOutbound());
        channel.writeInbound(new DatagramPacket(bytes(), BEYOND, HERE));
        channel.writeOutbound(new DatagramPacket(bytes(), HERE, BEYOND));
        DatagramPacket in = channel.readInbound();
        assertEquals(HERE, in.sender());
        assertNotNull(channel.readOutbound());
    }
}
