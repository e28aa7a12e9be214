package sablehinge.policy;

/** An average that forgets: its first samples weigh more, down to a steady gain. */
final class Mean {

    private final double leastGain;
    private double value;
    private double gain = 0.5;

    Mean(double first, double leastGain) {
        value = first;
        this.leastGain = leastGain;
    }

    double value() {
        return value;
    }

    void add(double sample) {
        value += gain * (sample - value);
        gain = Math.max(leastGain, gain / (1 + gain));
    }
}
