package sablehinge.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.gateway.settings.SettingsParserTest;
import sablehinge.policy.LoadBalancer;

/** Tests the simulator protocol byte by byte, with valid and malformed frames. */
class WireHostTest {

    private static final int INSTANCE = 3;
    private static final long UPSTREAM = 0x232b_074a_120aL;

    private record Run(int status, byte[] out, String err) {}

    private static Run run(byte[] input) {
        return run(input, "wire");
    }

    private static Run run(byte[] input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = Main.run(args, new ByteArrayInputStream(input), out, new PrintStream(err, true));
        return new Run(status, out.toByteArray(), err.toString(StandardCharsets.UTF_8));
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** Builds a frame from records and a tail. */
    private static byte[] frame(double clock, byte[] tail, byte[]... records) {
        byte[] header = new byte[WireHost.HEADER_BYTES];
        LittleEndian.putInt(header, 0, records.length * WireHost.RECORD_BYTES + tail.length);
        LittleEndian.putInt(header, 4, records.length);
        LittleEndian.putDouble(header, 8, clock);
        return concat(header, concat(records), tail);
    }

    private static byte[] record(int code, int instance) {
        byte[] record = new byte[WireHost.RECORD_BYTES];
        record[0] = (byte) code;
        LittleEndian.putInt(record, 1, instance);
        return record;
    }

    private static byte[] settings(String change) {
        String text = SettingsParserTest.COMPLETE;
        if (!change.isEmpty()) {
            text = text.replaceAll("(?m)^" + change.split("=")[0] + "=.*\n", "") + change + "\n";
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] entry(long upstream) {
        byte[] entry = new byte[WireHost.ENTRY_BYTES];
        LittleEndian.putUpstream(entry, 0, upstream);
        entry[11] = 1;
        LittleEndian.putInt(entry, 12, Float.floatToIntBits(1f));
        return entry;
    }

    /** Builds the first frame: one instance, its settings and a list of one upstream. */
    private static byte[] opening() {
        byte[] text = settings("");
        byte[] provision = record(0, INSTANCE);
        LittleEndian.putLong(provision, 5, 42);
        LittleEndian.putInt(provision, 13, 0);
        LittleEndian.putInt(provision, 17, text.length);
        byte[] list = record(10, 0);
        LittleEndian.putShort(list, 1, 0);
        LittleEndian.putInt(list, 3, text.length);
        LittleEndian.putInt(list, 7, 1);
        byte[] discovery = record(1, INSTANCE);
        discovery[5] = 2;
        return frame(10_000, concat(text, entry(UPSTREAM)), provision, list, discovery);
    }

    private static byte[] incoming(long id) {
        byte[] record = record(2, INSTANCE);
        LittleEndian.putLong(record, 5, id);
        LittleEndian.putDouble(record, 24, 12_000);
        return record;
    }

    private static byte[] finished(long id, int code) {
        byte[] record = record(4, INSTANCE);
        LittleEndian.putLong(record, 5, id);
        record[13] = (byte) (code == 10 ? 1 : 0);
        record[14] = (byte) code;
        LittleEndian.putUpstream(record, 15, UPSTREAM);
        LittleEndian.putDouble(record, 23, 20);
        return record;
    }

    private static void assertRejected(String message, byte[] input) {
        Run run = run(input);
        assertEquals(1, run.status, run.err);
        assertTrue(run.err.contains(message), run.err);
        assertEquals(1, run.err.strip().lines().count(), run.err);
    }

    @Test
    void repliesToEmptyBatchWithEmptyReply() {
        byte[] batch = HexFormat.of().parseHex("000000000000000000000000206ec040");
        Run run = run(batch);
        assertEquals(0, run.status);
        assertArrayEquals(new byte[8], run.out);
        assertEquals("", run.err);
    }

    @Test
    void sendsRequestToListedUpstream() {
        Run run = run(concat(opening(), frame(10_005, new byte[0], incoming(0xfa3135d3a91c4L))));
        assertEquals(0, run.status, run.err);
        byte[] reply = run.out;
        // An empty reply to the first frame, then one record: action code, instance, request, upstream, timeout.
        assertEquals(8 + 8 + 32, reply.length);
        assertEquals(32, LittleEndian.getInt(reply, 8));
        assertEquals(1, LittleEndian.getInt(reply, 12));
        assertEquals(
                "03" + "03000000" + "c4913a5d13a30f00" + "0a124a072b23",
                HexFormat.of().formatHex(reply, 16, 35));
        // Without samples: 2 * 3 * the initial latency estimate, which is a fifth of the 500 ms aim.
        assertEquals(600, LittleEndian.getDouble(reply, 35), 1e-9);
        assertEquals("0000000000", HexFormat.of().formatHex(reply, 43, 48));
    }

    @Test
    void preservesAllRecordsWhenReplyBufferGrows() {
        // More failures than fit into the writer's initial buffer: ids written before it grows must not get lost.
        byte[][] requests = new byte[1_500][];
        byte[][] failures = new byte[requests.length][];
        for (int i = 0; i < requests.length; i++) {
            requests[i] = incoming(i + 1);
            failures[i] = finished(i + 1, 80);
        }
        Run run = run(concat(opening(), frame(10_005, new byte[0], requests), frame(10_010, new byte[0], failures)));
        assertEquals(0, run.status, run.err);
        int at = run.out.length - requests.length * ReplyWriter.RECORD_BYTES;
        for (int i = 0; i < requests.length; i++) {
            assertEquals(0, run.out[at]);
            assertEquals(i + 1, LittleEndian.getLong(run.out, at + 5));
            at += ReplyWriter.RECORD_BYTES;
        }
    }

    @Test
    void reportsExceptionOfDecisionCodeAsFaultAction() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LoadBalancer broken = (LoadBalancer) Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(),
                new Class<?>[] {LoadBalancer.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("timer")) {
                        throw new IllegalStateException("broken on purpose");
                    }
                    return null;
                });
        WireHost host = new WireHost(actions -> broken);
        byte[] timer = frame(10_001, new byte[0], record(6, INSTANCE));
        host.serve(new ByteArrayInputStream(concat(opening(), timer)), out);
        byte[] reply = out.toByteArray();
        assertEquals(4, reply[16]);
        assertTrue(new String(reply, 48, reply.length - 48, StandardCharsets.UTF_8).contains("broken on purpose"));
    }

    @Test
    void acceptsUnusualButValidEvents() {
        byte[] clientGone = record(5, INSTANCE);
        LittleEndian.putLong(clientGone, 5, 99);
        byte[] timer = record(6, INSTANCE);
        LittleEndian.putLong(timer, 5, 12345);
        byte[] probed = record(7, INSTANCE);
        probed[11] = 10;
        byte[] headers = record(3, INSTANCE);
        LittleEndian.putLong(headers, 5, 98);
        byte[] message = record(8, INSTANCE);
        byte[] failed = record(1, INSTANCE);
        failed[5] = 3;
        byte[] expired = incoming(5);
        LittleEndian.putDouble(expired, 24, 9_000);
        Run run = run(concat(
                opening(),
                frame(10_005, new byte[0], clientGone, timer, probed, headers, message, finished(97, 40), expired),
                frame(10_010, new byte[0], record(9, INSTANCE))));
        assertEquals(0, run.status, run.err);
        // The only action refuses the request whose deadline has passed.
        assertEquals(8 + 8 + 32 + 8, run.out.length);
        assertEquals(0, run.out[16]);
    }

    @Test
    void exitsWithMessageOnMalformedFrame() {
        byte[] none = new byte[0];
        assertRejected("inside the header", new byte[5]);
        assertRejected("input ends after", Arrays.copyOf(opening(), 60));
        byte[] records = new byte[WireHost.HEADER_BYTES];
        LittleEndian.putInt(records, 4, 7);
        assertRejected("7 records do not fit", records);
        byte[] huge = new byte[WireHost.HEADER_BYTES];
        LittleEndian.putInt(huge, 0, -1);
        assertRejected("over the limit", huge);
        assertRejected("clock NaN", frame(Double.NaN, none));
        assertRejected("clock 1.0 after 2.0", concat(frame(2, none), frame(1, none)));
    }

    @Test
    void exitsWithMessageOnMalformedRecord() {
        byte[] none = new byte[0];
        assertRejected("unknown event code 11", concat(opening(), frame(10_001, none, record(11, INSTANCE))));
        assertRejected("unknown instance 4", concat(opening(), frame(10_001, none, record(6, 4))));
        byte[] number = record(10, 0);
        LittleEndian.putShort(number, 1, 16);
        assertRejected("list number 16", frame(1, none, number));
        byte[] unknownList = record(1, INSTANCE);
        LittleEndian.putShort(unknownList, 10, 5);
        assertRejected("list 5 was never given", concat(opening(), frame(10_001, none, unknownList)));
        byte[] offset = record(10, 0);
        LittleEndian.putInt(offset, 3, 4);
        LittleEndian.putInt(offset, 7, 1);
        assertRejected("leaves the tail", frame(1, entry(UPSTREAM), offset));
        assertRejected("unknown outcome 11", concat(opening(), frame(10_001, none, finished(1, 11))));
        byte[] serviceClass = incoming(1);
        serviceClass[13] = 9;
        assertRejected("unknown class 9", concat(opening(), frame(10_001, none, serviceClass)));
    }

    @Test
    void printsUsageOnInvalidArguments() {
        Run run = run(new byte[0], "serve");
        assertEquals(2, run.status);
        assertTrue(run.err.startsWith("usage: "));
        assertEquals(2, run(new byte[0], new String[0]).status);
    }

    @Test
    void repliesToMutatedFramesOrExitsWithOneLineMessage() throws IOException {
        byte[] valid = concat(
                opening(),
                frame(10_005, new byte[0], incoming(1), incoming(2)),
                frame(10_025, new byte[0], finished(1, 10), finished(2, 20)));
        SplittableRandom random = new SplittableRandom(20261128);
        int rejected = 0;
        for (int i = 0; i < 4_000; i++) {
            byte[] mutated = valid.clone();
            for (int flips = random.nextInt(1, 4); flips > 0; flips--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
            }
            byte[] input = random.nextInt(4) == 0 ? Arrays.copyOf(mutated, random.nextInt(mutated.length)) : mutated;
            Run run = run(input);
            assertTrue(run.status == 0 || run.status == 1);
            if (run.status == 1) {
                rejected++;
                assertTrue(run.err.startsWith("sablehinge: "), run.err);
                assertFalse(run.err.contains("\tat "), run.err);
            } else {
                assertEquals("", run.err);
            }
        }
        assertTrue(rejected > 500, rejected + " rejected");
    }
}
