package sablehinge.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.state.ConfigurationState.Outcome;

/** What becomes of configurations as they are committed, and what of that outlives a snapshot. */
class ConfigurationStateTest {

    private static final long AT = 1_000;
    private final ConfigurationState configurations = new ConfigurationState();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Outcome send(ConfigurationState to, long basedOn, long edition, String body) {
        Outcome foreseen = to.foresee(basedOn, edition, bytes(body));
        Outcome outcome = to.apply(ConfigurationState.replace(basedOn, edition, bytes(body), AT + edition));
        assertEquals(foreseen, outcome);
        return outcome;
    }

    private Outcome send(long basedOn, long edition, String body) {
        return send(configurations, basedOn, edition, body);
    }

    @Test
    void ofTwoOnOneVersionTheFirstIsTakenAndTheOtherStale() {
        assertEquals(Outcome.TAKEN, send(0, 3, "a"));
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(3, configurations.edition());
        assertArrayEquals(bytes("a"), configurations.body());
    }

    @Test
    void theSameEditionWithOtherBytesIsNoRepetition() {
        send(0, 3, "a");
        assertEquals(Outcome.STALE, send(0, 3, "b"));
        assertEquals(Outcome.OLD, send(3, 3, "b"));
        assertArrayEquals(bytes("a"), configurations.body());
    }

    @Test
    void aCallThatWasTakenIsRepeatedHoweverManyCameAfterIt() {
        send(0, 3, "a");
        assertEquals(Outcome.REPEATED, send(0, 3, "a"));
        send(3, 8, "b");
        send(8, 9, "c");
        assertEquals(Outcome.REPEATED, send(0, 3, "a"));
        assertEquals(Outcome.REPEATED, send(3, 8, "b"));
        assertEquals(9, configurations.edition());
        assertArrayEquals(bytes("c"), configurations.body());
    }

    @Test
    void whatWasRefusedIsNoRepetitionLater() {
        send(0, 3, "a");
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(Outcome.TAKEN, send(3, 5, "b"));
    }

    @Test
    void anEditionThatIsNotAboveTheCurrentOneIsOld() {
        send(0, 6, "a");
        assertEquals(Outcome.OLD, send(6, 6, "b"));
        assertEquals(Outcome.OLD, send(6, 2, "b"));
        assertEquals(Outcome.TAKEN, send(6, 7, "b"));
    }

    @Test
    void aStateThatIsTakenOverIsTheSameInEachByteAndAnswersAlike() {
        send(0, 3, "a");
        send(3, 8, "bb");
        ConfigurationState other = new ConfigurationState();
        send(other, 0, 1, "of another life");
        other.restore(configurations.state());
        assertArrayEquals(configurations.state(), other.state());
        assertEquals(8, other.edition());
        assertArrayEquals(bytes("bb"), other.body());
        assertEquals(Outcome.REPEATED, send(other, 0, 3, "a"));
        assertEquals(Outcome.STALE, send(other, 0, 1, "of another life"));
    }

    @Test
    void aSnapshotFromTheMiddleAndTheRestOfTheLogGiveTheSameAnswersAsTheWholeLog() {
        send(0, 3, "a");
        send(3, 8, "b");
        byte[] middle = configurations.state();
        send(8, 9, "c");
        ConfigurationState later = new ConfigurationState();
        later.restore(middle);
        assertEquals(Outcome.TAKEN, send(later, 8, 9, "c"));
        assertArrayEquals(configurations.state(), later.state());
        assertEquals(Outcome.REPEATED, send(later, 0, 3, "a"));
        assertEquals(Outcome.REPEATED, send(later, 3, 8, "b"));
        assertEquals(Outcome.REPEATED, send(later, 8, 9, "c"));
    }

    @Test
    void noBytesAreTheStateBeforeAnyConfiguration() {
        send(0, 3, "a");
        configurations.restore(new byte[0]);
        assertEquals(0, configurations.edition());
        assertEquals(0, configurations.body().length);
        assertEquals(Outcome.TAKEN, send(0, 3, "b"));
    }

    @Test
    void aStateThatIsCutShortOrOfAnotherFormatIsRefused() {
        send(0, 3, "a");
        byte[] state = configurations.state();
        for (int length = 1; length < state.length; length++) {
            byte[] part = Arrays.copyOf(state, length);
            assertThrows(RuntimeException.class, () -> new ConfigurationState().restore(part), "of "
                    + length);
        }
        state[0]++;
        assertThrows(IllegalArgumentException.class, () -> new ConfigurationState().restore(state));
    }

    private static List<String> history(ConfigurationState of) {
        List<String> history = new ArrayList<>();
        of.read((edition, basedOn, at, length, sum) -> history.add(edition + " on " + basedOn + " at " + at
                + ", " + length + " bytes"));
        return history;
    }

    @Test
    void editionsAreToldWithWhatTheyWereBasedOnAndWhenAlsoAfterASnapshot() {
        send(0, 3, "a");
        send(0, 5, "refused");
        send(3, 8, "bb");
        send(0, 3, "a");
        ConfigurationState other = new ConfigurationState();
        other.restore(configurations.state());
        assertEquals(List.of("3 on 0 at 1003, 1 bytes", "8 on 3 at 1008, 2 bytes"), history(other));
    }

    /** What members of before wrote: a command without a time, and a state that tells editions alone. */
    @Test
    void theFormatsOfBeforeAreReadAndSayNothingOfTimes() {
        byte[] command = ConfigurationState.replace(0, 3, bytes("a"), AT);
        configurations.apply(Arrays.copyOf(command, command.length - Long.BYTES));
        assertEquals(List.of("3 on 0 at -1, 1 bytes"), history(configurations));
        byte[] state = configurations.state();
        byte[] before = Arrays.copyOf(state, state.length - 2 * Long.BYTES);
        before[0] = 1;
        ConfigurationState other = new ConfigurationState();
        other.restore(before);
        assertEquals(List.of("3 on -1 at -1, 1 bytes"), history(other));
        assertEquals(Outcome.REPEATED, send(other, 0, 3, "a"));
        assertEquals(Outcome.TAKEN, send(other, 3, 4, "b"));
    }

    @Test
    void whatIsKeptOfTheEditionsOfThePastIsBounded() {
        for (int i = 1; i <= 2_001; i++) {
            send(i - 1, i, "body");
        }
        assertEquals(Outcome.STALE, send(0, 1, "body"));
        assertEquals(Outcome.REPEATED, send(1, 2, "body"));
    }
}
