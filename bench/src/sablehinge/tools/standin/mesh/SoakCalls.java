package sablehinge.tools.standin.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The calls that the upstream of one machine makes while it works, through the balancer beside it. Connections are kept
 * and used again, whatever state that balancer is in.
 */
final class SoakCalls implements StandInUpstream.DependentCall {

    /** The time that a call has, ms. */
    private static final int LEFT_MS = 1_500;
    /** How long the upstream waits for an answer, which is due before, ms. */
    private static final int SILENCE_MS = 3 * LEFT_MS;
    /** One run in so many makes a call. */
    private static final int CALLS_EACH = 4;

    private final InetSocketAddress outbound;
    private final String service;
    private final MeshVersion.Route route;
    private final SoakTries tries;
    private final ConcurrentLinkedDeque<ClientCall> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger unconnected = new AtomicInteger();

    /** Calls from the upstream of a service through the balancer beside it. */
    SoakCalls(InetSocketAddress outbound, String service, MeshVersion.Route route, SoakTries tries) {
        this.outbound = outbound;
        this.service = service;
        this.route = route;
        this.tries = tries;
    }

    /** How many calls found nobody who listens. */
    int unconnected() {
        return unconnected.get();
    }

    /** Most runs need no call. */
    @Override
    public boolean isServed() {
        if (ThreadLocalRandom.current().nextInt(CALLS_EACH) > 0) {
            return true;
        }
        ClientCall kept = idle.pollFirst();
        Message answer = kept == null ? null : ask(kept);
        if (answer == null) {
            // The connection was new to nobody and may have been closed; a new one says whether anybody is there.
            answer = askAnew();
        }
        return answer != null && answer.status() / 100 == 2;
    }

    private Message askAnew() {
        try {
            return ask(new ClientCall(outbound, SILENCE_MS));
        } catch (IOException e) {
            unconnected.incrementAndGet();
            return null;
        }
    }

    private Message ask(ClientCall call) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        String uri = route.prefix() + "called?by=" + service;
        SoakTries.Pending one = tries.begin(
                new TrafficLog.Sent(
                        id,
                        service,
                        route.kind(),
                        route.kind().method(),
                        uri,
                        route.prefix(),
                        Message.sum(new byte[0]),
                        TrafficLog.now()),
                0,
                LEFT_MS,
                0);
        Message answer = null;
        SoakTry.End end = SoakTry.End.CUT;
        try {
            call.send(route.kind().method(), uri, MeshVersion.headers(id, LEFT_MS), new byte[0], false);
            one.isWritten();
            answer = call.receive();
            end = answer == null ? SoakTry.End.CUT : SoakTry.End.ANSWERED;
        } catch (SocketTimeoutException e) {
            end = SoakTry.End.SILENT;
        } catch (IOException e) {
            // Cut off.
        }
        tries.end(one, end, answer, call.isResponseBegun());
        if (answer == null || answer.closes()) {
            call.close();
        } else {
            idle.addFirst(call);
        }
        return answer;
    }
}
