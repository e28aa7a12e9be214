package sablehinge.gateway.recorder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that the ring retains the latest events, also during concurrent copies. */
class RingTest {

    private static void write(Ring ring, long number) {
        ring.write(number, (int) number, (int) (number % 7), 3 * number, -number);
    }

    private static void assertComplete(long[] words, int at, long number) {
        assertEquals(number, words[at]);
        assertEquals(number << 32 | number % 7, words[at + 1]);
        assertEquals(3 * number, words[at + 2]);
        assertEquals(-number, words[at + 3]);
    }

    /** A full ring returns one event less than its capacity, as the oldest one may be overwritten next. */
    @Property(tries = 300)
    void retainsLatestEvents(
            @ForAll @IntRange(min = 1, max = 5_000) int bytes, @ForAll @IntRange(max = 1_000) int count) {
        Ring ring = new Ring(bytes);
        assertTrue(ring.capacity() * Ring.EVENT_BYTES <= Math.max(bytes, Ring.EVENT_BYTES));
        for (int i = 0; i < count; i++) {
            write(ring, i);
        }
        long[] words = ring.copy();
        int retained = Math.min(count, ring.capacity() - (count >= ring.capacity() ? 1 : 0));
        assertEquals(retained * Ring.WORDS, words.length);
        for (int i = 0; i < retained; i++) {
            assertComplete(words, i * Ring.WORDS, count - retained + i);
        }
        assertEquals(count, ring.written());
    }

    /** Events that are overwritten during a copy are not part of it. */
    @Test
    void copyContainsNoPartialEvent() throws InterruptedException {
        Ring ring = new Ring(64 * Ring.EVENT_BYTES);
        CountDownLatch started = new CountDownLatch(1);
        Thread writer = new Thread(() -> {
            for (long i = 0; i < 3_000_000; i++) {
                write(ring, i);
                if (i == 100) {
                    started.countDown();
                }
            }
        });
        writer.start();
        started.await();
        while (writer.isAlive()) {
            long[] words = ring.copy();
            for (int at = 0; at < words.length; at += Ring.WORDS) {
                assertComplete(words, at, words[0] + at / Ring.WORDS);
            }
        }
        writer.join();
    }
}
