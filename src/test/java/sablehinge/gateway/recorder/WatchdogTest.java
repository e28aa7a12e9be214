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

/** Tests the watchdog with a simulated clock; the thread of the test acts as the event loop. */
@Timeout(60)
class WatchdogTest {

    @TempDir
    private Path folder;

    private final AtomicLong nanos = new AtomicLong();
    private final LinkedBlockingQueue<String> log = new LinkedBlockingQueue<>();

    private Watchdog startWatchdog(Path directory) {
        Watchdog watchdog = new Watchdog(
                new Ring(1 << 12),
                "n",
                nanos::get,
                300,
                directory == null ? null : new DumpDirectory(directory, 3),
                log::add);
        watchdog.start();
        return watchdog;
    }

    private void advanceClock(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private String nextLogLine() throws InterruptedException {
        String line = log.poll(20, TimeUnit.SECONDS);
        assertNotNull(line, "nothing was logged");
        return line;
    }

    private Dump readOnlyDump() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> all = files.toList();
            assertEquals(1, all.size());
            return Dump.read(Files.readAllBytes(all.get(0)));
        }
    }

    @Test
    void reportsBlockedEventLoopWithStack() throws Exception {
        Watchdog watchdog = startWatchdog(folder);
        advanceClock(301);
        assertTrue(nextLogLine().startsWith("recorder: HUNG: the loop has stood still for 301 ms"));
        Dump dump = readOnlyDump();
        assertEquals("HUNG", dump.reason());
        assertTrue(dump.stack().contains("reportsBlockedEventLoopWithStack"), dump.stack());
        watchdog.stop();
        assertTrue(log.isEmpty(), "the fault is reported once");
    }

    /** A repeated fault does not fill the disk; dumps requested by operators are not limited. */
    @Test
    void writesAtMostOneAutomaticDumpPerMinute() throws Exception {
        Watchdog watchdog = startWatchdog(folder);
        watchdog.alarm(new Alarm(Kind.UNREAD, 7, 0, "first"));
        assertTrue(nextLogLine().contains("UNREAD: connection 7: first; see "));
        watchdog.alarm(new Alarm(Kind.LEAK, 0, 0, "second"));
        LinkedBlockingQueue<String> requested = new LinkedBlockingQueue<>();
        watchdog.dump((path, failure) -> requested.add(path + " " + failure));
        assertTrue(requested.poll(20, TimeUnit.SECONDS).contains("asked.flight null"));
        for (int i = 0; i < 305; i++) {
            // Less than the threshold of a blocked event loop, so that nothing else is reported.
            advanceClock(200);
            watchdog.tick();
        }
        watchdog.alarm(new Alarm(Kind.OVERDUE, 0, 12, "third"));
        String line = nextLogLine();
        assertTrue(line.contains("OVERDUE: request 12: third (1 earlier alarms were suppressed)"), line);
        watchdog.stop();
    }

    /** Alarms rejected by the full queue are counted; a failing callback does not stop the thread. */
    @Test
    void countsAlarmsRejectedByFullQueue() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        CountDownLatch callbackRunning = new CountDownLatch(1);
        Watchdog watchdog = startWatchdog(folder);
        watchdog.dump((path, failure) -> {
            callbackRunning.countDown();
            await(proceed);
            throw new IllegalStateException("the operator has left");
        });
        callbackRunning.await();
        for (int i = 0; i < 7; i++) {
            watchdog.alarm(new Alarm(Kind.UNREAD, 7, 0, "no. " + i));
        }
        proceed.countDown();
        assertTrue(nextLogLine().endsWith("the operator has left"));
        String line = nextLogLine();
        assertTrue(line.contains("no. 0 (3 earlier alarms were suppressed)"), line);
        watchdog.stop();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Without a directory, or if the write fails, the latest events are summarized in the log. */
    @Test
    void logsSummaryWhenDumpCannotBeWritten() throws Exception {
        Watchdog withoutDirectory = startWatchdog(null);
        withoutDirectory.alarm(new Alarm(Kind.LEFT_OVER, 0, 0, "bytes kept 5"));
        String line = nextLogLine();
        assertTrue(line.startsWith("recorder: LEFT_OVER: bytes kept 5; "), line);
        assertFalse(line.contains("see "), line);
        LinkedBlockingQueue<String> requested = new LinkedBlockingQueue<>();
        withoutDirectory.dump((path, failure) -> requested.add(failure));
        assertEquals("the recorder has no directory", requested.poll(20, TimeUnit.SECONDS));
        withoutDirectory.stop();
        Watchdog failing = startWatchdog(Files.writeString(folder.resolve("a file"), "x"));
        failing.alarm(new Alarm(Kind.LEAK, 0, 0, "9 B"));
        assertTrue(nextLogLine().contains("LEAK: 9 B; the dump can't be written: "));
        failing.stop();
    }
}
