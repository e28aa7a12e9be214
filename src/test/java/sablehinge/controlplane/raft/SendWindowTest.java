package sablehinge.controlplane.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits of {@link SendWindow} and {@link RecentEntries}. */
class SendWindowTest {

    private final SendWindow window = new SendWindow();

    @Test
    void permitsOneMessageOfAnySizeAndMoreUpToTheWindow() {
        assertTrue(window.isOpen());
        window.onSent(0, 1, 1, 10 * SendWindow.MAX_BYTES);
        assertFalse(window.isOpen());
        window.onAcknowledged(200, 1, 1);
        assertTrue(window.isOpen());
        window.onSent(200, 1, 2, SendWindow.INITIAL_BYTES - 1);
        assertTrue(window.isOpen());
        window.onSent(200, 1, 3, 1);
        assertFalse(window.isOpen());
        window.onAcknowledged(400, 2, 1);
        assertTrue(window.isOpen());
        assertFalse(window.isEmpty());
    }

    @Test
    void limitsNumberOfSmallMessages() {
        for (int i = 1; i <= SendWindow.MAX_MESSAGES; i++) {
            assertTrue(window.isOpen());
            window.onSent(0, 1, i, 0);
        }
        assertFalse(window.isOpen());
    }

    @Test
    void adaptsWindowToResponseTime() {
        for (int i = 1; i <= 20; i++) {
            window.onSent(i, 1, i, 1);
            window.onAcknowledged(i + 450, i, 1);
        }
        window.onSent(0, 1, 21, SendWindow.MIN_BYTES);
        assertFalse(window.isOpen());
        window.onAcknowledged(1, 21, 1);
        for (int i = 22; i <= 40; i++) {
            window.onSent(i, 1, i, 1);
            window.onAcknowledged(i + 1, i, 1);
        }
        window.onSent(0, 1, 41, SendWindow.MAX_BYTES - 1);
        assertTrue(window.isOpen());
        window.onSent(0, 1, 42, 1);
        assertFalse(window.isOpen());
    }

    @Test
    void discardsUnacknowledgedMessagesWhenLaterRoundIsSeen() {
        window.onSent(0, 7, 5, SendWindow.MAX_BYTES);
        window.onAcknowledged(10, 4, 7);
        assertFalse(window.isOpen(), "it may still be in flight");
        window.onAcknowledged(20, 4, 8);
        assertTrue(window.isEmpty());
    }

    @Test
    void doublesTimeoutWhenNothingIsAcknowledged() {
        window.onSent(0, 1, 1, SendWindow.MAX_BYTES);
        window.expire(SendWindow.INITIAL_TIMEOUT_MS - 1);
        assertFalse(window.isEmpty());
        window.expire(SendWindow.INITIAL_TIMEOUT_MS);
        assertTrue(window.isEmpty());
        window.onSent(0, 1, 1, SendWindow.MAX_BYTES);
        window.expire(2 * SendWindow.INITIAL_TIMEOUT_MS - 1);
        assertFalse(window.isEmpty());
        for (int i = 0; i < 20; i++) {
            window.expire(Double.MAX_VALUE);
            window.onSent(0, 1, 1, 1);
        }
        window.expire(SendWindow.MAX_TIMEOUT_MS);
        assertTrue(window.isEmpty());
    }

    private static Entry entry(long index, int bytes) {
        return new Entry(index, 1, Entry.Kind.COMMAND, new byte[bytes]);
    }

    @Test
    void limitsRecentEntriesByNumberAndBytes() {
        RecentEntries recent = new RecentEntries();
        assertFalse(recent.contains(0));
        for (int i = 1; i <= RecentEntries.MAX_ENTRIES + 10; i++) {
            recent.add(List.of(entry(i, 1)), RecentEntries.MAX_CAPACITY_BYTES);
        }
        assertFalse(recent.contains(10));
        assertTrue(recent.contains(11));
        assertEquals(11, recent.entry(11).index());
        assertTrue(recent.contains(RecentEntries.MAX_ENTRIES + 10));
        assertFalse(recent.contains(RecentEntries.MAX_ENTRIES + 11));
        recent.add(
                List.of(entry(RecentEntries.MAX_ENTRIES + 11, RecentEntries.MAX_CAPACITY_BYTES)),
                2 * RecentEntries.MAX_CAPACITY_BYTES);
        assertFalse(recent.contains(RecentEntries.MAX_ENTRIES + 10));
        assertTrue(recent.contains(RecentEntries.MAX_ENTRIES + 11));
        recent.add(
                List.of(entry(RecentEntries.MAX_ENTRIES + 12, RecentEntries.MAX_CAPACITY_BYTES + 1)),
                2 * RecentEntries.MAX_CAPACITY_BYTES);
        assertFalse(recent.contains(RecentEntries.MAX_ENTRIES + 12));
        recent.add(
                List.of(entry(RecentEntries.MAX_ENTRIES + 13, 80_000), entry(RecentEntries.MAX_ENTRIES + 14, 80_000)),
                100_000);
        assertFalse(recent.contains(RecentEntries.MAX_ENTRIES + 13), "the snapshot is smaller than both");
        assertTrue(recent.contains(RecentEntries.MAX_ENTRIES + 14));
        recent.add(List.of(entry(RecentEntries.MAX_ENTRIES + 15, RecentEntries.MIN_CAPACITY_BYTES)), 0);
        assertTrue(recent.contains(RecentEntries.MAX_ENTRIES + 15));
        recent.clear();
        assertFalse(recent.contains(RecentEntries.MAX_ENTRIES + 15));
    }
}
