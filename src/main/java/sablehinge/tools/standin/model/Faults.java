package sablehinge.tools.standin.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Which servers are struck by what, and when: drawn once by seed, so that a run can be played again. */
public final class Faults {

    /** What may happen to a server. */
    public enum Kind {
        /** It stands still; its connections stay open. */
        STALL,
        /** It takes so many times as long. */
        SLOW,
        /** A share of the requests ends with 500. */
        ERROR,
        /** A share is reset once it is complete, and has not run. */
        RESET_BEFORE,
        /** A share is reset after it has run. */
        RESET_AFTER,
        /** Half of the answer is written, then the connection ends. */
        HALF,
        /** The answer is no HTTP. */
        SPOIL,
        /** Connections are refused. */
        REFUSE,
        /** Connections never come up. */
        HANG,
        /** It says nothing more, on old connections and new ones, and the list does not know. */
        VANISH,
        /** It dies and comes back without warm-up after the fault's time. */
        RESTART,
        /** It is listed as draining, and is gone at the end of the fault's time. */
        DRAIN,
        /** The list of servers is not answered. */
        SILENT_LIST;

        /** Whether it strikes requests by chance rather than the server as such. */
        public boolean byChance() {
            return this == ERROR || this == RESET_BEFORE || this == RESET_AFTER || this == HALF || this == SPOIL;
        }
    }

    /**
     * A fault as it was requested. Times in ms from the run's start.
     *
     * @param tier its place; -1 for all
     * @param servers how many are struck, drawn by seed
     * @param size how many times slower; for {@link Kind#SLOW}
     * @param chance of a request to be struck, 0 to 1; for those {@link Kind#byChance}
     */
    public record Fault(Kind kind, int tier, double from, double until, int servers, double size, double chance) {}

    /** A fault of one server; {@code server} is its place in its tier. */
    public record Strike(Kind kind, int tier, int server, double from, double until, double size, double chance) {

        boolean holds(double at) {
            return at >= from && at < until;
        }
    }

    private final List<Strike> strikes = new ArrayList<>();

    /**
     * Draws who is struck.
     *
     * @param sizes the number of servers of each tier
     */
    public Faults(List<Fault> faults, List<Integer> sizes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (Fault fault : faults) {
            for (int tier = 0; tier < sizes.size(); tier++) {
                if (fault.tier >= 0 && fault.tier != tier) {
                    continue;
                }
                List<Integer> left = new ArrayList<>();
                for (int i = 0; i < sizes.get(tier); i++) {
                    left.add(i);
                }
                for (int i = 0; i < fault.servers && !left.isEmpty(); i++) {
                    int server = left.remove(random.nextInt(left.size()));
                    strikes.add(
                            new Strike(fault.kind, tier, server, fault.from, fault.until, fault.size, fault.chance));
                }
            }
        }
    }

    /** All of them. */
    public List<Strike> strikes() {
        return List.copyOf(strikes);
    }

    /** Whether a server is struck by a kind of fault. */
    public boolean struck(Kind kind, int tier, int server, double at) {
        return strikes.stream().anyMatch(s -> s.kind == kind && s.tier == tier && s.server == server && s.holds(at));
    }

    /** How many times slower a server is. */
    public double slower(int tier, int server, double at) {
        double factor = 1;
        for (Strike s : strikes) {
            if (s.kind == Kind.SLOW && s.tier == tier && s.server == server && s.holds(at)) {
                factor *= s.size;
            }
        }
        return factor;
    }

    /** The fault that strikes a request, by a draw of 0 to 1; null for none. */
    public Kind strikes(int tier, int server, double at, double draw) {
        double sum = 0;
        for (Strike s : strikes) {
            if (s.kind.byChance() && s.tier == tier && s.server == server && s.holds(at)) {
                sum += s.chance;
                if (draw < sum) {
                    return s.kind;
                }
            }
        }
        return null;
    }
}
