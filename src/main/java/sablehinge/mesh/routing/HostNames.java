package sablehinge.mesh.routing;

import java.util.Locale;

/** The one form that names of hosts are compared in. */
public final class HostNames {

    private HostNames() {}

    /**
     * A host as routes name it.
     *
     * @param text what a Host header or a target's authority holds, with or without a port; may be null
     * @return in lower case, without port, user, blanks around it or a dot at its end; empty for null
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
