package sablehinge.torture;

import java.util.ArrayDeque;

/** A played connection to a front, with the requests that wait for their answers on it. */
abstract class PlayedCaller<R extends PlayedRequest> extends PlayedConnection {

    private final Net net;
    final ArrayDeque<R> waiting = new ArrayDeque<>();
    /** The request of which only a part has been sent; null for none. */
    R half;

    PlayedCaller(Net net, int number) {
        super(net, net.caller(ROOM, ROOM, new Dice(1, "client", number)), true);
        this.net = net;
        channel.playedBy(this);
    }

    /** Judges the answer to a request. */
    abstract void judge(R request, HttpReader answer);

    /** The connection ends with the answer that has just come. */
    void onLastAnswer() {}

    @Override
    public void head(HttpReader message) {
        // It is judged once it is complete.
    }

    @Override
    public boolean complete(HttpReader message) {
        if (message.status() < 200) {
            return true;
        }
        R request = waiting.poll();
        if (request == null) {
            net.violated("MIXED: an answer where no request waits: " + message.start);
            return false;
        }
        judge(request, message);
        if (!"close".equals(message.headers.get("connection"))) {
            return true;
        }
        onLastAnswer();
        return false;
    }

    @Override
    void onFlaw(String flaw) {
        net.violated("MIXED: a caller can't read its answer: " + flaw);
    }

    /** Whoever waits has an answer in the end, or the end of its connection. */
    void check() {
        if (isOpen() && half == null && !waiting.isEmpty()) {
            net.violated(waiting.peek().id + " has no answer and an open connection");
        }
    }
}
