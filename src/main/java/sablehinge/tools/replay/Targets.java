package sablehinge.tools.replay;

import java.util.Locale;

/** Targets of requests in the forms of RFC 9112, 3.2. */
final class Targets {

    private Targets() {}

    /** A target without its authority; the host is null if there was none. */
    record Split(String target, String host) {}

    /** Takes {@code http://host:port/path} apart; what has no authority stays as it is. */
    static Split split(String target) {
        int scheme = target.startsWith("http://") || target.startsWith("HTTP://")
                ? 7
                : target.startsWith("https://") || target.startsWith("HTTPS://") ? 8 : 0;
        if (scheme == 0) {
            return new Split(target, null);
        }
        int end = scheme;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        int fragment = target.indexOf('#', end);
        String rest = target.substring(end, fragment < 0 ? target.length() : fragment);
        return new Split(rest.startsWith("/") ? rest : "/" + rest, host(target.substring(scheme, end)));
    }

    /** A host without user and port, in lower case; null for none. */
    static String host(String authority) {
        if (authority == null || authority.isEmpty() || authority.equals("-")) {
            return null;
        }
        String host = authority.substring(authority.lastIndexOf('@') + 1);
        int port = host.indexOf(':', host.indexOf(']') + 1);
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }
}
