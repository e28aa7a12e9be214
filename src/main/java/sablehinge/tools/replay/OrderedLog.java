package sablehinge.tools.replay;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import sablehinge.common.mapping.MappedRequest;
import sablehinge.common.mapping.Mapping;
import sablehinge.common.mapping.RequestAttributes;
import sablehinge.tools.replay.timeline.Timeline;

/** One log, its requests in the order in which they began. */
final class OrderedLog implements Closeable {

    /** Times by which it is seen whether a log has full seconds only. */
    private static final int SAMPLE = 200;

    private static final int MAX_BODY = 1 << 16;

    /**
     * What is held of a request until its place is known.
     *
     * @param shape of one that no rule is for; otherwise null
     */
    record Held(
            double duration,
            String caller,
            String method,
            String target,
            int status,
            String id,
            boolean sure,
            MappedRequest mapped,
            String shape,
            int body,
            long bytes) {}

    /** A request and when it began. */
    record Placed(double time, Held held) {}

    private final EntryReader entries;
    private final Mapping mapping;
    private final ArrayDeque<Placed> ready = new ArrayDeque<>();
    private final Timeline<Held> logged;
    /** Where the log's times are ends: what has left the first line is ordered again by its beginning. */
    private final Timeline<Held> byBegin;

    private final double window;
    private final ArrayDeque<LogEntry> sample = new ArrayDeque<>();
    private boolean ended;

    OrderedLog(EntryReader entries, LogOptions options, double window, int mostHeld, long seed) throws IOException {
        this.entries = entries;
        this.mapping = options.mapping();
        this.window = window;
        Timeline.Sink<Held> out = (time, held) -> ready.add(new Placed(time, held));
        byBegin = entries.timeIsEnd() ? new Timeline<>(new Timeline.Terms(window, mostHeld, false, seed), out) : null;
        logged = new Timeline<>(
                new Timeline.Terms(window, mostHeld, fullSeconds(), seed), byBegin == null ? out : this::ended);
    }

    private boolean fullSeconds() throws IOException {
        boolean complete = true;
        int timed = 0;
        while (timed < SAMPLE && sample.size() < 4 * SAMPLE) {
            LogEntry entry = entries.next();
            if (entry == null) {
                break;
            }
            sample.add(entry);
            if (!Double.isNaN(entry.time())) {
                timed++;
                complete &= entry.time() % 1_000 == 0;
            }
        }
        return complete && timed > 1;
    }

    private void ended(double time, Held held) {
        byBegin.add(time - (held.duration >= 0 ? Math.min(held.duration, window) : 0), held);
    }

    /** The next request, which stays the next; null after the last. */
    Placed peek() throws IOException {
        while (ready.isEmpty() && !ended) {
            LogEntry entry = sample.isEmpty() ? entries.next() : sample.poll();
            if (entry == null) {
                ended = true;
                logged.end();
                if (byBegin != null) {
                    byBegin.end();
                }
            } else {
                logged.add(entry.time(), held(entry));
            }
        }
        return ready.peek();
    }

    Placed poll() throws IOException {
        peek();
        return ready.poll();
    }

    private Held held(LogEntry entry) {
        RequestAttributes requested =
                new RequestAttributes(entry.method(), entry.host(), entry.target(), entry.caller(), entry.headers());
        MappedRequest mapped = mapping.map(requested);
        int body =
                mapped != null && mapped.body() >= 0 ? mapped.body() : (int) Math.min(MAX_BODY, entry.requestBytes());
        return new Held(
                entry.duration(),
                entry.caller(),
                entry.method(),
                entry.target(),
                entry.status(),
                entry.id(),
                entry.sure(),
                mapped,
                mapped == null ? Mapping.shape(requested) : null,
                body,
                entry.bytes());
    }

    long missing() {
        return logged.missing();
    }

    long outOfOrder() {
        return logged.outOfOrder();
    }

    long late() {
        return logged.late() + (byBegin == null ? 0 : byBegin.late());
    }

    long jumps() {
        return logged.jumps();
    }

    @Override
    public void close() throws IOException {
        entries.close();
    }
}
