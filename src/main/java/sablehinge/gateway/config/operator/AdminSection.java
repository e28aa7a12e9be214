package sablehinge.gateway.config.operator;

import java.net.InetSocketAddress;
import sablehinge.gateway.config.operator.OperatorConfig.AdminPart;

/** Reads the addresses of the admin listener. */
final class AdminSection {

    private AdminSection() {}

    static AdminPart read(Section s) {
        InetSocketAddress listen = s.address("listen", false);
        AdminPart admin = new AdminPart(s.text("socket", "admin.sock"), listen, s.text("token-file", null));
        if (listen != null && !listen.getAddress().isLoopbackAddress()) {
            s.problem("listen", "is no loopback address, expected one such as \"127.0.0.1:9901\"");
        }
        if (listen != null && admin.tokenFile() == null) {
            s.problem("token-file", "is missing, expected the file of the token that listen asks for");
        }
        s.reportUnknownKeys();
        return admin;
    }
}
