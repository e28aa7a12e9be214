package sablehinge.dataplane.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * A list of servers, either complete or a delta.
 *
 * @param version the version number of the list's source, unrelated to configuration versions
 */
public record Roster(long version, boolean full, List<Member> members) {

    /**
     * A server as the module sees it.
     *
     * @param address where the server listens; null if it has left
     * @param name the server's own name; empty where it is not needed
     */
    public record Member(Upstream upstream, InetSocketAddress address, String name) {

        /** Creates a member whose name is not needed. */
        public Member(Upstream upstream, InetSocketAddress address) {
            this(upstream, address, "");
        }
    }

    List<Upstream> upstreams() {
        List<Upstream> upstreams = new ArrayList<>(members.size());
        members.forEach(member -> upstreams.add(member.upstream()));
        return upstreams;
    }
}
