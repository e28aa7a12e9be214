package sablehinge.tools.standin;

import java.net.InetSocketAddress;
import java.util.List;
import sablehinge.tools.standin.scenario.Scenario;

/** Starts the real balancers between the tiers; keeps this package independent of their implementation. */
public interface Balancers {

    /** A running balancer. */
    interface Running {

        /** Returns the address at which the balancer listens. */
        InetSocketAddress address();

        /** Stops the balancer immediately, regardless of its in-flight requests; may block for a short time. */
        void kill();
    }

    /**
     * A server in the list of a balancer.
     *
     * @param startedMillis the epoch time in ms of the last start; 0 for a server that is warmed up
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
     * A balancer to be started.
     *
     * @param tier the index of the tier to which the balancer sends
     * @param position the index of the balancer among the {@code siblings}
     * @param siblings the number of balancers of the tier
     * @param listen the address at which it listens; the port may be 0
     * @param known the initial servers of the balancer
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

    /** Starts a balancer and returns when it serves; throws an exception with the cause if it fails to start. */
    Running start(Spec spec) throws Exception;
}
