package sablehinge.torture;

import java.util.SplittableRandom;

/** The chances of one party: each has its own, so that a play from which another is left out stays the same. */
final class Dice {

    private final SplittableRandom random;

    /** Those of one party, by the seed of the play and what the party is called there. */
    Dice(long seed, Object... party) {
        random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L ^ java.util.Arrays.hashCode(party));
        // Neighbouring seeds give neighbouring first numbers.
        random.nextLong();
    }

    int nextInt() {
        return random.nextInt();
    }

    int nextInt(int below) {
        return random.nextInt(below);
    }

    double nextDouble() {
        return random.nextDouble();
    }

    boolean chance(int oneIn) {
        return random.nextInt(oneIn) == 0;
    }

    /** A size from low to high, as often of each order of magnitude. */
    int size(int low, int high) {
        return (int)
                Math.min(high, Math.exp(Math.log(low) + random.nextDouble() * (Math.log(high + 1.0) - Math.log(low))));
    }

    /** How many bytes are there at once. */
    int portion() {
        return chance(3) ? size(1, 16) : size(16, 65_536);
    }

    SplittableRandom split() {
        return random.split();
    }
}
