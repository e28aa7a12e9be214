package sablehinge.mesh.watch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sablehinge.mesh.failuredetection.Suspicion;
import sablehinge.mesh.failuredetection.SuspicionCause;
import sablehinge.mesh.retrybudget.Claim;
import sablehinge.mesh.retrybudget.Grant;

/** Tests encoding and decoding of records. */
class RecordsTest {

    private static final Registration READY =
            new Registration("s-1", "monza-a", "127.0.0.1:7000", "huvo11a", "i-7f", true, 60_000, 2_900);
    private static final Registration WITHOUT_UPSTREAM =
            new Registration("s-2", "monza-b", "127.0.0.2:7000", "wuno96b", "", false, 0, 0);

    private static WatchRequest request() {
        return new WatchRequest(
                7,
                READY,
                1L << 40,
                3,
                12,
                true,
                List.of(new Suspicion("s-2", SuspicionCause.FROZEN), new Suspicion("s-9", SuspicionCause.RESET)),
                List.of(WITHOUT_UPSTREAM, READY));
    }

    private static Update update() {
        return new Update(
                7,
                true,
                1L << 40,
                "{\"edition\":9}".getBytes(StandardCharsets.UTF_8),
                3,
                12,
                true,
                true,
                40_000,
                List.of(READY, WITHOUT_UPSTREAM),
                List.of("127.0.0.1:7000"));
    }

    @Test
    void decodesEncodedRequest() throws Exception {
        assertEquals(request(), WatchRequest.read(request().bytes()));
        WatchRequest minimal = new WatchRequest(0, WITHOUT_UPSTREAM, 0, 0, 0, false, List.of(), List.of());
        assertEquals(minimal, WatchRequest.read(minimal.bytes()));
    }

    @Test
    void decodesEncodedUpdate() throws Exception {
        Update read = Update.read(update().bytes());
        assertArrayEquals(update().body(), read.body());
        assertArrayEquals(update().bytes(), read.bytes());
        assertEquals(update().registrations(), read.registrations());
        assertEquals(update().core(), read.core());
        assertEquals(40_000, read.size());
        assertEquals(1L << 40, read.edition());
    }

    @Test
    void rejectsTruncatedRecords() {
        byte[] request = request().bytes();
        for (int length = 0; length < request.length; length++) {
            byte[] truncated = Arrays.copyOf(request, length);
            assertThrows(IOException.class, () -> WatchRequest.read(truncated), "a request of " + length);
        }
        byte[] update = update().bytes();
        for (int length = 0; length < update.length; length++) {
            byte[] truncated = Arrays.copyOf(update, length);
            assertThrows(IOException.class, () -> Update.read(truncated), "an update of " + length);
        }
    }

    @Test
    void rejectsFalseBodyLengthWithoutAllocatingMemory() {
        byte[] update = update().bytes();
        for (byte corrupted : new byte[] {0x7f, (byte) 0xff}) {
            // After the number, the confirmation and the edition.
            update[13] = corrupted;
            assertThrows(IOException.class, () -> Update.read(update));
        }
    }

    @Test
    void encodesClaimsAndGrantsWithTheMaximumNumberOfServices() throws Exception {
        List<Claim.Line> lines = IntStream.range(0, Claim.MAX_LINES)
                .mapToObj(i -> new Claim.Line("service-" + i, i, 0, 0, 0, 1))
                .toList();
        Claim claim = new Claim(1, 1, 1, "service-0", lines);
        assertEquals(claim, RetryBudgetCodec.decodeClaim(RetryBudgetCodec.encode(claim)));
        Grant grant = new Grant(
                1,
                1,
                lines.stream().map(line -> new Grant.Line(line.service(), 3)).toList());
        assertEquals(grant, RetryBudgetCodec.decodeGrant(RetryBudgetCodec.encode(grant)));
    }

    @Test
    void decodesEncodedClaimsAndGrantsAndRejectsMalformedOnes() throws Exception {
        Claim claim = new Claim(
                -3,
                7,
                1L << 40,
                "huvo11a",
                List.of(new Claim.Line("huvo11a", 1 << 30, 0, 5, 9, 65_535), new Claim.Line("wuno96b", 0, 3, 0, 0, 0)));
        assertEquals(claim, RetryBudgetCodec.decodeClaim(RetryBudgetCodec.encode(claim)));
        Grant grant = new Grant(7, 1L << 40, List.of(new Grant.Line("huvo11a", 1 << 20)));
        assertEquals(grant, RetryBudgetCodec.decodeGrant(RetryBudgetCodec.encode(grant)));
        byte[] bytes = RetryBudgetCodec.encode(claim);
        for (int length = 0; length <= bytes.length + 1; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            if (length != bytes.length) {
                assertThrows(IOException.class, () -> RetryBudgetCodec.decodeClaim(truncated), "a claim of " + length);
            }
        }
        // The number of lines, after the incarnation, the number, the term and the service.
        bytes[8 + 4 + 8 + 2 + 7] = (byte) (Claim.MAX_LINES + 1);
        assertThrows(IOException.class, () -> RetryBudgetCodec.decodeClaim(bytes));
    }
}
