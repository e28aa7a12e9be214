package sablehinge.gateway.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import sablehinge.gateway.settings.MalformedInputException;
import sablehinge.gateway.settings.SettingsParser;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Outcome;
import sablehinge.policy.LoadBalancer.Request;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;

/** Reads batches of events, dispatches each event to its instance and writes one reply for each batch. */
final class WireHost {

    static final int HEADER_BYTES = 16;
    static final int RECORD_BYTES = 48;
    static final int ENTRY_BYTES = 24;
    /** Far above the size of any real batch and far below the maximum size of an array. */
    private static final long MAX_FRAME_BYTES = 1L << 29;

    private static final int MAX_LISTS = 16;
    private static final int MAX_REPORT_VALUES = 4;

    private final Function<LoadBalancer.Actions, LoadBalancer> factory;
    private final ReplyWriter reply = new ReplyWriter();
    /** Looked up by number only, never iterated. */
    private final Map<Integer, Hosted> instances = new HashMap<>();
    /** Upstream lists, shared by all instances of the process. */
    private final List<List<Upstream>> lists = new ArrayList<>();

    private double clock = Double.NEGATIVE_INFINITY;
    private long frame;

    private byte[] body;
    private int tailAt;

    /** An instance and the settings that validate its events. */
    private record Hosted(LoadBalancer balancer, Settings settings) {}

    WireHost(Function<LoadBalancer.Actions, LoadBalancer> factory) {
        this.factory = factory;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    /** Serves until the input ends between two frames. */
    void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = in.readNBytes(HEADER_BYTES);
        while (header.length > 0) {
            if (header.length < HEADER_BYTES) {
                throw new MalformedInputException("frame " + frame + ": input ends inside the header");
            }
            handleFrame(header, in);
            reply.writeTo(out);
            frame++;
            header = in.readNBytes(HEADER_BYTES);
        }
    }

    private void handleFrame(byte[] header, InputStream in) throws IOException {
        long length = LittleEndian.getUnsignedInt(header, 0);
        long records = LittleEndian.getUnsignedInt(header, 4);
        double now = LittleEndian.getDouble(header, 8);
        if (length > MAX_FRAME_BYTES) {
            throw malformed("length " + length + " is over the limit of " + MAX_FRAME_BYTES);
        }
        if (records * RECORD_BYTES > length) {
            throw malformed(records + " records do not fit into " + length + " bytes");
        }
        if (!Double.isFinite(now) || now < clock) {
            throw malformed("clock " + now + " after " + clock);
        }
        clock = now;
        body = in.readNBytes((int) length);
        if (body.length < length) {
            throw malformed("input ends after " + body.length + " of " + length + " bytes");
        }
        tailAt = (int) records * RECORD_BYTES;
        for (int i = 0; i < records; i++) {
            try {
                handleEvent(i * RECORD_BYTES);
            } catch (MalformedInputException e) {
                throw malformed("record " + i + ": " + e.getMessage());
            }
        }
    }

    private MalformedInputException malformed(String message) {
        return new MalformedInputException("frame " + frame + ": " + message);
    }

    private void handleEvent(int at) {
        int code = LittleEndian.getByte(body, at);
        if (code == 10) {
            readList(at);
            return;
        }
        if (code > 10) {
            throw new MalformedInputException("unknown event code " + code);
        }
        int instance = LittleEndian.getInt(body, at + 1);
        if (code == 0) {
            provision(instance, at);
            return;
        }
        Hosted hosted = instances.get(instance);
        if (hosted == null) {
            throw new MalformedInputException(
                    "event " + code + " for unknown instance " + Integer.toUnsignedString(instance));
        }
        if (code == 9) {
            instances.remove(instance);
            return;
        }
        Runnable event = decode(code, at, hosted);
        decide(instance, event);
    }

