package sablehinge.tools.standin.scenario;

import java.net.InetSocketAddress;
import java.util.List;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.standin.model.Faults.Fault;

/**
 * Stand-in servers in tiers, with balancers before each, and what befalls them. Times are ms.
 *
 * @param entry where the first balancer listens, the others on the ports behind it; port 0 for any
 * @param listDelay after which the list of servers knows of a change
 * @param warmUp for how long each balancer is sent requests that don't count, before all begins
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
     * @param work what a request needs over all tiers, in ms of one core at speed 1
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
     * @param balancers before the first tier; those of later ones belong to the servers that call
     * @param share of a class's work that is done here
     * @param calls to the next tier, one after another, for each request
     * @param slowest speed of its servers, which are drawn evenly up to {@code fastest}
     * @param cell how many servers share what they remember of keys
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

    /** The figures of the rules that balancers get. */
    public record RulesPart(double drainGrace, double fallMultiple, double fallAfter) {}
}
