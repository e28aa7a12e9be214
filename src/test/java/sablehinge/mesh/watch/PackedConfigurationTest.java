package sablehinge.mesh.watch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Configurations as they travel. */
class PackedConfigurationTest {

    private static final int LENGTH_AT = 1;

    private static byte[] routes(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("{\"name\":\"route-").append(i).append("\",\"dispatch\":{\"timeoutMs\":4000}}");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aBodyIsUnpackedAsItWasPackedAndIsFarSmallerOnItsWay() throws Exception {
        byte[] body = routes(1_000);
        byte[] packed = PackedConfiguration.pack(body);
        assertArrayEquals(body, PackedConfiguration.unpack(packed));
        assertTrue(packed.length < body.length / 8, packed.length + " of " + body.length);
        assertEquals(0, PackedConfiguration.unpack(PackedConfiguration.pack(new byte[0])).length);
    }

    @Test
    void whatDoesNotDeflateTravelsToo() throws Exception {
        byte[] body = new byte[100_000];
        new Random(7).nextBytes(body);
        assertArrayEquals(body, PackedConfiguration.unpack(PackedConfiguration.pack(body)));
    }

    @Test
    void whatIsCutShortIsRefused() {
        byte[] packed = PackedConfiguration.pack(routes(3));
        for (int length = 0; length < packed.length; length++) {
            byte[] part = Arrays.copyOf(packed, length);
            assertThrows(IOException.class, () -> PackedConfiguration.unpack(part), "cut at " + length);
        }
        assertThrows(
                IOException.class,
                () -> PackedConfiguration.unpack(Arrays.copyOf(packed, packed.length + 1)),
                "a byte more");
        assertThrows(
                IOException.class,
                () -> PackedConfiguration.unpack(Arrays.copyOf(packed, packed.length + 10_000)),
                "many more");
    }

    @Test
    void aSpoiltByteIsNeverTakenForAnotherBody() {
        byte[] body = routes(3);
        byte[] packed = PackedConfiguration.pack(body);
        int refused = 0;
        for (int at = 0; at < packed.length; at++) {
            byte[] spoilt = packed.clone();
            spoilt[at] ^= 0x40;
            try {
                // The bits that fill the last byte of the deflated data mean nothing.
                assertArrayEquals(body, PackedConfiguration.unpack(spoilt), "spoilt at " + at);
            } catch (IOException e) {
                refused++;
            }
        }
        assertTrue(refused >= packed.length - 1, refused + " of " + packed.length);
    }

    @Test
    void anotherFormatIsRefused() {
        byte[] packed = PackedConfiguration.pack(routes(3));
        packed[0] = 2;
        IOException why = assertThrows(IOException.class, () -> PackedConfiguration.unpack(packed));
        assertTrue(why.getMessage().contains("format 2"), why.getMessage());
    }

    @Test
    void moreThanTheBoundIsRefusedAndSoIsMoreThanIsNamed() {
        byte[] large = PackedConfiguration.pack(new byte[PackedConfiguration.MAX_BYTES + 1]);
        assertThrows(IOException.class, () -> PackedConfiguration.unpack(large));
        // It names less than what it inflates to: no more is inflated than is named.
        ByteBuffer.wrap(large).putInt(LENGTH_AT, 100);
        assertThrows(IOException.class, () -> PackedConfiguration.unpack(large));
        byte[] small = PackedConfiguration.pack(routes(3));
        for (int length : new int[] {-1, PackedConfiguration.MAX_BYTES, Integer.MAX_VALUE}) {
            ByteBuffer.wrap(small).putInt(LENGTH_AT, length);
            assertThrows(IOException.class, () -> PackedConfiguration.unpack(small), "it names " + length);
        }
    }
}
