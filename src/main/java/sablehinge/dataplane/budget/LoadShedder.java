package sablehinge.dataplane.budget;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Load shedding of a lower tier under overload. Calls with the least value per unit of cost are rejected first, over
 * all callers, by the value that the calls carry. A share of all calls is always admitted, so that low-value classes do
 * not starve, and the values of a caller that claims more than its share are scaled down to that share.
 */
public final class LoadShedder {

    /** Number of recent calls among which value per cost is ranked. */
    private static final int RANKED_CALLS = 256;

    private static final int MAX_CALLERS = 1_000;
    private static final double CLAIM_DECAY_MS = 10_000;
    private static final double PRESSURE_RISE_PER_S = 0.9;
    private static final double PRESSURE_FALL_PER_S = 0.2;
    private static final double MAX_STEP_MS = 250;
    private static final double MAX_PRESSURE = 0.95;

    /**
     * The operator's settings.
     *
     * @param floor share of the calls of each kind that is admitted under any pressure, 0 to 1
     * @param share maximum share of the total value that counts for the calls of one caller, above 0, at most 1
     */
    public record Settings(double floor, double share) {

        /** Throws {@link IllegalArgumentException} if a value is out of range. */
        public Settings {
            if (!(floor >= 0 && floor <= 1) || !(share > 0 && share <= 1)) {
                throw new IllegalArgumentException("load shedding settings out of range");
            }
        }
    }

    /** The recent value of a caller's calls, with exponential decay. */
    private static final class CallerValue {
        double value;
        double updatedAt;
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final double[] densities = new double[RANKED_CALLS];
    private final double[] costs = new double[RANKED_CALLS];
    private int count;
    /** In access order; the least recently used caller is evicted first. */
    private final Map<String, CallerValue> valueByCaller = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CallerValue> eldest) {
            return size() > MAX_CALLERS;
        }
    };

    private final CallerValue total = new CallerValue();
    private double pressure;
    private double recordedAt;

    /** Creates a load shedder. The seed is for its random choices. */
    public LoadShedder(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    /** The share of the requested work that is currently shed, 0 to 0.95. */
    public double pressure() {
        return pressure;
    }

    /** Records whether an attempt has shown overload, and adjusts the pressure. */
    public void recordLoad(double now, boolean overloaded) {
        double seconds = Math.min(MAX_STEP_MS, Math.max(0, now - recordedAt)) / 1_000;
        recordedAt = now;
        pressure = Math.min(
                MAX_PRESSURE,
                Math.max(0, pressure + (overloaded ? PRESSURE_RISE_PER_S : -PRESSURE_FALL_PER_S) * seconds));
    }

    /**
     * Decides whether a call is admitted.
     *
     * @param caller the caller that claims the value
     * @param value the value that the call carries, 0 or more
     * @param cost the expected work, above 0
     */
    public boolean admits(double now, String caller, double value, double cost) {
        double density = countedValue(now, caller, value) / cost;
        densities[count % RANKED_CALLS] = density;
        costs[count % RANKED_CALLS] = cost;
        count++;
        if (pressure == 0 || random.nextDouble() < settings.floor()) {
            return true;
        }
        double lowerCost = 0;
        double equalCost = 0;
        double totalCost = 0;
        for (int i = 0; i < Math.min(count, RANKED_CALLS); i++) {
            totalCost += costs[i];
            lowerCost += densities[i] < density ? costs[i] : 0;
            equalCost += densities[i] == density ? costs[i] : 0;
        }
        double shedCost = pressure * totalCost;
        // Calls with lower value are shed first, then a random part of the calls with equal value.
        return lowerCost >= shedCost
                || equalCost > 0
                        && lowerCost + equalCost > shedCost
                        && random.nextDouble() >= (shedCost - lowerCost) / equalCost;
    }

    private double countedValue(double now, String caller, double value) {
        CallerValue callerValue = valueByCaller.computeIfAbsent(caller, name -> new CallerValue());
        decay(callerValue, now);
        decay(total, now);
        callerValue.value += value;
        total.value += value;
        double otherValue = total.value - callerValue.value;
        // A single caller may use the total value; otherwise its limit is its share of the sum over all callers.
        double allowed = settings.share() >= 1 || otherValue <= 0
                ? callerValue.value
                : otherValue * settings.share() / (1 - settings.share());
        return callerValue.value <= allowed ? value : value * allowed / callerValue.value;
    }

    private static void decay(CallerValue callerValue, double now) {
        callerValue.value *= Math.exp(-Math.max(0, now - callerValue.updatedAt) / CLAIM_DECAY_MS);
        callerValue.updatedAt = now;
    }
}
