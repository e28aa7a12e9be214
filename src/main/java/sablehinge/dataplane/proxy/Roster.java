package sablehinge.dataplane.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sablehinge.policy.LoadBalancer.Upstream;

/**
 * A list of servers: the complete one, or a delta.
 *
 * @param version as its source counts, which need not be as a configuration counts
 */
public record Roster(long version, boolean full, List<Member> members) {

    /**
     * A server as the module knows it.
     *
     * @param address where it listens; null for one that is gone
     * @param name what it calls itself; empty where nobody asks
     */
    public record Member(Upstream upstream, InetSocketAddress address, String name) {

        /** One whose name nobody asks for. */
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
