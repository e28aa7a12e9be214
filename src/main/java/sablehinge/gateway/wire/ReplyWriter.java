package sablehinge.gateway.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import sablehinge.policy.LoadBalancer;

/** Builds one reply: the actions of each instance as fixed-size records, with texts and payloads in the tail. */
final class ReplyWriter implements LoadBalancer.Actions {

    static final int RECORD_BYTES = 32;
    private static final int MAX_PEER_BYTES = 256;

    private byte[] records = new byte[1 << 14];
    private int used;
    private byte[] tail = new byte[1 << 10];
    private int tailUsed;
    private int count;
    private int instance;

    /** Selects the instance of the subsequent actions. */
    void select(int number) {
        instance = number;
    }

    @Override
    public void refuse(long requestId, double retryAfter) {
        int at = record(0);
        LittleEndian.putLong(records, at + 5, requestId);
        LittleEndian.putDouble(records, at + 13, retryAfter);
    }

    @Override
    public void healthCheck(long upstream) {
        int at = record(1);
        LittleEndian.putUpstream(records, at + 5, upstream);
    }

    @Override
    public void fail(long requestId) {
        int at = record(2);
        LittleEndian.putLong(records, at + 5, requestId);
    }

    @Override
    public void send(long requestId, long upstream, double timeout) {
        int at = record(3);
        LittleEndian.putLong(records, at + 5, requestId);
        LittleEndian.putUpstream(records, at + 13, upstream);
        LittleEndian.putDouble(records, at + 19, timeout);
    }

    /** Reports that the decision code failed. */
    void fault(String text) {
        putTail(record(4) + 5, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void closeIdle(long upstream) {
        int at = record(5);
        LittleEndian.putUpstream(records, at + 5, upstream);
    }

    @Override
    public void log(String text) {
        putTail(record(6) + 5, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void watch(boolean on) {
        int at = record(7);
        records[at + 5] = (byte) (on ? 1 : 0);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        int at = record(8);
        LittleEndian.putLong(records, at + 5, requestId);
        LittleEndian.putShort(records, at + 13, attempt);
    }

    @Override
    public void tell(int peer, byte[] payload) {
        if (payload.length > MAX_PEER_BYTES) {
            throw new IllegalArgumentException("a peer message holds " + MAX_PEER_BYTES + " bytes at most");
        }
        int at = record(9);
        LittleEndian.putInt(records, at + 5, peer);
        putTail(at + 9, payload);
    }

    @Override
    public void fetch() {
        record(10);
    }

    @Override
    public void setTimer(long token, double at) {
        int record = record(11);
        LittleEndian.putLong(records, record + 5, token);
        LittleEndian.putDouble(records, record + 13, at);
    }

    /** Writes the reply and starts the next one. */
    void writeTo(OutputStream out) throws IOException {
        byte[] header = new byte[8];
        LittleEndian.putInt(header, 0, used + tailUsed);
        LittleEndian.putInt(header, 4, count);
        out.write(header);
        out.write(records, 0, used);
        out.write(tail, 0, tailUsed);
        out.flush();
        used = 0;
        tailUsed = 0;
        count = 0;
    }

    /**
     * Appends a record and returns its offset. It may reallocate {@link #records}, so call it before accessing the
     * array.
     */
    private int record(int code) {
        int at = used;
        if (at + RECORD_BYTES > records.length) {
            records = Arrays.copyOf(records, records.length * 2);
        }
        Arrays.fill(records, at, at + RECORD_BYTES, (byte) 0);
        records[at] = (byte) code;
        LittleEndian.putInt(records, at + 1, instance);
        used += RECORD_BYTES;
        count++;
        return at;
    }

    private void putTail(int at, byte[] bytes) {
        if (tailUsed + bytes.length > tail.length) {
            tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailUsed + bytes.length));
        }
        System.arraycopy(bytes, 0, tail, tailUsed, bytes.length);
        LittleEndian.putInt(records, at, tailUsed);
        LittleEndian.putInt(records, at + 4, bytes.length);
        tailUsed += bytes.length;
    }
}
