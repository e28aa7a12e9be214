package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.sidecar.UpdateFilter.Verdict;
import sablehinge.mesh.watch.Update;

/** Which updates a balancer takes. */
class UpdateFilterTest {

    private final UpdateFilter filter = new UpdateFilter();

    private Verdict judge(long term, boolean confirmed) {
        return judge(400, term, confirmed);
    }

    private Verdict judge(double ageMs, long term, boolean confirmed) {
        return filter.judge(
                ageMs, new Update(1, confirmed, 4, new byte[] {1}, term, 1, true, true, 1, List.of(), List.of()));
    }

    @Test
    void aProcessThatHasJustStartedTakesNothingThatIsNotConfirmed() {
        assertEquals(Verdict.ASK_AGAIN, judge(3, false));
        assertEquals(Verdict.TAKE, judge(3, true));
        assertEquals(Verdict.TAKE, judge(3, false));
    }

    @Test
    void whoeverLedAnEarlierTermIsLeft() {
        judge(5, true);
        assertEquals(Verdict.DEPOSED, judge(4, false));
        assertEquals(Verdict.TAKE, judge(6, false));
        assertEquals(Verdict.DEPOSED, judge(5, false));
    }

    /** They were confirmed when they were requested, and waited in a buffer since. */
    @Test
    void newsThatWaitedWhileTheProcessStoodStillAreAskedForAgain() {
        assertEquals(Verdict.ASK_AGAIN, judge(20_000, 3, true));
        assertEquals(Verdict.ASK_AGAIN, judge(400, 3, false));
        assertEquals(Verdict.TAKE, judge(400, 3, true));
        assertEquals(Verdict.ASK_AGAIN, judge(1_501, 3, true));
    }

    /** A majority has confirmed that it leads: the core was founded anew. */
    @Test
    void aLeaderThatIsConfirmedIsNotDeposed() {
        judge(5, true);
        assertEquals(Verdict.TAKE, judge(2, true));
        assertEquals(Verdict.TAKE, judge(2, false));
    }
}
