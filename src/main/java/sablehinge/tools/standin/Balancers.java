package sablehinge.tools.standin;

import java.net.InetSocketAddress;
import java.util.List;
import sablehinge.tools.standin.scenario.Scenario;

/** Starts balancers between the tiers: real ones, which this package knows nothing of. */
public interface Balancers {

    /** A balancer that serves. */
    interface Running {

        /** Where it listens. */
        InetSocketAddress address();

        /** Ends it at once, whatever it has under way; may take a moment. */
        void kill();
    }

    /**
     * A server as a balancer's list has it.
     *
     * @param startedMillis when it last started, in ms since 1970; 0 for long ago
     */
    record Listed(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            String state,
            long startedMillis) {}

    /**
     * A balancer that is wanted.
     *
     * @param tier to which it sends
     * @param position among so many {@code siblings}
     * @param listen its port may be 0
     * @param known the servers that it knows from its start
     */
    record Spec(
            String name,
            int tier,
            int position,
            int siblings,
            String zone,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            Scenario scenario,
            List<Listed> known) {}

    /** Starts one, which serves once this returns; the error says why it doesn't. */
    Running start(Spec spec) throws Exception;
}
