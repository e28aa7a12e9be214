package sablehinge.gateway.recorder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The ring keeps the last events, whoever looks. */
class RingTest {

    private static void write(Ring ring, long number) {
        ring.write(number, (int) number, (int) (number % 7), 3 * number, -number);
    }

    private static void isComplete(long[] words, int at, long number) {
        assertEquals(number, words[at]);
        assertEquals(number << 32 | number % 7, words[at + 1]);
        assertEquals(3 * number, words[at + 2]);
        assertEquals(-number, words[at + 3]);
    }

    /** Full, it shows one less than it holds: the oldest may be the one that is overwritten next. */
    @Property(tries = 300)
    void itKeepsTheLast(@ForAll @IntRange(min = 1, max = 5_000) int bytes, @ForAll @IntRange(max = 1_000) int count) {
        Ring ring = new Ring(bytes);
        assertTrue(ring.capacity() * Ring.EVENT_BYTES <= Math.max(bytes, Ring.EVENT_BYTES));
        for (int i = 0; i < count; i++) {
            write(ring, i);
        }
        long[] words = ring.copy();
        int kept = Math.min(count, ring.capacity() - (count >= ring.capacity() ? 1 : 0));
        assertEquals(kept * Ring.WORDS, words.length);
        for (int i = 0; i < kept; i++) {
            isComplete(words, i * Ring.WORDS, count - kept + i);
        }
        assertEquals(count, ring.written());
    }

    /** What is overwritten while it is copied is not in the copy. */
    @Test
    void aCopyHasNoHalfEvent() throws InterruptedException {
        Ring ring = new Ring(64 * Ring.EVENT_BYTES);
        CountDownLatch begun = new CountDownLatch(1);
        Thread writer = new Thread(() -> {
            for (long i = 0; i < 3_000_000; i++) {
                write(ring, i);
                if (i == 100) {
                    begun.countDown();
                }
            }
        });
        writer.start();
        begun.await();
        while (writer.isAlive()) {
            long[] words = ring.copy();
            for (int at = 0; at < words.length; at += Ring.WORDS) {
                isComplete(words, at, words[0] + at / Ring.WORDS);
            }
        }
        writer.join();
    }
}
