package sablehinge.torture;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.sidecar.OutboundParts;

/**
 * One order of events on the connections before and behind an outbound balancer, played on the real front, core,
 * decision module and transport in virtual time, between callers and inbound balancers that are played here. An inbound
 * balancer may be killed and may stand still; one that goes on later runs whatever lies complete in its buffers, at the
 * worst time for it. What must hold is judged by what callers and upstreams have seen alone.
 */
final class OutboundPlay {

    /** What a caller or an inbound balancer may do next. */
    enum Event {
        /** The caller sends a request on its connection, behind what it has sent before. */
        CALL,
        CALL_SAFE,
        /** Likewise, and asks that its answer be the last there. */
        CALL_LAST,
        /** It sends the beginning of a long body, and its rest. */
        UPLOAD_HALF,
        UPLOAD_REST,
        CALLER_RESETS,
        /** Another connection calls: the same client once more, with an id of its own. */
        CALLS_AGAIN,
        /** The oldest request that a balancer has goes on to its upstream, which begins to run it. */
        RUN,
        ANSWER,
        HALF_ANSWER,
        REST_OF_ANSWER,
        /** The answer with another complete one right behind it. */
        ANSWER_AND_MORE,
        /** A complete answer to a request of before. */
        SURPLUS,
        /** The balancer proves that the request has not run; likewise, and resets the connection. */
        NOT_RUN,
        NOT_RUN_AND_RESET,
        /** A proof that names no request, while the one there goes on. */
        UNNAMED_NOT_RUN,
        /** The upstream has run it and failed, with 500 or with 503. */
        FAIL,
        FAIL_AS_FULL,
        /** The balancer does not know. */
        DOUBT,
        NOISE,
        RESET,
        CLOSE,
        /** The process of the balancer dies with all its connections, and another one listens at once. */
        KILL,
        /** The balancer stands still, and goes on. */
        FREEZE,
        THAW,
        /** A balancer runs a request whose connection was given up. */
        LATE_RUN,
        /** The time of every request is over. */
        WAIT
    }

    private static final int BALANCERS = 3;
    private static final int LONG_BODY = 1_100_000;
    private static final int HALF_BODY = 100_000;
    private static final int SHORT_BODY = 4;
    private static final int TIME_LEFT = 2_000;
    private static final double WAIT_MS = 1_700;
    private static final double REST_MS = 12_000;
    private static final double STEP_MS = 100;
    private static final double LONG_STEP_MS = 500;
    /** So much later than its time-out an answer may come: the grace, and a step of the clock. */
    private static final double LATEST_MS = OutboundParts.TIMEOUT_MS + 40 + STEP_MS;

    private static final int FIRST_PORT = 10_001;

    /** A try of a caller and all that is known of it. */
    private static final class Sent extends PlayedRequest {
        private final boolean safe;
        private double completeAt;
        /** At how many balancers it arrived that did not prove that it never ran. */
        private int reached;
        /** The statuses of the complete answers that upstreams made for it. */
        private final Set<Integer> made = new TreeSet<>();

        Sent(String id, int length, boolean safe, double now) {
            super(id, length);
            this.safe = safe;
            // Its time begins with its end.
            completeAt = length <= HALF_BODY ? now : Double.POSITIVE_INFINITY;
        }
    }

    private final Net net = new Net(1, new Memory());
    private final Map<String, Sent> all = new TreeMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final List<Line> lines = new ArrayList<>();
    private final boolean[] frozen = new boolean[BALANCERS];
    private final Client caller;
    private int number;

