package sablehinge.dataplane.budget;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What a lower tier gives up first when it has more than it can do: the least value per unit of work, over all its
 * callers, by the value that was carried down. A part of everything is let in all the same, so that the cheap class
 * does not starve, and a caller that claims more than its share is scaled down to that.
 */
public final class LoadShedder {

    /** Calls over which value per work is ranked. */
    private static final int RANKED = 256;

    private static final int MAX_CALLERS = 1_000;
    private static final double FADE_MS = 10_000;
    private static final double UP_PER_S = 0.9;
    private static final double DOWN_PER_S = 0.2;
    private static final double MAX_GAP_MS = 250;
    private static final double MAX_PRESSURE = 0.95;

    /**
     * What an operator states.
     *
     * @param floor share of each kind of call that is let in under any pressure, 0 to 1
     * @param share the most of all value that one caller's calls count for, above 0 to 1
     */
    public record Settings(double floor, double share) {

        /** Throws {@link IllegalArgumentException} for what is out of range. */
        public Settings {
            if (!(floor >= 0 && floor <= 1) || !(share > 0 && share <= 1)) {
                throw new IllegalArgumentException("terms of shedding out of range");
            }
        }
    }

    /** What a caller has claimed of late; it fades. */
    private static final class Claim {
        double value;
        double at;
    }

    private final Settings terms;
    private final SplittableRandom random;
    private final double[] density = new double[RANKED];
    private final double[] work = new double[RANKED];
    private int count;
    /** The one used longest ago comes first, and goes first. */
    private final Map<String, Claim> claims = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Claim> eldest) {
            return size() > MAX_CALLERS;
        }
    };

    private final Claim all = new Claim();
    private double pressure;
    private double feltAt;

    /** A shedder; the seed draws what is let in of equals. */
    public LoadShedder(Settings terms, long seed) {
        this.terms = terms;
        random = new SplittableRandom(seed);
    }

    /** The share of the work requested that is given up now, 0 to 0.95. */
    public double pressure() {
        return pressure;
    }

    /** An attempt has shown that there is more than can be done, or the opposite. */
    public void recordLoad(double now, boolean overload) {
        double seconds = Math.min(MAX_GAP_MS, Math.max(0, now - feltAt)) / 1_000;
        feltAt = now;
        pressure = Math.min(MAX_PRESSURE, Math.max(0, pressure + (overload ? UP_PER_S : -DOWN_PER_S) * seconds));
    }

    /**
     * Whether a call is let in.
     *
     * @param caller who claims the value
     * @param value as it was carried, 0 and more
     * @param cost expected work, above 0
     */
    public boolean admits(double now, String caller, double value, double cost) {
        double counted = counted(now, caller, value) / cost;
        density[count % RANKED] = counted;
        work[count % RANKED] = cost;
        count++;
        if (pressure == 0 || random.nextDouble() < terms.floor()) {
            return true;
        }
        double below = 0;
        double equal = 0;
        double complete = 0;
        for (int i = 0; i < Math.min(count, RANKED); i++) {
            complete += work[i];
            below += density[i] < counted ? work[i] : 0;
            equal += density[i] == counted ? work[i] : 0;
        }
        double given = pressure * complete;
        // All that has less value goes first; of its equals the part that is still wanting.
        return below >= given || equal > 0 && below + equal > given && random.nextDouble() >= (given - below) / equal;
    }

    private double counted(double now, String caller, double value) {
        Claim own = claims.computeIfAbsent(caller, name -> new Claim());
        fade(own, now);
        fade(all, now);
        own.value += value;
        all.value += value;
        double others = all.value - own.value;
        // Alone it may have all; beside others no more than its share of what both make together.
        double allowed = terms.share() >= 1 || others <= 0 ? own.value : others * terms.share() / (1 - terms.share());
        return own.value <= allowed ? value : value * allowed / own.value;
    }

    private static void fade(Claim claim, double now) {
        claim.value *= Math.exp(-Math.max(0, now - claim.at) / FADE_MS);
        claim.at = now;
    }
}
