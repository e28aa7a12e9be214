package sablehinge.dataplane.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.dataplane.budget.HeaderText.Kind;

/** Tests the header encoding of budgets and reports, with valid and forged headers. */
class HeaderTextTest {

    private static final byte[] OLD = "an old secret of some length".getBytes();
    private static final byte[] NEW = "the next secret, as long again".getBytes();
    private static final long MAX_ID = 0xffff_ffff_ffffL;

    private static Keys keys(Object... namesAndSecrets) {
        Map<String, byte[]> secrets = new LinkedHashMap<>();
        for (int i = 0; i < namesAndSecrets.length; i += 2) {
            secrets.put((String) namesAndSecrets[i], (byte[]) namesAndSecrets[i + 1]);
        }
        return new Keys(secrets);
    }

    @Property(tries = 500)
    void readsWrittenHeadersWithoutIncreasingValues(
            @ForAll long grant,
            @ForAll @IntRange(max = 10_000) int attempts,
            @ForAll @DoubleRange(max = 3_600_000) double remaining,
            @ForAll @DoubleRange(max = 1e9) double value,
            @ForAll @Size(max = 16) List<@LongRange(max = MAX_ID) Long> path,
            @ForAll boolean signed) {
        HeaderText codec = new HeaderText(signed ? keys("a", OLD) : null);
        Budget budget = new Budget(grant, attempts, remaining, value, path);
        String written = codec.write(budget);
        assertTrue(written.length() <= HeaderText.MAX_CHARS, written);
        HeaderText.Found<Budget> found = codec.readBudget(written);
        assertEquals(Kind.READ, found.kind(), written);
        Budget read = found.value();
        assertEquals(List.of(grant, (long) attempts), List.of(read.grant(), (long) read.attempts()));
        assertEquals(path, read.path());
        assertTrue(read.remaining() <= remaining && read.remaining() > remaining - 0.002);
        assertTrue(read.value() <= value && read.value() > value - 0.002);
        Report report = new Report(grant, attempts, attempts % 2 == 0);
        assertEquals(report, codec.readReport(codec.write(report)).value());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "v=2;g=0000000000000001;n=1;t=1.000;w=1.000;p=",
                "v=1;g=1;n=1;t=1.000;w=1.000;p=",
                "v=1;g=0000000000000001;n=-1;t=1.000;w=1.000;p=",
                "v=1;g=0000000000000001;n=10001;t=1.000;w=1.000;p=",
                "v=1;g=0000000000000001;n=1;t=NaN;w=1.000;p=",
                "v=1;g=0000000000000001;n=1;t=1e9;w=1.000;p=",
                "v=1;g=0000000000000001;n=1;t=9999999999;w=1;p=",
                "v=1;g=0000000000000001;n=1;t=1;w=9999999999;p=",
                "v=1;g=0000000000000001;n=1;t=1;w=1;p=zz",
                "v=1;g=0000000000000001;n=1;t=1;w=1;p=aabbccddeeff.",
                "v=1;g=0000000000000001;n=1;t=1;w=1;p=;x=1",
                "v=1;g=0000000000000001;n=1;n=99;t=1;w=1;p="
            })
    void rejectsMalformedHeaders(String text) {
        assertEquals(Kind.UNREADABLE, new HeaderText(null).readBudget(text).kind(), text);
        assertEquals(
                Kind.FORGED, new HeaderText(keys("a", OLD)).readBudget(text).kind(), text);
    }

    @Test
    void rejectsTooLongHeadersAndReportsMissingOnes() {
        HeaderText codec = new HeaderText(null);
        assertEquals(
                Kind.UNREADABLE,
                codec.readBudget("v=1;" + "x".repeat(HeaderText.MAX_CHARS)).kind());
        assertEquals(Kind.MISSING, codec.readBudget(null).kind());
        assertEquals(Kind.MISSING, codec.readReport(null).kind());
    }

    /** Changes any single character of a signed header. */
    @Test
    void detectsModifiedHeaders() {
        HeaderText codec = new HeaderText(keys("a", OLD));
        Random random = new Random(11);
        String written = codec.write(new Budget(7, 8, 900, 2, List.of(1L, 2L)));
        for (int i = 0; i < 2_000; i++) {
            int at = random.nextInt(written.length());
            char other = "0123456789abcdef;=.ktwp".charAt(random.nextInt(23));
            String changed = written.substring(0, at) + other + written.substring(at + 1);
            if (!changed.equals(written)) {
                assertEquals(Kind.FORGED, codec.readBudget(changed).kind(), changed);
            }
        }
        // A report is not a valid budget, even though it is signed with the same key.
        assertNotEquals(
                Kind.READ, codec.readBudget(codec.write(new Report(7, 8, true))).kind());
    }

    /** Zones rotate keys one after another, and all headers stay readable meanwhile. */
    @Test
    void acceptsHeadersDuringKeyRotation() {
        Budget budget = new Budget(7, 8, 900, 2, List.of());
        HeaderText before = new HeaderText(keys("a", OLD));
        HeaderText verifiesNew = new HeaderText(keys("a", OLD, "b", NEW));
        HeaderText signsNew = new HeaderText(keys("b", NEW, "a", OLD));
        HeaderText after = new HeaderText(keys("b", NEW));
        assertEquals(Kind.READ, verifiesNew.readBudget(before.write(budget)).kind());
        assertEquals(Kind.READ, signsNew.readBudget(verifiesNew.write(budget)).kind());
        assertEquals(Kind.READ, verifiesNew.readBudget(signsNew.write(budget)).kind());
        assertEquals(Kind.READ, after.readBudget(signsNew.write(budget)).kind());
        assertEquals(Kind.FORGED, after.readBudget(before.write(budget)).kind());
        assertEquals(Kind.FORGED, before.readBudget(after.write(budget)).kind());
    }

    @Test
    void rejectsInvalidKeys() {
        assertThrows(IllegalArgumentException.class, () -> keys());
        assertThrows(IllegalArgumentException.class, () -> keys("a", new byte[15]));
        assertThrows(IllegalArgumentException.class, () -> keys("a;b", OLD));
    }

    @Test
    void rejectsBudgetsOutOfRange() {
        List<Long> path = new ArrayList<>(java.util.Collections.nCopies(17, 1L));
        assertThrows(IllegalArgumentException.class, () -> new Budget(1, 1, 1, 1, path));
        assertThrows(IllegalArgumentException.class, () -> new Budget(1, -1, 1, 1, List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Budget(1, 1, Double.NaN, 1, List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Budget(1, 1, 1, -1, List.of()));
    }
}