    OutboundPlay() {
        Clock clock = net::now;
        Timers timers = net.timers();
        List<InetSocketAddress> balancers = new ArrayList<>();
        for (int i = 0; i < BALANCERS; i++) {
            int balancer = i;
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + i);
            balancers.add(at);
            net.listen(at, new Net.Listener() {
                @Override
                public double answersAfter() {
                    return 0;
                }

                @Override
                public void connected(PipeChannel channel) {
                    lines.add(new Line(channel, balancer));
                }
            });
        }
        OutboundParts parts = new OutboundParts(
                net.loop,
                clock,
                timers,
                new Sockets(1_024, net),
                net.memory,
                balancers,
                new InetSocketAddress("127.0.0.1", 1),
                why -> {});
        parts.configure();
        net.settle();
        caller = new Client();
    }

    /** Plays it; null where an event could not happen, else what was violated. */
    List<String> play(List<Event> events) {
        try {
            for (Event event : events) {
                if (!befalls(event)) {
                    return null;
                }
                net.settle();
                if (!net.violations.isEmpty()) {
                    return net.violations;
                }
            }
            passes(REST_MS, LONG_STEP_MS);
            // Whoever stands still goes on at last, when all has been answered.
            thaw();
            lines.forEach(Line::runsLate);
            passes(REST_MS, LONG_STEP_MS);
            clients.forEach(Client::check);
            return net.violations;
        } finally {
            net.end();
        }
    }

    private void passes(double millis, double step) {
        for (double end = net.now() + millis; net.now() < end; ) {
            net.advance(step);
            net.settle();
        }
    }

    private boolean befalls(Event event) {
        return switch (event) {
            case CALL -> caller.mayCall() && caller.sends(id(), SHORT_BODY, false, false);
            case CALL_SAFE -> caller.mayCall() && caller.sends(id(), 0, true, false);
            case CALL_LAST -> caller.mayCall() && caller.sends(id(), SHORT_BODY, false, true);
            case UPLOAD_HALF ->
                caller.mayCall() && caller.waiting.isEmpty() && caller.sends(id(), LONG_BODY, false, false);
            case UPLOAD_REST -> caller.isOpen() && caller.half != null && caller.sendsRest();
            case CALLER_RESETS -> caller.isOpen() && caller.end(true);
            case CALLS_AGAIN -> clients.size() < 3 && new Client().sends(id(), SHORT_BODY, false, false);
            case RUN -> working(line -> !line.runs && line.runs());
            case ANSWER -> working(line -> line.serves(""));
            case HALF_ANSWER -> working(Line::half);
            case REST_OF_ANSWER -> live(line -> line.rest != null && line.restComes());
            case ANSWER_AND_MORE ->
                working(line -> line.serves(
                        "HTTP/1.1 503 No\r\nSablehinge-Verdict: " + "not-run\r\nContent-Length: 0\r\n\r\n"));
            case SURPLUS -> live(Line::surplus);
            case NOT_RUN -> working(line -> !line.runs && line.refuses());
            case NOT_RUN_AND_RESET -> working(line -> !line.runs && line.refuses() && line.end(true));
            case UNNAMED_NOT_RUN ->
                working(line ->
                        line.write("HTTP/1.1 503 No\r\nSablehinge-Verdict: " + "not-run\r\nContent-Length: 0\r\n\r\n"));
            case FAIL -> working(line -> line.fails(500, "ran"));
            case FAIL_AS_FULL -> working(line -> line.fails(503, "ran"));
            case DOUBT -> working(line -> line.fails(502, "may-have-run"));
            case NOISE -> live(line -> line.rest == null && line.write("\u0001what is this?\r\n\r\n"));
            case RESET -> live(line -> line.end(true));
            case CLOSE -> live(line -> line.end(false));
            case KILL -> live(this::kills);
            case FREEZE ->
                live(line -> {
                    boolean was = frozen[line.balancer];
                    frozen[line.balancer] = true;
                    return !was;
                });
            case THAW -> thaw();
            case LATE_RUN -> {
                boolean ran = false;
                for (Line line : lines) {
                    ran |= line.runsLate();
                }
                yield ran;
            }
            case WAIT -> {
                passes(WAIT_MS, STEP_MS);
                yield true;
            }
        };
    }

    private boolean kills(Line of) {
        frozen[of.balancer] = false;
        for (Line line : lines) {
            if (line.balancer == of.balancer) {
                line.dies();
            }
        }
        return true;
    }

    private boolean thaw() {
        boolean any = false;
        for (int i = 0; i < BALANCERS; i++) {
            any |= frozen[i];
            frozen[i] = false;
        }
        if (any) {
            List.copyOf(lines).forEach(Line::goesOn);
            net.settle();
        }
        return any;
    }

    private String id() {
        return "t-" + ++number;
    }

    /** What happens to a connection of a balancer; false where it can't. */
    private interface Move {
        boolean on(Line line);
    }

    /** The oldest connection with a complete request and no part of an answer to it, of who goes on. */
    private boolean working(Move move) {
        for (Line line : lines) {
            if (line.isOpen() && !frozen[line.balancer] && line.at != null && line.isComplete && line.rest == null) {
                return move.on(line);
            }
        }
        return false;
    }

    /** The oldest connection that is open, of who goes on. */
    private boolean live(Move move) {
        for (Line line : lines) {
            if (line.isOpen() && !frozen[line.balancer]) {
                return move.on(line);
            }
        }
        return false;
    }

    // ---- Callers -----------------------------------------------------------------------------------

    /** A connection to the front and what is sent on it. */
    private final class Client extends PlayedCaller<Sent> {

        private boolean last;

        Client() {
            super(net, clients.size());
            clients.add(this);
            net.settle();
        }

        boolean mayCall() {
            return isOpen() && half == null && waiting.size() < 3;
        }

        boolean sends(String id, int length, boolean safe, boolean asksLast) {
            Sent sent = new Sent(id, length, safe, net.now());
            all.put(id, sent);
            waiting.add(sent);
            last |= asksLast;
            boolean complete = length <= HALF_BODY;
            half = complete ? null : sent;
            String head = (safe ? "GET /s/x" : "POST /u/x") + " HTTP/1.1\r\nHost: h\r\nSablehinge-Try-Id: "
                    + id + "\r\nSablehinge-Time-Left: " + TIME_LEFT + "\r\n"
                    + (asksLast ? "Connection: close\r\n" : "")
                    + (safe ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
            byte[] start = head.getBytes(StandardCharsets.US_ASCII);
            byte[] bytes = new byte[start.length + (complete ? length : HALF_BODY)];
            System.arraycopy(start, 0, bytes, 0, start.length);
            return write(bytes);
        }

        boolean sendsRest() {
            Sent sent = half;
            half = null;
            sent.completeAt = net.now();
            return write(new byte[sent.length - HALF_BODY]);
        }

        @Override
        void judge(Sent sent, HttpReader answer) {
            OutboundPlay.this.judge(sent, answer);
        }

        /** What was sent behind it counts as not read, and is sent again. */
        @Override
        void onLastAnswer() {
            waiting.forEach(behind -> promised(behind, "closed before it"));
            waiting.clear();
        }
    }

    private void promised(Sent sent, String how) {
        sent.promised = true;
        if (!sent.safe && sent.ran > 0) {
            net.violated("REFUSED: " + sent.id + " has run and gets " + how);
        }
    }

    private void judge(Sent sent, HttpReader answer) {
        int status = answer.status();
        String named = answer.headers.get("sablehinge-try-id");
        String stamp = answer.headers.get("sablehinge-postmark");
        if (named != null && !named.equals(sent.id)) {
            net.violated("MIXED: " + sent.id + " gets the answer to " + named);
        }
        if (answer.headers.containsKey("sablehinge-verdict")) {
            net.violated("MIXED: " + sent.id + " is told a verdict");
        }
        if (status == 200) {
            if (!sent.made.contains(status) || !sent.isAnsweredBy(answer)) {
                net.violated("MIXED: " + sent.id + " is served with what was not made for it whole");
            }
        } else if (stamp != null && !sent.made.contains(status)) {
            net.violated("MIXED: " + sent.id + " has the stamp of another answer with " + status);
        }
        if (PlayedRequest.isPromise(status)) {
            promised(sent, Integer.toString(status));
        }
        if (net.now() - sent.completeAt > LATEST_MS) {
            net.violated("HELD: " + sent.id + " is answered after " + (net.now() - sent.completeAt) + " ms");
        }
    }

    // ---- Inbound balancers ---------------------------------------------------------------------------

    /** A connection of an inbound balancer. */
    private final class Line extends PlayedConnection {
        private final int balancer;
        private Sent at;
        private boolean isComplete;
        private boolean runs;
        private Sent before;
        private String rest;

        Line(PipeChannel channel, int balancer) {
            super(net, channel, false);
            this.balancer = balancer;
            channel.playedBy(this);
        }

        @Override
        boolean isFrozen() {
            return frozen[balancer];
        }

        @Override
        boolean accepts(byte[] bytes) {
            if (at != null && !isComplete && !isBody(bytes)) {
                net.violated("UNASKED: a request inside the body of " + at.id);
            }
            return true;
        }

        @Override
        void onFlaw(String flaw) {
            net.violated("UNASKED: a balancer can't read its request: " + flaw);
        }

        /** It stood still: what is complete in its buffers goes on to the upstream, given up or not. */
        void goesOn() {
            came();
            if (!hasEnded() && at != null && isComplete && !runs) {
                runs();
            }
        }

        @Override
        public void head(HttpReader message) {
            if (at != null) {
                net.violated("a second request on a connection at work");
            }
            at = all.get(message.headers.get("sablehinge-try-id"));
            isComplete = false;
            runs = false;
            if (!OutboundParts.incarnation(balancer).equals(message.headers.get("sablehinge-deliver-to"))
                    || !OutboundParts.CALLER.equals(message.headers.get("sablehinge-caller"))) {
                net.violated("UNASKED: a request for another upstream, or of another caller");
            }
        }

        @Override
        public boolean complete(HttpReader message) {
            if (at == null || message.length != at.length) {
                net.violated("UNASKED: a request that nobody sent so");
                return false;
            }
            isComplete = true;
            if (++at.reached > OutboundParts.ATTEMPTS) {
                net.violated("a try goes to " + at.reached + " upstreams: " + at.id);
            }
            return true;
        }

        boolean runs() {
            runs = true;
            if (++at.ran > 1 && !at.safe) {
                net.violated("TWICE: " + at.id);
            }
            if (at.promised && !at.safe) {
                net.violated("REFUSED: " + at.id + " runs after it was refused");
            }
            return true;
        }

        /** The outbound balancer has closed the connection, and the request here runs for all that. */
        boolean runsLate() {
            return !hasEnded()
                    && channel.out.isEnded()
                    && !frozen[balancer]
                    && at != null
                    && isComplete
                    && !runs
                    && runs();
        }

        private String answer(Sent to) {
            return "HTTP/1.1 200 OK\r\nSablehinge-Try-Id: " + to.id + "\r\nSablehinge-Postmark: s." + to.id
                    + "\r\nSablehinge-Verdict: ran\r\nContent-Length: "
                    + to.body().length() + "\r\n\r\n"
                    + to.body();
        }

        private void answered(int status) {
            at.made.add(status);
            before = at;
            at = null;
            rest = null;
        }

        private boolean begins() {
            return runs || runs();
        }

        boolean serves(String more) {
            begins();
            Sent to = at;
            answered(200);
            return write(answer(to) + more);
        }

        boolean half() {
            begins();
            String text = answer(at);
            rest = text.substring(text.length() - 4);
            return write(text.substring(0, text.length() - 4));
        }

        boolean restComes() {
            String text = rest;
            answered(200);
            return write(text);
        }

        boolean surplus() {
            return before != null && before != at && rest == null && write(answer(before));
        }

        boolean refuses() {
            Sent to = at;
            to.reached--;
            answered(0);
            return write("HTTP/1.1 503 No\r\nSablehinge-Try-Id: " + to.id
                    + "\r\nSablehinge-Verdict: not-run\r\nContent-Length: 0\r\n\r\n");
        }

        boolean fails(int status, String verdict) {
            begins();
            Sent to = at;
            answered(status);
            return write("HTTP/1.1 " + status + " No\r\nSablehinge-Try-Id: " + to.id
                    + ("ran".equals(verdict) ? "\r\nSablehinge-Postmark: f." + to.id : "")
                    + "\r\nSablehinge-Verdict: " + verdict + "\r\nContent-Length: 0\r\n\r\n");
        }

        void dies() {
            if (!hasEnded()) {
                end(true);
            }
        }
    }
}
