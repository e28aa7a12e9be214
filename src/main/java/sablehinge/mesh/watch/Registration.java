package sablehinge.mesh.watch;

/**
 * A data-plane balancer and the upstream beside it, as that balancer tells it.
 *
 * @param node the balancer's name
 * @param zone where it runs
 * @param inbound where it takes requests for its upstream, {@code ip:port}
 * @param service of the upstream
 * @param upstream the id of the upstream's present incarnation; empty where there is none
 * @param ready whether it takes new requests
 * @param berths requests that the upstream works on at once
 * @param warmUpMs how much longer the upstream was warming up, ms, when its incarnation first registered
 */
public record Registration(
        String node,
        String zone,
        String inbound,
        String service,
        String upstream,
        boolean ready,
        int berths,
        int warmUpMs) {}
