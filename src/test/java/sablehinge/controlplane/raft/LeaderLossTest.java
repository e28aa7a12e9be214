package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** After each loss of the leader the core agrees again, and is complete again, within the operators' bounds. */
class LeaderLossTest {

    /** The smallest {@code contactMs} and {@code onboardS} of the deployments, in ms. */
    private static final double CONTACT_MS = 3_000;

    private static final double ONBOARD_MS = 4_000;
    private static final int SEEDS = 20;

    @ParameterizedTest
    @EnumSource
    void theCoreGoesOnWithinContactMsAndIsWholeWithinOnboard(LeaderLoss.Kind kind) {
        for (int size : new int[] {3, 5}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                String which = kind + " of " + size + ", seed " + seed;
                LeaderLoss.Outcome outcome = new LeaderLoss(seed, size).play(kind);
                assertTrue(outcome.unled() < CONTACT_MS, which + ": " + outcome.unled() + " ms");
                assertTrue(outcome.back() < ONBOARD_MS, which + ": " + outcome.back() + " ms to strength");
            }
        }
    }
}
