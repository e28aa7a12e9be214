package sablehinge.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.torture.MutantLoader;

/** The checker of the agreement: that it is quiet on what is right, and finds and tells what is not. */
class QuorumTest {

    private static final int LONGEST = 60;
    /** Faults of each of the points that can go wrong. */
    private static final int LEAST_FAULTS = 8;

    /** A founder that lost its founding, votes, loses power, and is asked by another in the same term. */
    private static final String NAME_ONLY = """
            seed 0
            sync b
            sync c
            power a 0
            start a         # it has its name and no log
            tick b 500
            tick c 0
            deliver b a 0
            deliver c a 0
            deliver a b 0
            deliver a c 0
            sync b
            sync c
            deliver b a 0
            sync a          # its vote for b
            deliver a b 0
            power a 0
            start a
            deliver c a 0
            sync a
            deliver a c 0
            """;

    @Test
    void nothingBreaksAndThereIsWork() {
        Tally tally = new Tally();
        assertEquals(List.of(), Hunt.byChance(1, 400, 1, tally));
        assertEquals(List.of(), EveryOrder.all(1, tally));
        assertTrue(tally.schedules.sum() > 600, tally.schedules + " schedules");
        assertTrue(tally.acknowledged.sum() > 1000, tally.acknowledged + " promises");
        assertTrue(tally.changes.sum() > 30, tally.changes + " changes of members");
    }

    @ParameterizedTest
    @ValueSource(strings = {"two votes in a term", "entries are acknowledged before their sync",
        "who lost its disk comes back as its old self"})
    void aFaultIsFoundAndCutShort(String name) throws Exception {
        Fault fault = Faults.ALL.stream().filter(one -> one.name().equals(name)).findAny().orElseThrow();
        String[] first = hunt(fault);
        assertArrayEquals(first, hunt(fault), "another verdict");
        Script script = Script.parse(first[0].lines().toList());
        assertEquals(first[0], script.toString());
        assertTrue(script.steps().size() <= LONGEST, first[0]);
        assertNull(script.breach(), "the fault, not the checker, broke it");
    }

    @Test
    void everyFaultHasItsPlaceAndEveryPointItsFaults() throws Exception {
        Map<Fault.Point, Integer> counts = new EnumMap<>(Fault.Point.class);
        for (Fault fault : Faults.ALL) {
            Path file = Path.of("src/main/java/sablehinge/" + fault.mutant().in() + ".java");
            String source = Files.readString(file);
            assertNotEquals(source, fault.mutant().applied(source), fault.name());
            counts.merge(fault.point(), 1, Integer::sum);
        }
        assertEquals(Faults.ALL.size(), Faults.ALL.stream().map(Fault::name).distinct().count());
        for (Fault.Point point : List.of(Fault.Point.CUT_OFF, Fault.Point.ORDERS, Fault.Point.MEMBERSHIP,
                Fault.Point.SNAPSHOTS)) {
            assertTrue(counts.get(point) >= LEAST_FAULTS, point + " has " + counts.get(point));
        }
    }

    private static String[] hunt(Fault fault) throws Exception {
        return (String[]) MutantLoader.of(fault.mutant(), Path.of("src/main/java")).loadClass(Hunt.class.getName())
                .getMethod("hunt", String.class, int.class, int.class)
                .invoke(null, fault.point().focus().name(), 100, 0);
    }

    @Test
    void whoHasNoLogKeepsItsVote() {
        assertNull(Script.parse(NAME_ONLY.lines().toList()).breach());
    }

    @Test
    void aLineThatIsNoStepIsNamed() {
        assertEquals("line 2: no step is called 'syncs'", assertThrows(IllegalArgumentException.class,
                () -> Script.parse(List.of("seed 1", "syncs a"))).getMessage());
        assertEquals("line 2: 'deliver a b': expected 2 machines and a number", assertThrows(
                IllegalArgumentException.class, () -> Script.parse(List.of("seed 1", "deliver a b")))
                .getMessage());
        assertEquals("line 1: expected 'seed NUMBER' before the first step", assertThrows(
                IllegalArgumentException.class, () -> Script.parse(List.of("sync a"))).getMessage());
    }
}
