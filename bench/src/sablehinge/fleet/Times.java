package sablehinge.fleet;

import java.util.Arrays;

/** Times after an event, in ms; who came to no end of it is counted apart. */
record Times(double p50, double p99, double most, int missing) {

    /** The times of some that reached a state at those moments, NaN where they did not. */
    static Times since(double event, double[] reachedAt) {
        double[] reached = Arrays.stream(reachedAt)
                .filter(at -> !Double.isNaN(at))
                .map(at -> at - event)
                .sorted()
                .toArray();
        int missing = reachedAt.length - reached.length;
        if (reached.length == 0) {
            return new Times(Double.NaN, Double.NaN, Double.NaN, missing);
        }
        return new Times(at(reached, 0.5), at(reached, 0.99), reached[reached.length - 1], missing);
    }

    /** The least of the sorted values that so large a part does not exceed. */
    private static double at(double[] sorted, double part) {
        return sorted[(int) Math.max(0, Math.ceil(part * sorted.length) - 1)];
    }
}
