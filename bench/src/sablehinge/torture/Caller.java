package sablehinge.torture;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import sablehinge.torture.World.TestRequest;

/** A caller's end of a connection: sends what it has planned in any pieces, stops reading, leaves, by a seed. */
final class Caller implements Net.End {

    /** How it behaves. */
    enum Habit {
        PLAIN,
        READS_SLOWLY,
        SENDS_SLOWLY,
        PIPELINES,
        LEAVES,
        RESETS,
        ENDS_STREAM,
        NEVER_READS,
        /** Speaks HTTP/1.0: an answer without a length ends with the connection. */
        OLD
    }

    private final World world;
    private final Net net;
    private final Dice dice;
    final PipeChannel channel;
    final Habit habit;
    private final ArrayDeque<TestRequest> planned = new ArrayDeque<>();
    /** What was sent completely or in part and has no answer yet. */
    final ArrayDeque<TestRequest> requested = new ArrayDeque<>();

    private TestRequest sending;
    private byte[] head;
    private int headSent;
    private long chunkLeft;
    private final HttpReader reader;
    private boolean reads = true;
    private boolean sends = true;
    /** Whether it has left, and by when the balancer has. */
    boolean gone;

    boolean notified;
    /** When it last had a complete answer, before which the next request is not looked at. */
    double quietSince;
    /** When the balancer last had read all that was sent. */
    double readAt;

    private final long leavesAfter;
    private long moved;

    Caller(World world, int place) {
        this.world = world;
        this.net = world.net;
        dice = new Dice(world.script.seed(), "caller", place);
        Habit drawn = dice.chance(2) ? Habit.PLAIN : Habit.values()[dice.nextInt(Habit.values().length)];
        habit = world.script.has(Script.Event.HABITS) ? drawn : Habit.PLAIN;
        int requests = habit == Habit.OLD ? 1 : Math.min(1 + dice.nextInt(4), world.script.requests());
        channel = net.caller(dice.size(256, 65_536), dice.size(256, 65_536), dice);
        channel.playedBy(this);
        reader = new HttpReader(true, new Answers());
        leavesAfter = habit == Habit.LEAVES || habit == Habit.RESETS || habit == Habit.ENDS_STREAM
                ? dice.size(1, 200_000)
                : Long.MAX_VALUE;
        for (int i = 0; i < requests; i++) {
            planned.add(world.ask(this, dice, place + "." + i));
        }
        net.later(dice.nextDouble() * 5, this::send);
    }

    /** Whether it can take more at the moment, so that nothing for it should be held back. */
    boolean canTake() {
        return !gone && channel.out.space() > 0;
    }

    /** The request whose body it is sending. */
    TestRequest sending() {
        return sending;
    }

    // ---- Sending -----------------------------------------------------------------------------------

    private void send() {
        if (gone || !sends || channel.in.isBroken() || channel.in.isEnded()) {
            return;
        }
        try {
            int budget = habit == Habit.SENDS_SLOWLY ? dice.size(1, 3_000) : dice.portion();
            while (budget > 0 && channel.in.space() > 0) {
                if (sending == null) {
                    if (planned.isEmpty() || habit != Habit.PIPELINES && !requested.isEmpty()) {
                        return;
                    }
                    begin(planned.poll());
                }
                int count = sendPart(Math.min(budget, channel.in.space()));
                budget -= count;
                moved(count);
                if (gone) {
                    return;
                }
            }
            channel.came();
        } catch (IOException e) {
            sends = false;
            return;
        }
        if (channel.in.space() > 0 && sending != null) {
            net.later(habit == Habit.SENDS_SLOWLY ? dice.nextDouble() * 20 : dice.nextDouble(), this::send);
        } else if (sending == null) {
            net.later(dice.nextDouble() * 3, this::send);
        }
    }

    private void begin(TestRequest next) {
        sending = next;
        requested.add(next);
        head = next.head().getBytes(StandardCharsets.US_ASCII);
        headSent = 0;
        chunkLeft = 0;
    }

