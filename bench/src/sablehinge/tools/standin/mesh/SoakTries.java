package sablehinge.tools.standin.mesh;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Keeps what became of the tries of one machine's clients, and tells the traffic log; for any thread. */
final class SoakTries {

    private final int machine;
    private final TrafficLog trafficLog;
    private final ConcurrentLinkedQueue<SoakTry> ended = new ConcurrentLinkedQueue<>();

    /** A try that has no end yet. */
    static final class Pending {
        private final TrafficLog.Sent sent;
        private final int ahead;
        private final double leftMs;
        /** How long its client takes to read the answer by itself, ms. */
        private final double readMs;
        /** When its last byte was written, ms; NaN before that. */
        private volatile double writtenAt = Double.NaN;

        private Pending(TrafficLog.Sent sent, int ahead, double leftMs, double readMs) {
            this.sent = sent;
            this.ahead = ahead;
            this.leftMs = leftMs;
            this.readMs = readMs;
        }

        /** All of it has been written now. */
        void isWritten() {
            writtenAt = TrafficLog.now();
        }
    }

    SoakTries(int machine, TrafficLog trafficLog) {
        this.machine = machine;
        this.trafficLog = trafficLog;
    }

    /**
     * A client begins to write a try.
     *
     * @param ahead requests before it on its connection that have no answer
     * @param leftMs the time that it has
     * @param readMs how long its client takes to read the answer by itself
     */
    Pending begin(TrafficLog.Sent sent, int ahead, double leftMs, double readMs) {
        trafficLog.sent(sent);
        return new Pending(sent, ahead, leftMs, readMs);
    }

    /** A try has ended; {@code answer} is null where there is none, of which a part may have come. */
    void end(Pending one, SoakTry.End end, Message answer, boolean begun) {
        int status = answer == null ? 0 : answer.status();
        String stamp = answer == null ? null : answer.header("Sablehinge-Postmark");
        double now = TrafficLog.now();
        ended.add(new SoakTry(
                one.sent.id(),
                one.sent.kind(),
                machine,
                one.ahead,
                one.sent.at(),
                one.writtenAt,
                end,
                begun,
                status,
                stamp != null,
                now,
                one.leftMs,
                one.readMs));
        trafficLog.answered(new TrafficLog.Answered(
                one.sent.id(),
                status,
                answer == null ? null : answer.header("Sablehinge-Try-Id"),
                stamp,
                answer == null ? 0 : Message.sum(answer.body()),
                now));
    }

    /** Those that have ended. */
    List<SoakTry> ended() {
        return List.copyOf(ended);
    }
}
