package sablehinge.controlplane.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.state.ConfigurationState.Outcome;

/** Outcomes of committed commands, the history of accepted editions, and the encoded state. */
class ConfigurationStateTest {

    private static final long PROPOSED_AT = 1_000;
    private final ConfigurationState configurations = new ConfigurationState();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Outcome send(ConfigurationState state, long basedOn, long edition, String body) {
        Outcome expected = state.evaluate(basedOn, edition, bytes(body));
        Outcome outcome = state.apply(ConfigurationState.replace(basedOn, edition, bytes(body), PROPOSED_AT + edition));
        assertEquals(expected, outcome);
        return outcome;
    }

    private Outcome send(long basedOn, long edition, String body) {
        return send(configurations, basedOn, edition, body);
    }

    @Test
    void acceptsFirstOfTwoChangesOnSameBase() {
        assertEquals(Outcome.TAKEN, send(0, 3, "a"));
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(3, configurations.edition());
        assertArrayEquals(bytes("a"), configurations.body());
    }

    @Test
    void sameEditionWithDifferentBodyIsNotRepeated() {
        send(0, 3, "a");
        assertEquals(Outcome.STALE, send(0, 3, "b"));
        assertEquals(Outcome.OLD, send(3, 3, "b"));
        assertArrayEquals(bytes("a"), configurations.body());
    }

