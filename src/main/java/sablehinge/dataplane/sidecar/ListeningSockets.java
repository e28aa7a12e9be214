package sablehinge.dataplane.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;

/**
 * The sockets on which a sidecar listens before anything else is loaded: early connections wait in the backlog.
 * Otherwise clients would be refused and use up their few attempts, and the upstream's heartbeat would be refused,
 * while admission to the upstream starts only with the first heartbeat received.
 *
 * @param outbound for clients
 * @param control for the local upstream
 */
public record ListeningSockets(ServerSocketChannel outbound, ServerSocketChannel control) {

    private static final int BACKLOG = 1_024;

    /**
     * Listens on the addresses in the settings.
     *
     * @throws ConfigException if one of the addresses can't be bound
     */
    public static ListeningSockets open(LocalSettings settings) throws ConfigException {
        LocalSettings.ListenOn at = settings.listenOn();
        return new ListeningSockets(listen(at.outbound()), listen(at.control()));
    }

    private static ServerSocketChannel listen(String at) throws ConfigException {
        try {
            ServerSocketChannel listening = ServerSocketChannel.open();
            listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return listening.bind(address(at), BACKLOG);
        } catch (IOException e) {
            throw new ConfigException("cannot listen on " + at + ": " + e.getMessage());
        }
    }

    /** Parses an address {@code ip:port}. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
