package sablehinge.dataplane.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import sablehinge.common.settings.ConfigException;
import sablehinge.common.settings.LocalSettings;

/**
 * The sockets on which a sidecar listens before anything else is loaded: whoever calls waits in the backlog for
 * moments. Clients would else be refused, and use up their few attempts; the upstream's heartbeat would be refused, and
 * the gate before it opens with the first one that is heard.
 *
 * @param outbound for clients
 * @param control for the upstream beside
 */
public record ListeningSockets(ServerSocketChannel outbound, ServerSocketChannel control) {

    private static final int BACKLOG = 1_024;

    /**
     * Listens at the addresses that the settings name.
     *
     * @throws ConfigException where one of them can't be had
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

    /** The address that a text, {@code ip:port}, names. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
