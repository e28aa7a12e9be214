package sablehinge.mesh.watch;

/**
 * A data-plane balancer and its local upstream, as reported by the balancer.
 *
 * @param node the balancer's name
 * @param zone the zone of the balancer
 * @param inbound the address at which it accepts requests for the upstream, {@code ip:port}
 * @param service the service of the upstream
 * @param upstream the id of the upstream's current incarnation; empty if there is none
 * @param ready whether it accepts new requests
 * @param berths maximum number of concurrent requests of the upstream; 0 once the incarnation has announced that it
 *     leaves
 * @param warmUpMs remaining warm-up time of the upstream, in milliseconds, when its incarnation first registered
 */
public record Registration(
        String node,
        String zone,
        String inbound,
        String service,
        String upstream,
        boolean ready,
        int berths,
        int warmUpMs) {

    /** Whether the upstream's incarnation has announced that it leaves. It never accepts requests again. */
    public boolean isLeaving() {
        return !upstream.isEmpty() && !ready && berths == 0;
    }

    /** The registration of the same upstream once it has announced that it leaves. */
    public Registration leaving() {
        return new Registration(node, zone, inbound, service, upstream, false, 0, 0);
    }
}
