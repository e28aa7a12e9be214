package sablehinge.mesh.routing;

import java.util.Locale;

/** Normalizes host names for comparison. */
public final class HostNames {

    private HostNames() {}

    /**
     * Normalizes a host to the form used by routes.
     *
     * @param text a Host header or the authority of a request target, with or without a port; may be null
     * @return the host in lower case, without port, user, surrounding blanks or trailing dot; empty for null
     */
    public static String normal(String text) {
        if (text == null) {
            return "";
        }
        String host = text.trim();
        host = host.substring(host.lastIndexOf('@') + 1);
        int colon = host.startsWith("[") ? host.indexOf(':', host.indexOf(']') + 1) : host.indexOf(':');
        if (host.startsWith("[") && host.indexOf(']') < 0) {
            colon = -1;
        }
        if (colon >= 0) {
            host = host.substring(0, colon);
        }
        if (host.endsWith(".")) {
            host = host.substring(0, host.length() - 1);
        }
        return host.toLowerCase(Locale.ROOT);
    }
}
