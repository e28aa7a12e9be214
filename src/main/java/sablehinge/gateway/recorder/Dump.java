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
 * A snapshot of a ring with the reason for it. The file format is: the magic number, the length of the header, the
 * header as JSON in UTF-8, the events in four little-endian words each, and the CRC-32C (RFC 3720) of all preceding
 * bytes. The header contains the names of the events, so that one release can read the dumps of another.
 *
 * @param node the name of the balancer
 * @param atMillis the time of the dump in ms since 1970
 * @param atMicros the same time by the clock of the events
 * @param reason a single word, such as the kind of an alarm
 * @param detail a description of the observation
 * @param stack the stack of the event loop's thread, one frame per line; empty if it was not captured
 * @param lost the number of events that were overwritten in the ring
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

    private static final byte[] MAGIC = "SHFR0001".getBytes(StandardCharsets.US_ASCII);
    /** An upper limit of the header, far above the size of any real one. */
    private static final int MAX_HEADER_BYTES = 1 << 20;

    private static final JsonMapper JSON = new JsonMapper();

    /**
     * An event of a dump.
     *
     * @param micros the time, by the same clock as {@code atMicros}
     * @param name the name of the {@link TraceEvent}
     * @param of the meaning of the value; empty for none
     */
    public record Event(long micros, String name, int connection, long exchange, long value, String of) {}

    /** Creates a dump of the current content of a ring. */
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

    /** The content of the file. */
    byte[] bytes() throws IOException {
        List<String> names = events.stream().map(Event::name).distinct().toList();
        ObjectNode header = JSON.createObjectNode()
                .put("node", node)
                .put("at_ms", atMillis)
                .put("at_us", atMicros)
                .put("reason", reason)
                .put("detail", detail)
                .put("stack", stack)
                .put("lost", lost)
                .put("count", events.size());
        names.forEach(name -> header.withArray("events")
                .addObject()
                .put("name", name)
                .put("of", TraceEvent.valueOf(name).valueMeaning()));
        byte[] text = JSON.writeValueAsBytes(header);
        ByteBuffer out = ByteBuffer.allocate(
                        MAGIC.length + Integer.BYTES + text.length + events.size() * Ring.EVENT_BYTES + Integer.BYTES)
                .order(ByteOrder.LITTLE_ENDIAN);
        out.put(MAGIC).putInt(text.length).put(text);
        for (Event event : events) {
            out.putLong(event.micros)
                    .putLong((long) event.connection << 32 | names.indexOf(event.name))
                    .putLong(event.exchange)
                    .putLong(event.value);
        }
        out.putInt(checksum(out.array(), out.position()));
        return out.array();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Parses the content of a file.
     *
     * @throws IOException if it is not a dump or is damaged; the message has the offset and what was expected there
     */
    public static Dump read(byte[] bytes) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        expect(
                bytes.length >= MAGIC.length + 2 * Integer.BYTES,
                bytes.length,
                "a magic number, a header and a checksum");
        for (int i = 0; i < MAGIC.length; i++) {
            expect(in.get() == MAGIC[i], i, "the magic number \"SHFR0001\"");
        }
        int length = in.getInt();
        expect(
                length > 0 && length <= MAX_HEADER_BYTES && length <= in.remaining() - Integer.BYTES,
                MAGIC.length,
                "the length of the header, 1 to " + MAX_HEADER_BYTES + " and within the file, not " + length);
        int end = bytes.length - Integer.BYTES;
        expect(in.getInt(end) == checksum(bytes, end), end, "the CRC-32C of the preceding bytes");
        JsonNode header;
        try {
            header = JSON.readTree(bytes, in.position(), length);
        } catch (JsonProcessingException e) {
            throw new IOException("at offset " + in.position() + ": expected the header in JSON", e);
        }
        int start = in.position() + length;
        in.position(start);
        int count = header.path("count").asInt(-1);
        expect(
                count >= 0 && (long) count * Ring.EVENT_BYTES == end - start,
                start,
                count + " events of " + Ring.EVENT_BYTES + " bytes");
        JsonNode names = header.path("events");
        List<Event> events = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int offset = in.position();
            long micros = in.getLong();
            long connectionAndIndex = in.getLong();
            JsonNode name = names.path((int) connectionAndIndex);
            expect(name.isObject(), offset + Long.BYTES, "the number of one of the header's events");
            events.add(new Event(
                    micros,
                    name.path("name").asText(),
                    (int) (connectionAndIndex >>> 32),
                    in.getLong(),
                    in.getLong(),
                    name.path("of").asText()));
        }
        return new Dump(
                header.path("node").asText(),
                header.path("at_ms").asLong(),
                header.path("at_us").asLong(),
                header.path("reason").asText(),
                header.path("detail").asText(),
                header.path("stack").asText(),
                header.path("lost").asLong(),
                List.copyOf(events));
    }

    private static void expect(boolean condition, int offset, String expected) throws IOException {
        if (!condition) {
            throw new IOException("at offset " + offset + ": expected " + expected);
        }
    }
}
