package sablehinge.torture;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import sablehinge.torture.World.Made;
import sablehinge.torture.World.TestRequest;

/** An upstream of any number of connections, which answers, spoils, stalls and breaks by a seed. */
final class Upstream implements Net.Listener {

    /** What becomes of an answer. */
    enum Fate {
        GOOD,
        CLOSES_AFTER,
        UNFRAMED,
        BREAKS,
        RESETS,
        STALLS,
        NEVER,
        UNFRAMED_RESETS,
        EXTRA,
        AHEAD,
        TURNED_AWAY,
        ERROR,
        NOISE
    }

    private final World world;
    private final Net net;
    private final Dice dice;
    final long id;
    final InetSocketAddress address;
    /** How many in a hundred go wrong. */
    private final int fault;

    private int connections;
    /** When the balancer was notified that it takes nothing new. */
    double drainingSince = Double.NaN;

    Upstream(World world, long id, int fault) {
        this.world = world;
        this.net = world.net;
        this.id = id;
        this.fault = fault;
        dice = new Dice(world.script.seed(), "upstream", id);
        address = new InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 10_000 + (int) id);
        net.listen(address, this);
    }

    @Override
    public double answersAfter() {
        return dice.nextInt(100) >= fault
                ? dice.nextDouble() * 2
                : dice.chance(3) ? Double.NaN : dice.chance(2) ? -1 : 150 * dice.nextDouble();
    }

    @Override
    public void connected(PipeChannel channel) {
        world.served.add(new Connection(channel));
    }

    /** The balancer's connection, seen from here. */
    final class Connection implements Net.End {

        final PipeChannel channel;
        private final Dice dice;
        private final HttpReader reader;
        /** The request that comes or is answered, and its answer. */
        TestRequest at;

        private Made made;
        private Fate fate;
        private byte[] pending = new byte[0];
        private int pendingSent;
        private long chunkLeft;
        private boolean begun;
        private boolean lastFramed;
        private boolean reads = true;
        private boolean over;
        private boolean writing;
        private long breaksAt;
        private boolean slow;
        private final long stopsAfter;

        Connection(PipeChannel channel) {
            this.channel = channel;
            dice = new Dice(world.script.seed(), "connection", id, connections++);
            channel.playedBy(this);
            slow = dice.chance(6);
            stopsAfter = dice.nextInt(300) < fault ? dice.size(1, 400_000) : Long.MAX_VALUE;
            reader = new HttpReader(false, new Requests());
        }

        /** Whether it can take more of a request now. */
        boolean canTake() {
            return !over && channel.out.space() > 0;
        }

        /** Whether it is in the middle of a good answer. */
        boolean isAnswering() {
            return !over && made != null && begun;
        }

        boolean isReceiving() {
            return !over && at != null && reader.amid() && made == null;
        }

        @Override
        public void came() {
            if (reads && !over) {
                reads = false;
                net.later(dice.chance(2) ? 0 : dice.nextDouble(), this::read);
            }
        }

        private void read() {
            reads = true;
            if (over) {
                return;
            }
            if (channel.out.out() > stopsAfter) {
                // It never reads again, as a process that hangs.
                reads = false;
                return;
            }
            // It may have been sent long before it is read.
            double sentAt = channel.out.filledAt();
            byte[] bytes = channel.out.read(slow ? dice.size(1, 4_000) : dice.portion());
            if (bytes.length > 0) {
                if (at == null && !reader.amid() && sentAt > drainingSince + World.DRAIN_GRACE + 1) {
                    net.violated("a new request came " + (sentAt - drainingSince) + " ms after it was told off");
                }
                channel.taken();
                reader.read(bytes);
                if (reader.flaw != null) {
                    net.violated("an upstream can't read its request: " + reader.flaw);
                    end(true);
                    return;
                }
            }
            if (channel.out.held() > 0) {
                reads = false;
                net.later(slow ? dice.nextDouble() * 10 : dice.chance(4) ? dice.nextDouble() : 0, this::read);
            } else if (channel.out.isEnded() || channel.out.isBroken()) {
                end(false);
            }
        }

        @Override
        public void taken() {
            if (made != null && !writing) {
                writing = true;
                net.later(dice.nextDouble(), this::write);
            }
        }

        @Override
        public void left() {
            came();
        }

        private void end(boolean resets) {
            if (!over) {
                over = true;
                if (resets) {
                    channel.in.breakOff(dice.chance(2));
                    channel.out.breakOff(true);
                } else {
                    channel.in.end();
                    channel.out.breakOff(true);
                }
                channel.came();
                channel.taken();
                world.served.remove(this);
            }
        }

        // ---- Answers -------------------------------------------------------------------------------

        private void answer() {
            if (over || at == null || made != null) {
                return;
            }
            fate = dice.nextInt(100) >= fault ? Fate.GOOD : Fate.values()[dice.nextInt(Fate.values().length)];
            if (fate == Fate.NEVER) {
                return;
            }
            if (fate == Fate.NOISE) {
                pending = "\u0001what is this?\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
                made = new Made(at, new Body(0, 0), false);
                begin();
                return;
            }
            boolean none = fate == Fate.TURNED_AWAY || fate == Fate.ERROR;
            Body body = new Body(dice.nextInt(), none ? 0 : world.length(dice));
            made = new Made(at, body, !none && dice.chance(2));
            breaksAt = fate == Fate.BREAKS || fate == Fate.RESETS || fate == Fate.STALLS || fate == Fate.UNFRAMED_RESETS
                    ? (long) (dice.nextDouble() * (body.length + 1))
                    : Long.MAX_VALUE;
            begun = false;
            lastFramed = false;
            chunkLeft = 0;
            String status = fate == Fate.TURNED_AWAY
                    ? "503 Full\r\nX-Turned-Away: 1"
                    : fate == Fate.ERROR ? "500 Oh" : "200 OK";
            boolean unframed = fate == Fate.UNFRAMED || fate == Fate.UNFRAMED_RESETS;
            made.chunked &= !unframed;
            pending = ((fate == Fate.AHEAD ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "") + "HTTP/1.1 " + status
                            + "\r\n"
                            + (unframed
                                    ? body.length % 2 == 0 ? "Connection: close\r\n" : ""
                                    : made.chunked
                                            ? "Transfer-Encoding: chunked\r\n"
                                            : "Content-Length: " + body.length + "\r\n")
                            + (fate == Fate.CLOSES_AFTER ? "Connection: close\r\n" : "") + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            begin();
        }

        private void begin() {
            pendingSent = 0;
            if (!writing) {
                writing = true;
                write();
            }
        }

        private void write() {
            writing = false;
            if (over || made == null) {
                return;
            }
            try {
                int budget = slow ? dice.size(1, 3_000) : dice.portion();
                while (budget > 0 && channel.in.space() > 0) {
                    int count = writePart(Math.min(budget, channel.in.space()));
                    if (count < 0 || over || made == null) {
                        break;
                    }
                    budget -= count;
                }
            } catch (IOException e) {
                end(false);
                return;
            }
            channel.came();
            if (!over && made != null && channel.in.space() > 0 && made.body.sent() < breaksAt) {
                writing = true;
                net.later(slow ? dice.nextDouble() * 10 : dice.nextDouble(), this::write);
            }
        }

        /** Writes some of it; below 0 if there is no more to write. */
        private int writePart(int most) throws IOException {
            Body body = made.body;
            int count;
            if (pendingSent < pending.length) {
                count = channel.in.write(pending, pendingSent, Math.min(most, pending.length - pendingSent));
                pendingSent += count;
                begun |= pendingSent == pending.length;
            } else if (body.sent() >= breaksAt) {
                if (fate != Fate.STALLS) {
                    end(fate != Fate.BREAKS);
                }
                return -1;
            } else if (made.chunked && chunkLeft == 0 && !body.isOver()) {
                chunkLeft =
                        Math.min(body.length - body.sent(), dice.chance(2) ? dice.size(1, 3) : dice.size(1, 40_000));
                put((body.sent() == 0 ? "" : "\r\n") + Long.toHexString(chunkLeft) + "\r\n");
                return 0;
            } else if (!body.isOver()) {
                long left = Math.min(made.chunked ? chunkLeft : Long.MAX_VALUE, breaksAt - body.sent());
                byte[] bytes = body.next((int) Math.min(most, left));
                count = channel.in.write(bytes, 0, bytes.length);
                chunkLeft -= made.chunked ? count : 0;
            } else {
                lastFramed = true;
                put((body.length == 0 ? "" : "\r\n") + "0\r\n\r\n");
                return 0;
            }
            if (pendingSent == pending.length && body.isOver() && (lastFramed || !made.chunked)) {
                complete();
                return -1;
            }
            return count;
        }

        private void put(String framing) {
            pending = framing.getBytes(StandardCharsets.US_ASCII);
            pendingSent = 0;
        }

        /** The last byte of an answer has been written; whatever follows belongs to nothing. */
        private void complete() throws IOException {
            if (fate == Fate.NOISE) {
                made = null;
                return;
            }
            if (fate != Fate.ERROR && fate != Fate.TURNED_AWAY) {
                at.made.add(made);
            }
            made = null;
            at = null;
            if (fate == Fate.EXTRA) {
                byte[] more = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".getBytes(StandardCharsets.US_ASCII);
                channel.in.write(more, 0, Math.min(more.length, channel.in.space()));
            }
            if (fate == Fate.CLOSES_AFTER || fate == Fate.UNFRAMED || fate == Fate.UNFRAMED_RESETS) {
                end(false);
            }
        }

        /** Checks the request. */
        private final class Requests implements HttpReader.Heard {

            @Override
            public void head(HttpReader message) {
                if (message.start.startsWith("GET /ping")) {
                    at = new TestRequest(null, null, World.Kind.SAFE, new Body(0, 0), false, 1);
                    return;
                }
                at = world.all.get(message.headers.get("x-txn"));
                if (at == null) {
                    message.flaw = "nobody's request " + message.headers;
                    return;
                }
                at.reached++;
                if (dice.nextInt(100) < fault && dice.chance(6)) {
                    net.later(dice.nextDouble() * 5, Connection.this::answer);
                }
            }

            @Override
            public boolean complete(HttpReader message) {
                if (at != null && at.txn != null && message.start.startsWith("POST")) {
                    if (message.length != at.body.length
                            || message.sum.getValue() != at.body.sum()
                            || !at.body.isOver()) {
                        message.flaw = "a body that is not its request's: " + message.length + " of " + at.body.length;
                        return false;
                    }
                }
                if (at != null && at.txn != null) {
                    at.ran(net.now());
                }
                net.later(dice.chance(3) ? 0 : dice.nextDouble() * (slow ? 300 : 20), Connection.this::answer);
                return true;
            }
        }
    }
}
