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

/** Tests packing and unpacking of configurations. */
class PackedConfigurationTest {

    private static final int LENGTH_OFFSET = 1;

    private static byte[] routes(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append("{\"name\":\"route-").append(i).append("\",\"dispatch\":{\"timeoutMs\":4000}}");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void unpacksPackedBodyAndCompressesIt() throws Exception {
        byte[] body = routes(1_000);
        byte[] packed = PackedConfiguration.pack(body);
        assertArrayEquals(body, PackedConfiguration.unpack(packed));
        assertTrue(packed.length < body.length / 8, packed.length + " of " + body.length);
        assertEquals(0, PackedConfiguration.unpack(PackedConfiguration.pack(new byte[0])).length);
    }

    @Test
    void packsIncompressibleBody() throws Exception {
        byte[] body = new byte[100_000];
        new Random(7).nextBytes(body);
        assertArrayEquals(body, PackedConfiguration.unpack(PackedConfiguration.pack(body)));
    }

    @Test
    void rejectsTruncatedOrExtendedBytes() {
        byte[] packed = PackedConfiguration.pack(routes(3));
        for (int length = 0; length < packed.length; length++) {
            byte[] truncated = Arrays.copyOf(packed, length);
            assertThrows(IOException.class, () -> PackedConfiguration.unpack(truncated), "truncated at " + length);
        }
        assertThrows(
                IOException.class,
                () -> PackedConfiguration.unpack(Arrays.copyOf(packed, packed.length + 1)),
                "one extra byte");
        assertThrows(
                IOException.class,
                () -> PackedConfiguration.unpack(Arrays.copyOf(packed, packed.length + 10_000)),
                "many extra bytes");
    }

    @Test
    void neverUnpacksCorruptedBytesToAnotherBody() {
        byte[] body = routes(3);
        byte[] packed = PackedConfiguration.pack(body);
        int refused = 0;
        for (int offset = 0; offset < packed.length; offset++) {
            byte[] corrupted = packed.clone();
            corrupted[offset] ^= 0x40;
            try {
                // The padding bits in the last byte of the deflated data are ignored.
                assertArrayEquals(body, PackedConfiguration.unpack(corrupted), "corrupted at " + offset);
            } catch (IOException e) {
                refused++;
            }
        }
        assertTrue(refused >= packed.length - 1, refused + " of " + packed.length);
    }

    @Test
    void rejectsUnknownFormat() {
        byte[] packed = PackedConfiguration.pack(routes(3));
        packed[0] = 2;
        IOException exception = assertThrows(IOException.class, () -> PackedConfiguration.unpack(packed));
        assertTrue(exception.getMessage().contains("format 2"), exception.getMessage());
    }

    @Test
    void rejectsBodiesAboveTheLimitOrWithAWrongLength() {
        byte[] large = PackedConfiguration.pack(new byte[PackedConfiguration.MAX_BYTES + 1]);
        assertThrows(IOException.class, () -> PackedConfiguration.unpack(large));
        // The stated length is below the inflated size: no more is inflated than stated.
        ByteBuffer.wrap(large).putInt(LENGTH_OFFSET, 100);
        assertThrows(IOException.class, () -> PackedConfiguration.unpack(large));
        byte[] small = PackedConfiguration.pack(routes(3));
        for (int length : new int[] {-1, PackedConfiguration.MAX_BYTES, Integer.MAX_VALUE}) {
            ByteBuffer.wrap(small).putInt(LENGTH_OFFSET, length);
            assertThrows(IOException.class, () -> PackedConfiguration.unpack(small), "stated length " + length);
        }
    }
}
