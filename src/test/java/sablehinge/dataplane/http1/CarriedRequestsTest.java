package sablehinge.dataplane.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long a connection remembers the requests that it has carried. */
class CarriedRequestsTest {

    private static final int REQUESTS = 1_000;

    private final CarriedRequests carried = new CarriedRequests();

    @Test
    void remembersRequestUntilItCanNotBeSentAgain() {
        carried.add("a", 0, 100);
        carried.add("b", 10, 50);
        assertTrue(carried.contains("a", 99));
        assertTrue(carried.contains("b", 49));
        assertFalse(carried.contains("b", 50));
        assertFalse(carried.contains("a", 100));
        assertFalse(carried.contains("c", 10));
    }

    @Test
    void hasRoomAgainOnceRequestsHaveExpired() {
        for (int i = 0; i < REQUESTS; i++) {
            carried.add("a" + i, i, i + 10);
            assertTrue(carried.hasRoom());
        }
        while (carried.hasRoom()) {
            carried.add("b", REQUESTS, REQUESTS + 10);
        }
        carried.add("c", REQUESTS + 10, REQUESTS + 20);
        assertTrue(carried.hasRoom());
    }
}
