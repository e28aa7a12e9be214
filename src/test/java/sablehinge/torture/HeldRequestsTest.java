package sablehinge.torture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.eventloop.Timers;
import sablehinge.dataplane.http1.Sockets;
import sablehinge.dataplane.sidecar.OutboundParts;

/** Requests that come before the first configuration does, in virtual time: held for moments, and not all. */
class HeldRequestsTest {

    private static final InetSocketAddress BALANCER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_001);
    private static final int ROOM = 1 << 20;
    /** As many as are held at once (Frontend). */
    private static final int MAX_HELD = 256;
    /** A client's time, and the most of it that is a quarter of its aim. */
    private static final int TIME_LEFT = 2_100;

    private static final double QUARTER_OF_AIM = TIME_LEFT / 7.0 / 4;

    private final Net net = new Net(1, new Memory());
    private final List<Talk> calls = new ArrayList<>();
    private final List<Talk> balancer = new ArrayList<>();
    private final OutboundParts parts = parts();

    /** One end of a connection, and what has come there. */
    private final class Talk implements Net.End {
        private final PipeChannel channel;
        private final StringBuilder heard = new StringBuilder();

        Talk(PipeChannel channel) {
            this.channel = channel;
            channel.playedBy(this);
        }

        void says(String text) throws Exception {
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            channel.in.write(bytes, 0, bytes.length);
            channel.came();
            net.settle();
        }

        /** A header's number of seconds or ms, as it was heard last. */
        double number(String header) {
            int at = heard.lastIndexOf(header + ": ") + header.length() + 2;
            return Double.parseDouble(heard.substring(at, heard.indexOf("\r\n", at)));
        }

        boolean has(String text) {
            return heard.indexOf(text) >= 0;
        }

        @Override
        public void came() {
            heard.append(new String(channel.out.read(ROOM), StandardCharsets.US_ASCII));
            channel.taken();
        }

        @Override
        public void taken() {
            // All that is written here fits.
        }

        @Override
        public void left() {
            came();
        }
    }

    private OutboundParts parts() {
        Clock clock = net::now;
        Timers timers = net.timers();
        net.listen(BALANCER, new Net.Listener() {
            @Override
            public double answersAfter() {
                return 0;
            }

            @Override
            public void connected(PipeChannel channel) {
                balancer.add(new Talk(channel));
            }
        });
        OutboundParts made = new OutboundParts(
                net.loop,
                clock,
                timers,
                new Sockets(1_024, net),
                net.memory,
                List.of(BALANCER),
                new InetSocketAddress("127.0.0.1", 1),
                why -> {});
        net.settle();
        return made;
    }

    @AfterEach
    void end() {
        net.end();
    }

    private Talk calls(String path, int timeLeft) throws Exception {
        Talk call = new Talk(net.caller(ROOM, ROOM, new Dice(1, "client", calls.size())));
        calls.add(call);
        net.settle();
        call.says("POST " + path + " HTTP/1.1\r\nHost: h\r\nSablehinge-Try-Id: t-" + calls.size()
                + "\r\nSablehinge-Time-Left: " + timeLeft + "\r\nContent-Length: 0\r\n\r\n");
        return call;
    }

    private void passes(double millis) {
        for (double end = net.now() + millis; net.now() < end; ) {
            net.advance(1);
            net.settle();
        }
    }

    @Test
    void whatWaitsForTheFirstConfigurationIsRefusedWithinAQuarterOfItsAim() throws Exception {
        Talk call = calls("/u/x", TIME_LEFT);
        assertEquals("", call.heard.toString());
        passes(QUARTER_OF_AIM);
        assertTrue(call.has("HTTP/1.1 503 "), call.heard.toString());
        assertEquals(0.3, call.number("Retry-After"));
        parts.configure();
        passes(TIME_LEFT);
        assertEquals(List.of(), balancer);
    }

    /** What has taken long already may take as long again; nobody is sent beyond their own time. */
    @Test
    void theLongerItTakesTheLaterItIsWorthComingBack() throws Exception {
        calls("/u/x", TIME_LEFT);
        passes(500);
        Talk second = calls("/u/x", TIME_LEFT);
        passes(QUARTER_OF_AIM);
        assertTrue(second.number("Retry-After") >= 0.5, second.heard.toString());
        passes(5_000);
        Talk third = calls("/u/x", TIME_LEFT);
        passes(QUARTER_OF_AIM);
        assertTrue(third.number("Retry-After") <= TIME_LEFT / 3.0 / 1_000, third.heard.toString());
    }

    @Test
    void whatHasWaitedHasNoMoreTimeThanItCameWith() throws Exception {
        calls("/u/x", TIME_LEFT);
        passes(50);
        parts.configure();
        passes(10);
        assertEquals(1, balancer.size());
        double left = balancer.get(0).number("Sablehinge-Time-Left");
        assertTrue(left <= OutboundParts.TIMEOUT_MS - 50, "left " + left);
        passes(OutboundParts.TIMEOUT_MS - 55);
        assertTrue(
                calls.get(0).has("HTTP/1.1 502 ") || calls.get(0).has("HTTP/1.1 504 "),
                calls.get(0).heard.toString());
    }

    /** A request sent behind another has its time from when it came, not from its turn. */
    @Test
    void whatWaitedForItsTurnIsAnsweredInItsTime() throws Exception {
        parts.configure();
        Talk call = calls("/u/x", TIME_LEFT);
        call.says("POST /u/y HTTP/1.1\r\nHost: h\r\nSablehinge-Try-Id: t-9\r\nContent-Length: 0\r\n\r\n");
        passes(OutboundParts.TIMEOUT_MS + 50);
        assertTrue(call.has("HTTP/1.1 503 "), call.heard.toString());
        assertEquals(1, balancer.size());
        assertTrue(!balancer.get(0).has("t-9"), "it goes on after its time");
    }

    @Test
    void noMoreThanSoManyAreHeldAndAllOthersRefusedAtOnce() throws Exception {
        for (int i = 0; i < MAX_HELD + 4; i++) {
            calls("/u/x", TIME_LEFT);
        }
        assertEquals(4, calls.stream().filter(call -> call.has("HTTP/1.1 503 ")).count());
        calls.get(0).channel.in.breakOff(true);
        calls.get(0).channel.came();
        net.settle();
        calls("/u/x", TIME_LEFT);
        assertEquals(4, calls.stream().filter(call -> call.has("HTTP/1.1 503 ")).count());
        passes(QUARTER_OF_AIM);
        assertEquals(
                MAX_HELD + 4,
                calls.stream().filter(call -> call.has("HTTP/1.1 503 ")).count());
        calls("/u/x", TIME_LEFT);
        assertTrue(calls.get(calls.size() - 1).heard.isEmpty(), "those that have gone are counted still");
    }
}
