package sablehinge.tools.standin.scenario;

import java.net.InetSocketAddress;
import java.util.List;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.standin.model.Faults.Fault;

/**
 * Tiers of stand-in servers with balancers in front of each tier, and the faults that occur. Times are in ms.
 *
 * @param entry where the first balancer listens; the others listen on the ports that follow; port 0 for any
 * @param listDelay the delay until the server list contains a change
 * @param warmUp how long each balancer is sent unrecorded warm-up requests before the run
 */
public record Scenario(
        long seed,
        InetSocketAddress entry,
        List<String> zones,
        double listDelay,
        double warmUp,
        List<ClassPart> classes,
        List<TierPart> tiers,
        List<Fault> faults,
        RulesPart rules) {

    /**
     * A class of requests.
     *
     * @param work the work of a request in all tiers together, in ms of one core at speed 1
     */
    public record ClassPart(
            String name,
            Repeat effect,
            Group group,
            double window,
            double aim,
            double deadline,
            double value,
            double lateValue,
            double work) {}

    /**
     * A tier of servers.
     *
     * @param balancers the number of balancers of the first tier; in later tiers each calling server has its own
     * @param share the share of the work of a request that this tier does
     * @param calls the number of sequential calls to the next tier for each request
     * @param slowest the minimum speed of the servers; their speeds are distributed evenly up to {@code fastest}
     * @param cell the number of servers that share their store of idempotency keys
     */
    public record TierPart(
            String name,
            int servers,
            int balancers,
            double share,
            int calls,
            double cores,
            double slowest,
            double fastest,
            int slots,
            int queue,
            int cell,
            double warmUpFrom,
            double warmUpFor) {}

    /** The parameters of the rules that the balancers follow. */
    public record RulesPart(double drainGrace, double fallMultiple, double fallAfter) {}
}
