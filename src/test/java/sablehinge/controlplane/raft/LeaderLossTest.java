package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** After each kind of leader loss the core commits again, and is complete again, within the limits of the operators. */
class LeaderLossTest {

    /** Smallest {@code contactMs} and smallest {@code onboardS} of the deployments, in ms. */
    private static final double CONTACT_MS = 3_000;

    private static final double ONBOARD_MS = 4_000;
    private static final int SEEDS = 20;

    @ParameterizedTest
    @EnumSource
    void commitsWithinContactTimeAndIsCompleteWithinOnboardingTimeAfterLeaderLoss(LeaderLoss.Kind kind) {
        for (int size : new int[] {3, 5}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                String description = kind + " of " + size + ", seed " + seed;
                LeaderLoss.Outcome outcome = new LeaderLoss(seed, size).play(kind);
                assertTrue(outcome.unled() < CONTACT_MS, description + ": " + outcome.unled() + " ms");
                assertTrue(outcome.back() < ONBOARD_MS, description + ": " + outcome.back() + " ms until complete");
            }
        }
    }
}
