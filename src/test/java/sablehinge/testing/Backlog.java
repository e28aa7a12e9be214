package sablehinge.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket whose queue is full: further connections hang until someone is accepted. */
public final class Backlog implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> filling = new ArrayList<>();

    public Backlog() throws Exception {
        for (int i = 0; i < 4; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            channel.connect(server.getLocalSocketAddress());
            filling.add(channel);
        }
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lets those in that fill the queue, then the next one that is none of them. */
    public Peer acceptLast() throws Exception {
        List<Integer> own = new ArrayList<>();
        for (SocketChannel channel : filling) {
            own.add(((InetSocketAddress) channel.getLocalAddress()).getPort());
        }
        server.setSoTimeout(Peer.TIMEOUT_MS);
        Peer next = new Peer(server.accept());
        while (own.contains(next.socket.getPort())) {
            next.close();
            next = new Peer(server.accept());
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : filling) {
            channel.close();
        }
        server.close();
    }
}