    private int sendPart(int most) throws IOException {
        int count;
        if (headSent < head.length) {
            count = channel.in.write(head, headSent, Math.min(most, head.length - headSent));
            headSent += count;
        } else if (sending.chunked && chunkLeft == 0 && !sending.body.isOver()) {
            chunkLeft = Math.min(
                    sending.body.length - sending.body.sent(), dice.chance(2) ? dice.size(1, 3) : dice.size(1, 40_000));
            // The line of its size goes with the rest of the chunk's framing in one write.
            head = ((sending.body.sent() == 0 ? "" : "\r\n") + Long.toHexString(chunkLeft) + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            headSent = 0;
            return 0;
        } else {
            long left = sending.chunked ? chunkLeft : sending.body.length - sending.body.sent();
            byte[] bytes = sending.body.next((int) Math.min(most, left));
            count = channel.in.write(bytes, 0, bytes.length);
            chunkLeft -= sending.chunked ? count : 0;
        }
        if (headSent == head.length && sending.body.isOver() && (!sending.chunked || chunkLeft == 0)) {
            if (sending.chunked && !sending.lastChunk) {
                sending.lastChunk = true;
                head = ((sending.body.length == 0 ? "" : "\r\n") + "0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
                headSent = 0;
                return count;
            }
            sending.sentAt = net.now();
            sending = null;
        }
        return count;
    }

    private void moved(long count) {
        moved += count;
        if (moved > leavesAfter) {
            leave();
        }
    }

    /** Leaves, as its habit is. */
    void leave() {
        if (gone) {
            return;
        }
        gone = true;
        if (habit == Habit.RESETS || channel.out.held() > 0) {
            channel.in.breakOff(dice.chance(2));
            channel.out.breakOff(true);
        } else {
            channel.in.end();
            if (habit != Habit.ENDS_STREAM) {
                channel.out.breakOff(true);
            }
        }
        channel.came();
        channel.taken();
    }

    // ---- Reading -----------------------------------------------------------------------------------

    @Override
    public void came() {
        if (reads) {
            reads = false;
            net.later(dice.chance(2) ? 0 : dice.nextDouble(), this::read);
        }
    }

    private void read() {
        reads = true;
        if (gone && habit != Habit.ENDS_STREAM) {
            return;
        }
        if (habit == Habit.NEVER_READS && channel.out.out() > 2_000) {
            reads = false;
            return;
        }
        byte[] bytes = channel.out.read(habit == Habit.READS_SLOWLY ? dice.size(1, 3_000) : dice.portion());
        if (bytes.length > 0) {
            channel.taken();
            reader.read(bytes);
            moved(bytes.length);
            if (reader.flaw != null) {
                net.violated("a caller can't read its answer: " + reader.flaw);
                leave();
                return;
            }
        }
        if (channel.out.held() > 0) {
            reads = false;
            double rest = habit == Habit.READS_SLOWLY
                    ? dice.nextDouble() * (dice.chance(20) ? 3_000 : 20)
                    : dice.chance(4) ? dice.nextDouble() : 0;
            net.later(rest, this::read);
        } else if (channel.out.isEnded() || channel.out.isBroken()) {
            ended();
        }
    }

    private void ended() {
        if (!notified) {
            notified = true;
            boolean reset = channel.out.isBroken();
            if (!reset) {
                reader.streamEnded();
            }
            if (reader.flaw != null) {
                net.violated("a caller can't read its last answer: " + reader.flaw);
            }
            gone = true;
            channel.in.end();
            channel.came();
        }
    }

    @Override
    public void taken() {
        if (channel.in.held() == 0) {
            readAt = net.now();
        }
        if (sending != null || !planned.isEmpty()) {
            net.later(dice.nextDouble(), this::send);
        }
    }

    @Override
    public void left() {
        came();
    }

    /** Checks what it is answered. */
    private final class Answers implements HttpReader.Heard {

        @Override
        public void head(HttpReader message) {
            TestRequest first = requested.peek();
            if (message.status() >= 200) {
                if (first == null) {
                    message.flaw = "an answer to nothing";
                } else {
                    first.begunAt = net.now();
                }
            }
        }

        @Override
        public boolean complete(HttpReader message) {
            if (message.status() < 200) {
                return true;
            }
            TestRequest first = requested.poll();
            quietSince = net.now();
            world.answered(Caller.this, first, message);
            boolean closes = "close".equals(message.headers.get("connection"));
            if (!closes) {
                net.later(dice.nextDouble(), Caller.this::send);
            }
            return !closes;
        }
    }
}