    /** Runs the decision code for one event. Its exceptions are reported to the simulator, never swallowed. */
    private void decide(int instance, Runnable event) {
        reply.select(instance);
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void provision(int instance, int at) {
        byte[] text = tail(at + 13, 1);
        long seed = LittleEndian.getLong(body, at + 5);
        Settings settings = SettingsParser.parse(text);
        LoadBalancer balancer = factory.apply(reply);
        instances.put(instance, new Hosted(balancer, settings));
        double now = clock;
        decide(instance, () -> balancer.start(now, settings, seed));
    }

    /** Validates the fields of an event and binds them to the corresponding call. */
    private Runnable decode(int code, int at, Hosted hosted) {
        LoadBalancer balancer = hosted.balancer();
        double now = clock;
        switch (code) {
            case 1:
                return decodeDiscovery(at, balancer);
            case 2:
                Request request = readRequest(at, hosted.settings());
                return () -> balancer.request(now, request);
            case 3:
                long streamed = LittleEndian.getLong(body, at + 5);
                int attempt = LittleEndian.getShort(body, at + 13);
                double elapsedToStart = number(at + 21, "elapsed");
                return () -> balancer.streamStarted(now, streamed, attempt, elapsedToStart);
            case 4:
                Outcome outcome = readOutcome(at);
                return () -> balancer.attemptFinished(now, outcome);
            case 5:
                long abandoned = LittleEndian.getLong(body, at + 5);
                return () -> balancer.clientGone(now, abandoned);
            case 6:
                long token = LittleEndian.getLong(body, at + 5);
                return () -> balancer.timer(now, token);
            case 7:
                long upstream = LittleEndian.getUpstream(body, at + 5);
                Result result = result(LittleEndian.getByte(body, at + 11));
                double elapsed = number(at + 12, "elapsed");
                double[] report = report(at + 20);
                return () -> balancer.healthCheckResult(now, upstream, result, elapsed, report);
            default:
                int sender = LittleEndian.getShort(body, at + 5);
                byte[] payload = tail(at + 7, 1);
                return () -> balancer.peerMessage(now, sender, payload);
        }
    }

    private Runnable decodeDiscovery(int at, LoadBalancer balancer) {
        double now = clock;
        int mode = LittleEndian.getByte(body, at + 5);
        if (mode > 3) {
            throw new MalformedInputException("unknown list kind " + mode);
        }
        Change change = Change.values()[mode];
        if (change == Change.FAILED) {
            return () -> balancer.upstreamsChanged(now, change, List.of());
        }
        List<Upstream> list = lists.get(listNumber(at + 10));
        if (list == null) {
            throw new MalformedInputException("list " + LittleEndian.getShort(body, at + 10) + " was never given");
        }
        return () -> balancer.upstreamsChanged(now, change, list);
    }

    private int listNumber(int at) {
        int number = LittleEndian.getShort(body, at);
        if (number >= MAX_LISTS) {
            throw new MalformedInputException("list number " + number + " is over " + (MAX_LISTS - 1));
        }
        return number;
    }

    private void readList(int at) {
        int number = listNumber(at + 1);
        int from = tailOffset(at + 3, ENTRY_BYTES);
        int entries = LittleEndian.getInt(body, at + 7);
        List<Upstream> list = new ArrayList<>(entries);
        for (int i = 0; i < entries; i++) {
            int entry = from + i * ENTRY_BYTES;
            int state = LittleEndian.getByte(body, entry + 11);
            if (state > 2) {
                throw new MalformedInputException("list entry " + i + ": unknown state " + state);
            }
            float weight = LittleEndian.getFloat(body, entry + 12);
            if (!Float.isFinite(weight)) {
                throw new MalformedInputException("list entry " + i + ": capacity hint " + weight);
            }
            list.add(new Upstream(
                    LittleEndian.getUpstream(body, entry),
                    LittleEndian.getShort(body, entry + 6),
                    LittleEndian.getByte(body, entry + 8),
                    LittleEndian.getShort(body, entry + 9),
                    State.values()[state],
                    weight,
                    number(entry + 16, "start time")));
        }
        lists.set(number, List.copyOf(list));
    }

    private Request readRequest(int at, Settings settings) {
        int serviceClass = LittleEndian.getByte(body, at + 13);
        if (serviceClass >= settings.classes().size()) {
            throw new MalformedInputException("unknown class " + serviceClass);
        }
        int tenant = LittleEndian.getShort(body, at + 14);
        if (tenant > 0 && tenant >= settings.tenants().size()) {
            throw new MalformedInputException("unknown tenant " + tenant);
        }
        int flags = LittleEndian.getByte(body, at + 40);
        double cost = (flags & 1) != 0 ? Math.max(0, number(at + 32, "cost hint")) : 0;
        return new Request(
                LittleEndian.getLong(body, at + 5),
                serviceClass,
                tenant,
                LittleEndian.getLong(body, at + 16),
                number(at + 24, "deadline"),
                cost,
                (flags & 2) != 0,
                (flags & 4) != 0,
                0);
    }

    private Outcome readOutcome(int at) {
        return new Outcome(
                LittleEndian.getLong(body, at + 5),
                LittleEndian.getShort(body, at + 21),
                LittleEndian.getUpstream(body, at + 15),
                result(LittleEndian.getByte(body, at + 14)),
                LittleEndian.getByte(body, at + 13) != 0,
                number(at + 23, "elapsed"),
                report(at + 31));
    }

    private static Result result(int code) {
        switch (code) {
            case 10:
                return Result.OK;
            case 20:
                return Result.ERROR;
            case 30:
                return Result.FULL;
            case 40:
                return Result.TIMEOUT;
            case 50:
                return Result.CONNECT_FAILED;
            case 60:
                return Result.RESET;
            case 70:
                return Result.CANCELLED;
            case 80:
                return Result.NOT_SENT;
            default:
                throw new MalformedInputException("unknown outcome " + code);
        }
    }

    private double[] report(int at) {
        int values = LittleEndian.getByte(body, at);
        if (values == 0) {
            return null;
        }
        if (values > MAX_REPORT_VALUES) {
            throw new MalformedInputException("load report of " + values + " values");
        }
        double[] report = new double[values];
        for (int i = 0; i < values; i++) {
            report[i] = LittleEndian.getFloat(body, at + 1 + 4 * i);
        }
        return report;
    }

    private double number(int at, String what) {
        double value = LittleEndian.getDouble(body, at);
        if (!Double.isFinite(value)) {
            throw new MalformedInputException(what + " " + value);
        }
        return value;
    }

    /**
     * Returns the offset of a tail field's content in the body, after checking that the content lies inside the tail.
     */
    private int tailOffset(int at, int unit) {
        long offset = LittleEndian.getUnsignedInt(body, at);
        long bytes = LittleEndian.getUnsignedInt(body, at + 4) * unit;
        long size = (long) body.length - tailAt;
        if (offset + bytes > size) {
            throw new MalformedInputException(
                    "offset " + offset + " with " + bytes + " bytes leaves the tail of " + size);
        }
        return tailAt + (int) offset;
    }

    private byte[] tail(int at, int unit) {
        int from = tailOffset(at, unit);
        byte[] bytes = new byte[LittleEndian.getInt(body, at + 4) * unit];
        System.arraycopy(body, from, bytes, 0, bytes.length);
        return bytes;
    }
}
