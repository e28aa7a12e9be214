package sablehinge.policy;

/** Exponential moving average whose first samples weigh more; the gain falls to a constant minimum. */
final class Mean {

    private final double minGain;
    private double value;
    private double gain = 0.5;

    Mean(double first, double minGain) {
        value = first;
        this.minGain = minGain;
    }

    double value() {
        return value;
    }

    void add(double sample) {
        value += gain * (sample - value);
        gain = Math.max(minGain, gain / (1 + gain));
    }
}
