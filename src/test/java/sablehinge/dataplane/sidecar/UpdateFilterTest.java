package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.sidecar.UpdateFilter.Verdict;
import sablehinge.mesh.watch.Update;

/** Which updates a sidecar accepts. */
class UpdateFilterTest {

    private final UpdateFilter filter = new UpdateFilter();

    private Verdict evaluate(long term, boolean confirmed) {
        return evaluate(400, term, confirmed);
    }

    private Verdict evaluate(double ageMs, long term, boolean confirmed) {
        return filter.evaluate(
                ageMs, new Update(1, confirmed, 4, new byte[] {1}, term, 1, true, true, 1, List.of(), List.of()));
    }

    @Test
    void rejectsUnconfirmedUpdateAfterStart() {
        assertEquals(Verdict.ASK_AGAIN, evaluate(3, false));
        assertEquals(Verdict.TAKE, evaluate(3, true));
        assertEquals(Verdict.TAKE, evaluate(3, false));
    }

    @Test
    void rejectsLeaderOfEarlierTerm() {
        evaluate(5, true);
        assertEquals(Verdict.DEPOSED, evaluate(4, false));
        assertEquals(Verdict.TAKE, evaluate(6, false));
        assertEquals(Verdict.DEPOSED, evaluate(5, false));
    }

    /** The updates were confirmed when they were requested, but were delayed in a buffer since. */
    @Test
    void requestsUpdateAgainIfItWasDelayed() {
        assertEquals(Verdict.ASK_AGAIN, evaluate(20_000, 3, true));
        assertEquals(Verdict.ASK_AGAIN, evaluate(400, 3, false));
        assertEquals(Verdict.TAKE, evaluate(400, 3, true));
        assertEquals(Verdict.ASK_AGAIN, evaluate(1_501, 3, true));
    }

    /** A majority has confirmed the leader: the control plane was bootstrapped again. */
    @Test
    void acceptsConfirmedLeaderOfLowerTerm() {
        evaluate(5, true);
        assertEquals(Verdict.TAKE, evaluate(2, true));
        assertEquals(Verdict.TAKE, evaluate(2, false));
    }
}
