package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sablehinge.dataplane.sidecar.RegistryView.Outcome;
import sablehinge.mesh.watch.Registration;
import sablehinge.mesh.watch.Update;

/** The effect of updates on the registry. */
class RegistryViewTest {

    private final RegistryView registry = new RegistryView();

    @Test
    void ignoresUpdateOfEarlierTerm() {
        registry.apply(update(2, 7, true, true, "a"));

        assertEquals(Outcome.STALE, registry.apply(update(1, 9, true, true, "b")));

        assertEquals(Set.of("a"), registry.byNode().keySet());
        assertEquals(2, registry.term());
        assertEquals(7, registry.stamp());
    }

    @Test
    void removesRegistrationsMissingInCompleteUpdate() {
        registry.apply(update(1, 1, true, true, "a", "b"));

        assertEquals(Outcome.CHANGED, registry.apply(update(1, 2, true, true, "b")));

        assertEquals(Set.of("b"), registry.byNode().keySet());
        assertTrue(registry.isComplete());
    }

    @Test
    void keepsRegistrationsMissingInIncompleteUpdate() {
        registry.apply(update(1, 1, true, true, "a", "b"));

        registry.apply(update(2, 1, true, false, "b"));

        assertEquals(Set.of("a", "b"), registry.byNode().keySet());
    }

    @Test
    void reportsUnchangedUpdate() {
        registry.apply(update(1, 1, true, true, "a"));

        assertEquals(Outcome.UNCHANGED, registry.apply(update(1, 1, false, true)));

        assertEquals(Set.of("a"), registry.byNode().keySet());
    }

    private static Update update(long term, long stamp, boolean full, boolean complete, String... nodes) {
        List<Registration> registrations = Arrays.stream(nodes)
                .map(node -> new Registration(node, "z", "127.0.0.1:1", "s", "i-" + node, true, 4, 0))
                .toList();
        return new Update(1, true, 0, new byte[0], term, stamp, full, complete, 1, registrations, List.of());
    }
}
