package sablehinge.gateway.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses the addresses of configuration files and server lists. */
public final class Addresses {

    private Addresses() {}

    /** Parses a numeric address with a port. Host names are not supported because no DNS is available. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(colon < 0 ? text : text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is no address with a port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is no address with a port", e);
        }
    }
}
