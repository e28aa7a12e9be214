package sablehinge.tools.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Assigns faults to servers. All choices are drawn once from a seed, so that a run can be repeated. */
public final class Faults {

    /** The kinds of faults. */
    public enum Kind {
        /** The server stops processing; its connections stay open. */
        STALL,
        /** The server works slower by a factor. */
        SLOW,
        /** The server answers a share of the requests with 500. */
        ERROR,
        /** The server resets the connection of a share of the requests after it has read them, without running them. */
        RESET_BEFORE,
        /** The server resets the connection of a share of the requests after it has run them. */
        RESET_AFTER,
        /** The server writes half of the response, then closes the connection. */
        HALF,
        /** The server writes a response that is not valid HTTP. */
        SPOIL,
        /** The server refuses new connections. */
        REFUSE,
        /** Attempts to connect to the server time out. */
        HANG,
        /** The server becomes unresponsive on existing and new connections; the server list does not show it. */
        VANISH,
        /** The server crashes, and restarts cold at the end of the fault. */
        RESTART,
        /** The server list marks the server as draining; it stops at the end of the fault. */
        DRAIN,
        /** Requests for the server list get no response. */
        SILENT_LIST;

        /** Returns whether the fault affects randomly chosen requests rather than the server itself. */
        public boolean affectsRequests() {
            return this == ERROR || this == RESET_BEFORE || this == RESET_AFTER || this == HALF || this == SPOIL;
        }
    }

    /**
     * A fault as configured. Times are in ms since the start of the run.
     *
     * @param tier the index of the affected tier; -1 for all tiers
     * @param servers the number of affected servers in each tier, which are drawn from the seed
     * @param slowdown the factor by which the servers get slower; for {@link Kind#SLOW}
     * @param probability that a request is affected, 0 to 1; for {@linkplain Kind#affectsRequests() per-request faults}
     */
    public record Fault(
            Kind kind, int tier, double from, double until, int servers, double slowdown, double probability) {}

    /** A fault of one server; {@code server} is the index of the server in its tier. */
    public record ServerFault(
            Kind kind, int tier, int server, double from, double until, double slowdown, double probability) {

        boolean isActiveAt(double at) {
            return at >= from && at < until;
        }
    }

    private final List<ServerFault> serverFaults = new ArrayList<>();

    /**
     * Draws the affected servers.
     *
     * @param serverCounts the number of servers of each tier
     */
    public Faults(List<Fault> faults, List<Integer> serverCounts, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (Fault fault : faults) {
            for (int tier = 0; tier < serverCounts.size(); tier++) {
                if (fault.tier >= 0 && fault.tier != tier) {
                    continue;
                }
                List<Integer> candidates = new ArrayList<>();
                for (int i = 0; i < serverCounts.get(tier); i++) {
                    candidates.add(i);
                }
                for (int i = 0; i < fault.servers && !candidates.isEmpty(); i++) {
                    int server = candidates.remove(random.nextInt(candidates.size()));
                    serverFaults.add(new ServerFault(
                            fault.kind, tier, server, fault.from, fault.until, fault.slowdown, fault.probability));
                }
            }
        }
    }

    /** Returns the faults of all servers. */
    public List<ServerFault> serverFaults() {
        return List.copyOf(serverFaults);
    }

    /** Returns whether a fault of the given kind is active on the server. */
    public boolean isActive(Kind kind, int tier, int server, double at) {
        return serverFaults.stream()
                .anyMatch(s -> s.kind == kind && s.tier == tier && s.server == server && s.isActiveAt(at));
    }

    /** Returns the factor by which the server is slower than normal; 1 without a fault. */
    public double slowdown(int tier, int server, double at) {
        double factor = 1;
        for (ServerFault s : serverFaults) {
            if (s.kind == Kind.SLOW && s.tier == tier && s.server == server && s.isActiveAt(at)) {
                factor *= s.slowdown;
            }
        }
        return factor;
    }

    /** Returns the fault of a request, chosen by a random number from 0 to 1; null for none. */
    public Kind requestFault(int tier, int server, double at, double random) {
        double cumulativeProbability = 0;
        for (ServerFault s : serverFaults) {
            if (s.kind.affectsRequests() && s.tier == tier && s.server == server && s.isActiveAt(at)) {
                cumulativeProbability += s.probability;
                if (random < cumulativeProbability) {
                    return s.kind;
                }
            }
        }
        return null;
    }
}
