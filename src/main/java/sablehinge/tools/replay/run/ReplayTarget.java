package sablehinge.tools.replay.run;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** A balancer, and the connections to it that wait for a request. */
final class ReplayTarget {

    final String name;
    final InetSocketAddress address;
    final ArrayDeque<ReplayConnection> idle = new ArrayDeque<>();
    /** Attempts that wait for a connection. */
    final ArrayDeque<ReplayAttempt> waiting = new ArrayDeque<>();
    /** Connections that are open. */
    int open;

    ReplayTarget(InetSocketAddress address, String name) {
        this.address = address;
        this.name = name;
    }
}