    @Test
    void acceptedChangeIsRepeatedAfterLaterChanges() {
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
    void rejectedChangeIsNotRepeated() {
        send(0, 3, "a");
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(Outcome.STALE, send(0, 5, "b"));
        assertEquals(Outcome.TAKEN, send(3, 5, "b"));
    }

    @Test
    void editionNotAboveCurrentIsOld() {
        send(0, 6, "a");
        assertEquals(Outcome.OLD, send(6, 6, "b"));
        assertEquals(Outcome.OLD, send(6, 2, "b"));
        assertEquals(Outcome.TAKEN, send(6, 7, "b"));
    }

    @Test
    void restoredStateIsIdenticalAndGivesSameOutcomes() {
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
    void snapshotWithRemainingLogEqualsFullLog() {
        send(0, 3, "a");
        send(3, 8, "b");
        byte[] middle = configurations.state();
        send(8, 9, "c");
        ConfigurationState restored = new ConfigurationState();
        restored.restore(middle);
        assertEquals(Outcome.TAKEN, send(restored, 8, 9, "c"));
        assertArrayEquals(configurations.state(), restored.state());
        assertEquals(Outcome.REPEATED, send(restored, 0, 3, "a"));
        assertEquals(Outcome.REPEATED, send(restored, 3, 8, "b"));
        assertEquals(Outcome.REPEATED, send(restored, 8, 9, "c"));
    }

    @Test
    void emptyStateIsStateBeforeAnyConfiguration() {
        send(0, 3, "a");
        configurations.restore(new byte[0]);
        assertEquals(0, configurations.edition());
        assertEquals(0, configurations.body().length);
        assertEquals(Outcome.TAKEN, send(0, 3, "b"));
    }

    @Test
    void rejectsTruncatedStateAndUnknownFormat() {
        send(0, 3, "a");
        byte[] state = configurations.state();
        for (int length = 1; length < state.length; length++) {
            byte[] truncated = Arrays.copyOf(state, length);
            assertThrows(
                    RuntimeException.class,
                    () -> new ConfigurationState().restore(truncated),
                    "truncated to " + length);
        }
        state[0]++;
        assertThrows(IllegalArgumentException.class, () -> new ConfigurationState().restore(state));
    }

    private static List<String> history(ConfigurationState state) {
        List<String> history = new ArrayList<>();
        state.read((edition, basedOn, proposedAt, length, digest) ->
                history.add(edition + " on " + basedOn + " at " + proposedAt + ", " + length + " bytes"));
        return history;
    }

    @Test
    void historyHasBaseAndTimeOfEachEditionAlsoAfterRestore() {
        send(0, 3, "a");
        send(0, 5, "refused");
        send(3, 8, "bb");
        send(0, 3, "a");
        ConfigurationState other = new ConfigurationState();
        other.restore(configurations.state());
        assertEquals(List.of("3 on 0 at 1003, 1 bytes", "8 on 3 at 1008, 2 bytes"), history(other));
    }

    /** Members of an older version write commands without a time. */
    @Test
    void appliesCommandWithoutTime() {
        byte[] command = ConfigurationState.replace(0, 3, bytes("a"), PROPOSED_AT);
        configurations.apply(Arrays.copyOf(command, command.length - Long.BYTES));
        assertEquals(List.of("3 on 0 at -1, 1 bytes"), history(configurations));
    }

    /** 64-bit FNV-1a hash of "a", which state formats 1 and 2 store with {@link Arrays#hashCode(byte[])}. */
    private static final long FNV_OF_A = 0xaf63dc4c8601ec8cL;

    private static byte[] stateOf(int format, int editions) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(format);
        out.writeLong(editions + 2);
        out.writeInt(1);
        out.writeByte('a');
        out.writeInt(editions);
        for (int edition = 3; edition < editions + 3; edition++) {
            out.writeLong(edition);
            out.writeInt(1);
            out.writeLong(FNV_OF_A);
            out.writeInt(Arrays.hashCode(bytes("a")));
            if (format == 2) {
                out.writeLong(edition - 1);
                out.writeLong(PROPOSED_AT);
            }
        }
        return bytes.toByteArray();
    }

    @Test
    void readsFormat1WithUnknownBasesAndTimes() throws IOException {
        configurations.restore(stateOf(1, 1));
        assertEquals(List.of("3 on -1 at -1, 1 bytes"), history(configurations));
        assertEquals(Outcome.REPEATED, send(2, 3, "a"));
        assertEquals(Outcome.STALE, send(2, 3, "b"));
        assertEquals(Outcome.TAKEN, send(3, 4, "b"));
    }

    @Test
    void readsFormat2AndWritesFormat3() throws IOException {
        configurations.restore(stateOf(2, 2));
        assertEquals(4, configurations.edition());
        assertEquals(Outcome.TAKEN, send(4, 6, "c"));
        byte[] state = configurations.state();
        assertEquals(3, state[0]);
        ConfigurationState other = new ConfigurationState();
        other.restore(state);
        assertArrayEquals(state, other.state());
        assertEquals(
                List.of("3 on 2 at 1000, 1 bytes", "4 on 3 at 1000, 1 bytes", "6 on 4 at 1006, 1 bytes"),
                history(other));
        assertEquals(Outcome.REPEATED, send(other, 2, 3, "a"));
        assertEquals(Outcome.STALE, send(other, 2, 3, "b"));
        assertEquals(Outcome.REPEATED, send(other, 4, 6, "c"));
    }

    /** A state of format 2 with a full history may have dropped editions without recording it. */
    @Test
    void editionPossiblyDroppedByFullFormat2StateIsForgotten() throws IOException {
        configurations.restore(stateOf(2, 2_000));
        assertEquals(Outcome.FORGOTTEN, send(0, 2, "a"));
        assertEquals(Outcome.REPEATED, send(2, 3, "a"));
        configurations.restore(stateOf(2, 1_999));
        assertEquals(Outcome.STALE, send(0, 2, "a"));
    }

    @Test
    void digestDistinguishesBodiesWithSameHashCode() {
        assertEquals(
                "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb",
                BodyDigest.of(bytes("a")).hex());
        // Both have the same Arrays.hashCode.
        assertEquals(Arrays.hashCode(bytes("Aa")), Arrays.hashCode(bytes("BB")));
        send(0, 3, "Aa");
        assertEquals(Outcome.REPEATED, send(0, 3, "Aa"));
        assertEquals(Outcome.STALE, send(0, 3, "BB"));
    }

    /** Otherwise two changes on the following edition could both be acknowledged: this one and a later one. */
    @Test
    void sameBodyOnDifferentBaseIsDifferentChange() {
        send(0, 3, "a");
        assertEquals(Outcome.OLD, send(3, 3, "a"));
        send(3, 8, "b");
        assertEquals(Outcome.STALE, send(3, 3, "a"));
        assertEquals(Outcome.OLD, send(8, 3, "a"));
        assertEquals(Outcome.REPEATED, send(0, 3, "a"));
    }

    /** Otherwise a delayed duplicate could be accepted after the change was rejected. */
    @Test
    void changeOnFutureEditionIsAhead() {
        assertEquals(Outcome.AHEAD, send(3, 8, "b"));
        send(0, 3, "a");
        assertEquals(Outcome.TAKEN, send(3, 8, "b"));
    }

    @Test
    void historyIsLimitedAndDroppedEditionsAreForgotten() {
        for (int i = 1; i <= 2_001; i++) {
            send(i - 1, i, "body");
        }
        assertEquals(Outcome.FORGOTTEN, send(0, 1, "body"));
        assertEquals(Outcome.FORGOTTEN, send(0, 1, "another"));
        assertEquals(Outcome.REPEATED, send(1, 2, "body"));
        assertEquals(Outcome.STALE, send(1, 2, "another"));
        ConfigurationState other = new ConfigurationState();
        other.restore(configurations.state());
        assertEquals(Outcome.FORGOTTEN, send(other, 0, 1, "body"));
        assertEquals(Outcome.REPEATED, send(other, 1, 2, "body"));
    }
}
