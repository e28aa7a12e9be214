package sablehinge.gateway.recorder;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import sablehinge.dataplane.proxy.TraceEvent;

/**
 * A ring as it was at a moment, and why it was kept. As bytes: the mark, the length of the head, the head as JSON in
 * UTF-8, the events in four little-endian words each, CRC-32C (RFC 3720) of all that. Events are named in the head, so
 * that one release reads the dump of another.
 *
 * @param node whose it is
 * @param atMillis when it was made, ms since 1970
 * @param atMicros the same moment in the time of the events
 * @param reason in a word, such as the kind of an alarm
 * @param detail what was seen, in words
 * @param stack the loop's thread, a frame a line; empty where it was not requested
 * @param lost events that the ring no longer had
 * @param events oldest first
 */
public record Dump(
        String node,
        long atMillis,
        long atMicros,
        String reason,
        String detail,
        String stack,
        long lost,
        List<Event> events) {

    private static final byte[] MARK = "SHFR0001".getBytes(StandardCharsets.US_ASCII);
    /** A ring of 1 GiB and its head, far more than any that is made. */
    private static final int MAX_HEAD = 1 << 20;

    private static final JsonMapper JSON = new JsonMapper();

    /**
     * An event, read back.
     *
     * @param micros when it happened, in the time of the dump
     * @param name by {@link TraceEvent}
     * @param of what the value is; empty for none
     */
    public record Event(long micros, String name, int connection, long exchange, long value, String of) {}

    /** A dump of a ring's present content. */
    static Dump of(Ring ring, String node, long atMillis, long atMicros, String reason, String detail, String stack) {
        long[] words = ring.copy();
        TraceEvent[] kinds = TraceEvent.values();
        List<Event> events = new ArrayList<>(words.length / Ring.WORDS);
        for (int i = 0; i < words.length; i += Ring.WORDS) {
            TraceEvent kind = kinds[(int) words[i + 1]];
            events.add(new Event(
                    words[i],
                    kind.name(),
                    (int) (words[i + 1] >>> 32),
                    words[i + 2],
                    words[i + 3],
                    kind.valueMeaning()));
        }
        return new Dump(node, atMillis, atMicros, reason, detail, stack, ring.written() - events.size(), events);
    }

    /** As it is kept in a file. */
    byte[] bytes() throws IOException {
        List<String> names = events.stream().map(Event::name).distinct().toList();
        ObjectNode head = JSON.createObjectNode()
                .put("node", node)
                .put("at_ms", atMillis)
                .put("at_us", atMicros)
                .put("reason", reason)
                .put("detail", detail)
                .put("stack", stack)
                .put("lost", lost)
                .put("count", events.size());
        names.forEach(name -> head.withArray("events")
                .addObject()
                .put("name", name)
                .put("of", TraceEvent.valueOf(name).valueMeaning()));
        byte[] text = JSON.writeValueAsBytes(head);
        ByteBuffer out = ByteBuffer.allocate(
                        MARK.length + Integer.BYTES + text.length + events.size() * Ring.EVENT_BYTES + Integer.BYTES)
                .order(ByteOrder.LITTLE_ENDIAN);
        out.put(MARK).putInt(text.length).put(text);
        for (Event one : events) {
            out.putLong(one.micros)
                    .putLong((long) one.connection << 32 | names.indexOf(one.name))
                    .putLong(one.exchange)
                    .putLong(one.value);
        }
        out.putInt(sum(out.array(), out.position()));
        return out.array();
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    /**
     * Reads one back.
     *
     * @throws IOException where it is none or damaged: at which offset, and what was expected there
     */
    public static Dump read(byte[] bytes) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        expect(bytes.length >= MARK.length + 2 * Integer.BYTES, bytes.length, "a mark, a head and a sum");
        for (int i = 0; i < MARK.length; i++) {
            expect(in.get() == MARK[i], i, "the mark of a dump, \"SHFR0001\"");
        }
        int length = in.getInt();
        expect(
                length > 0 && length <= MAX_HEAD && length <= in.remaining() - Integer.BYTES,
                MARK.length,
                "the length of the head, 1 to " + MAX_HEAD + " and within the file, not " + length);
        int end = bytes.length - Integer.BYTES;
        expect(in.getInt(end) == sum(bytes, end), end, "the CRC-32C of what is before it");
        JsonNode head;
        try {
            head = JSON.readTree(bytes, in.position(), length);
        } catch (JsonProcessingException e) {
            throw new IOException("at offset " + in.position() + ": expected the head in JSON", e);
        }
        int start = in.position() + length;
        in.position(start);
        int count = head.path("count").asInt(-1);
        expect(
                count >= 0 && (long) count * Ring.EVENT_BYTES == end - start,
                start,
                count + " events of " + Ring.EVENT_BYTES + " bytes");
        JsonNode names = head.path("events");
        List<Event> events = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int at = in.position();
            long micros = in.getLong();
            long both = in.getLong();
            JsonNode name = names.path((int) both);
            expect(name.isObject(), at + Long.BYTES, "the number of one of the head's events");
            events.add(new Event(
                    micros,
                    name.path("name").asText(),
                    (int) (both >>> 32),
                    in.getLong(),
                    in.getLong(),
                    name.path("of").asText()));
        }
        return new Dump(
                head.path("node").asText(),
                head.path("at_ms").asLong(),
                head.path("at_us").asLong(),
                head.path("reason").asText(),
                head.path("detail").asText(),
                head.path("stack").asText(),
                head.path("lost").asLong(),
                List.copyOf(events));
    }

    private static void expect(boolean holds, int offset, String what) throws IOException {
        if (!holds) {
            throw new IOException("at offset " + offset + ": expected " + what);
        }
    }
}
