package sablehinge.gateway.recorder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sablehinge.gateway.recorder.Alarm.Kind;

/** The thread beside the loop, with a clock that the test turns; the test's thread is the loop. */
@Timeout(60)
class WatchdogTest {

    @TempDir
    private Path folder;

    private final AtomicLong nanos = new AtomicLong();
    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();

    private Watchdog watchdog(Path into) {
        Watchdog watchdog = new Watchdog(
                new Ring(1 << 12), "n", nanos::get, 300, into == null ? null : new DumpFolder(into, 3), log::add);
        watchdog.start();
        return watchdog;
    }

    private void pass(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private String logged() throws InterruptedException {
        String line = log.poll(20, TimeUnit.SECONDS);
        assertNotNull(line, "nothing was logged");
        return line;
    }

    private Dump only() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> all = files.toList();
            assertEquals(1, all.size());
            return Dump.read(Files.readAllBytes(all.get(0)));
        }
    }

    @Test
    void aLoopThatStandsStillIsToldWithItsStack() throws Exception {
        Watchdog watchdog = watchdog(folder);
        pass(301);
        assertTrue(logged().startsWith("recorder: HUNG: the loop has stood still for 301 ms"));
        Dump dump = only();
        assertEquals("HUNG", dump.reason());
        assertTrue(dump.stack().contains("aLoopThatStandsStillIsToldWithItsStack"), dump.stack());
        watchdog.end();
        assertTrue(log.isEmpty(), "it is told once");
    }

    /** A fault that comes again and again fills no disk; operators' own dumps are not counted. */
    @Test
    void oneDumpAMinuteIsMadeOfItsOwnAccord() throws Exception {
        Watchdog watchdog = watchdog(folder);
        watchdog.alarm(new Alarm(Kind.UNREAD, 7, 0, "first"));
        assertTrue(logged().contains("UNREAD: connection 7: first; see "));
        watchdog.alarm(new Alarm(Kind.LEAK, 0, 0, "second"));
        LinkedBlockingQueue<String> requested = new LinkedBlockingQueue<>();
        watchdog.dump((path, why) -> requested.add(path + " " + why));
        assertTrue(requested.poll(20, TimeUnit.SECONDS).contains("asked.flight null"));
        for (int i = 0; i < 305; i++) {
            // Less than a hung loop's time, so that nothing else is reported.
            pass(200);
            watchdog.tick();
        }
        watchdog.alarm(new Alarm(Kind.OVERDUE, 0, 12, "third"));
        String line = logged();
        assertTrue(line.contains("OVERDUE: request 12: third (1 alarms before this one were passed over)"), line);
        watchdog.end();
    }

    /** An alarm for which there is no room is counted; the place that fails ends neither thread nor reply. */
    @Test
    void noAlarmIsLostUnseen() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        CountDownLatch writes = new CountDownLatch(1);
        Watchdog watchdog = watchdog(folder);
        watchdog.dump((path, why) -> {
            writes.countDown();
            await(goOn);
            throw new IllegalStateException("the operator has left");
        });
        writes.await();
        for (int i = 0; i < 7; i++) {
            watchdog.alarm(new Alarm(Kind.UNREAD, 7, 0, "no. " + i));
        }
        goOn.countDown();
        assertTrue(logged().endsWith("the operator has left"));
        String line = logged();
        assertTrue(line.contains("no. 0 (3 alarms before this one were passed over)"), line);
        watchdog.end();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Without a place, or with one that takes nothing, the last events go to the log. */
    @Test
    void whereThereIsNoPlaceTheLogHasItInShort() throws Exception {
        Watchdog none = watchdog(null);
        none.alarm(new Alarm(Kind.LEFT_OVER, 0, 0, "bytes kept 5"));
        String line = logged();
        assertTrue(line.startsWith("recorder: LEFT_OVER: bytes kept 5; "), line);
        assertFalse(line.contains("see "), line);
        LinkedBlockingQueue<String> requested = new LinkedBlockingQueue<>();
        none.dump((path, why) -> requested.add(why));
        assertEquals("the recorder has no directory", requested.poll(20, TimeUnit.SECONDS));
        none.end();
        Watchdog full = watchdog(Files.writeString(folder.resolve("a file"), "x"));
        full.alarm(new Alarm(Kind.LEAK, 0, 0, "9 B"));
        assertTrue(logged().contains("LEAK: 9 B; the dump can't be written: "));
        full.end();
    }
}
