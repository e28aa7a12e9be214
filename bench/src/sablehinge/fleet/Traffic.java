package sablehinge.fleet;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;

/** Counts records and their bytes by kind, seen from the sidecars' end; any thread may add. */
final class Traffic implements Connection.Observer {

    private final Map<Frame.Kind, LongAdder[]> counters = new EnumMap<>(Frame.Kind.class);

    /**
     * Records of one kind.
     *
     * @param sent records from sidecars to control nodes
     * @param received records from control nodes to sidecars
     */
    record Count(long sent, long sentBytes, long received, long receivedBytes) {

        Count minus(Count other) {
            return new Count(
                    sent - other.sent,
                    sentBytes - other.sentBytes,
                    received - other.received,
                    receivedBytes - other.receivedBytes);
        }

        Count plus(Count other) {
            return new Count(
                    sent + other.sent,
                    sentBytes + other.sentBytes,
                    received + other.received,
                    receivedBytes + other.receivedBytes);
        }
    }

    Traffic() {
        for (Frame.Kind kind : Frame.Kind.values()) {
            counters.put(kind, new LongAdder[] {new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()});
        }
    }

    @Override
    public void sent(Frame.Kind kind, int bytes) {
        LongAdder[] of = counters.get(kind);
        of[0].increment();
        of[1].add(bytes);
    }

    @Override
    public void received(Frame.Kind kind, int bytes) {
        LongAdder[] of = counters.get(kind);
        of[2].increment();
        of[3].add(bytes);
    }

    /** What was counted until now. */
    Map<Frame.Kind, Count> counts() {
        Map<Frame.Kind, Count> counts = new EnumMap<>(Frame.Kind.class);
        counters.forEach((kind, of) -> counts.put(kind, new Count(of[0].sum(), of[1].sum(), of[2].sum(), of[3].sum())));
        return counts;
    }
}
