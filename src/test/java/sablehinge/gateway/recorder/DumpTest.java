package sablehinge.gateway.recorder;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.dataplane.proxy.TraceEvent;

/** Tests that dumps are read as they were written, or rejected. */
class DumpTest {

    @TempDir
    private Path folder;

    private static Dump dump(long atMillis) {
        long[] micros = new long[1];
        Ring ring = new Ring(1 << 12);
        FlightRecorder recorder = new FlightRecorder(ring, () -> (micros[0] += 10) * 1_000);
        recorder.note(TraceEvent.CALLER_OPENED, 5, 0, 0);
        recorder.note(TraceEvent.REQUEST, 5, 0, 0);
        recorder.note(TraceEvent.ARRIVED, 0, 77, 2);
        recorder.note(TraceEvent.CHOSEN, 0, 77, -3);
        recorder.note(TraceEvent.REUSED, 9, 0, -3);
        recorder.note(TraceEvent.FIRST_BYTE, 9, 0, 0);
        recorder.note(TraceEvent.PROBED, 0, 0, 4);
        recorder.note(TraceEvent.CONNECTING, 10, 0, 4);
        recorder.note(TraceEvent.KEPT, 5, 0, Long.MAX_VALUE);
        return Dump.of(ring, "n", atMillis, 100, "UNREAD", "what \"was\" seen", "a\nb");
    }

    @Test
    void readsDumpAsWritten() throws IOException {
        Dump dump = dump(1_000);
        assertEquals(dump, Dump.read(dump.bytes()));
        // Each event has its own time, also if several are recorded within one call.
        assertEquals(
                List.of(10L, 20L, 30L, 40L, 50L, 60L, 70L, 80L, 90L),
                dump.events().stream().map(Dump.Event::micros).toList());
    }

    /** Events of the proxy and of connections are assigned to the same request. */
    @Test
    void joinsEventsOfRequestsAndConnections() {
        Timeline timeline = new Timeline(dump(1_000));
        assertEquals(
                List.of("ARRIVED", "CHOSEN", "REUSED", "FIRST_BYTE", "KEPT"),
                timeline.steps(77, 0).stream().map(step -> step.event().name()).toList());
        assertEquals(
                List.of("CONNECTING"),
                timeline.steps(0, 10).stream().map(step -> step.event().name()).toList());
        assertEquals(0, timeline.steps(0, 10).get(0).exchange());
        assertEquals(
                List.of("request", "moving"),
                timeline.spans(9).stream().map(Timeline.Span::state).toList());
        assertTrue(TimelinePage.of(timeline).contains("connection 10"));
    }

    /** A dump that is truncated or has a flipped bit is rejected with the offset. */
    @Test
    void rejectsDamagedDump() throws IOException {
        byte[] complete = dump(1_000).bytes();
        Random random = new Random(1);
        for (int i = 0; i < complete.length; i++) {
            byte[] cut = Arrays.copyOf(complete, i);
            assertTrue(assertThrows(IOException.class, () -> Dump.read(cut))
                    .getMessage()
                    .startsWith("at offset "));
            byte[] flipped = complete.clone();
            flipped[i] ^= (byte) (1 << random.nextInt(8));
            assertTrue(assertThrows(IOException.class, () -> Dump.read(flipped))
                    .getMessage()
                    .contains("expected"));
        }
    }

    /** The oldest dumps and the partial dump of a dead process are deleted. */
    @Test
    void retainsMaximumNumberOfDumps() throws IOException {
        Files.writeString(folder.resolve("000000000000001-hung.part"), "half");
        Files.writeString(folder.resolve("notes.txt"), "not ours");
        DumpDirectory dumps = new DumpDirectory(folder, 2);
        for (long at = 1; at <= 4; at++) {
            dumps.write(dump(at));
        }
        try (Stream<Path> files = Files.list(folder)) {
            assertArrayEquals(
                    new String[] {"000000000000003-unread.flight", "000000000000004-unread.flight", "notes.txt"},
                    files.map(file -> file.getFileName().toString()).sorted().toArray());
        }
    }

    /** A failed write loses the new dump but none of the older ones. */
    @Test
    void failedWriteKeepsOlderDumps() throws IOException {
        DumpDirectory dumps = new DumpDirectory(folder, 1);
        dumps.write(dump(1));
        // Occupies the path of the next partial dump.
        Files.createDirectories(folder.resolve("000000000000002-unread.part").resolve("in the way"));
        assertThrows(IOException.class, () -> dumps.write(dump(2)));
        assertEquals(dump(1), Dump.read(Files.readAllBytes(folder.resolve("000000000000001-unread.flight"))));
    }
}
