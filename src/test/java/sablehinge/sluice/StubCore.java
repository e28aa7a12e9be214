package sablehinge.sluice;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import sablehinge.cistern.Intake;
import sablehinge.cistern.Roll;
import sablehinge.conduit.Conduit;
import sablehinge.conduit.Frame;
import sablehinge.core.Clock;
import sablehinge.gauge.Accusation;
import sablehinge.penstock.Ask;
import sablehinge.penstock.Desk;

/** Plays the core: it holds what the test says, and confirms it when the test lets it. */
final class StubCore implements Conduit.Handler, AutoCloseable {

    private static final long TERM = 3;
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("stub-core", true), NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Roll roll = new Roll(0, 600_000);
    private final Desk<Conduit.Link> desk = new Desk<>(roll);
    private final String address;
    private long edition;
    private long nextEdition;
    private byte[] nextBody;
    private Ask last;
    private Conduit.Link lastFrom;
    private boolean confirms = true;
    private int confirmationsAsked;
    private long readyAt;

    StubCore(String ip, int port) throws Exception {
        address = ip + ":" + port;
        loop.submit(() -> {
            desk.begin(clock.now(), TERM);
            desk.holds(0, new byte[0], List.of(address));
        }).sync();
        new Conduit(loop, 300, 1_200).listen(new InetSocketAddress(ip, port), this).sync();
        loop.scheduleAtFixedRate(this::answer, 10, 10, TimeUnit.MILLISECONDS);
    }

    private <T> T ask(Callable<T> what) {
        try {
            return loop.submit(what).sync().getNow();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void answer() {
        for (Desk.Told<Conduit.Link> told : desk.due(clock.now())) {
            told.to().send(new Frame(Frame.Kind.NEWS, told.news().bytes()));
        }
    }

    @Override
    public void came(Conduit.Link link, Frame frame) {
        if (frame.kind() != Frame.Kind.ASK) {
            return;
        }
        try {
            last = Ask.read(frame.body());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        lastFrom = link;
        readyAt = last.intake().ready() ? System.nanoTime() : readyAt;
        desk.asked(clock.now(), link, last);
        confirmationsAsked += last.confirm() ? 1 : 0;
        if (last.confirm() && nextEdition > 0) {
            edition = nextEdition;
            nextEdition = 0;
            desk.holds(edition, nextBody, List.of(address));
        }
        if (last.confirm() && confirms) {
            desk.confirmed(link, last.number());
        }
        answer();
    }

    @Override
    public void closed(Conduit.Link link) {
        desk.gone(link);
    }

    /** A configuration is in force. */
    void holds(String configuration, long next) {
        ask(() -> {
            edition = next;
            desk.holds(next, configuration.getBytes(StandardCharsets.UTF_8), List.of(address));
            answer();
            return null;
        });
    }

    /** A configuration is in force that nobody hears of before somebody asks whether theirs is the newest. */
    void holdsUntilAsked(String configuration, long next) {
        ask(() -> {
            nextEdition = next;
            nextBody = configuration.getBytes(StandardCharsets.UTF_8);
            return null;
        });
    }

    /** A balancer that the test plays is there. */
    void tells(Intake intake) {
        ask(() -> roll.told(clock.now(), intake));
    }

    /** Confirmations wait from now on, or no more. */
    void confirms(boolean on) {
        ask(() -> {
            confirms = on;
            if (on && last != null) {
                desk.confirmed(lastFrom, last.number());
                answer();
            }
            return null;
        });
    }

    /** How often it was asked whether what it holds is the newest. */
    int confirmationsAsked() {
        return ask(() -> confirmationsAsked);
    }

    /** Waits until whoever asks knows all that is held, and that its upstream is there as told. */
    void awaitKnown(String upstream) {
        Mesh.await("the news are known", () -> ask(() -> last != null && last.edition() == edition
                && last.term() == TERM && last.stamp() == roll.stamp()
                && last.intake().upstream().equals(upstream)));
    }

    /** What it was told last of who asks. */
    Intake told() {
        return ask(() -> last == null ? null : last.intake());
    }

    /** When it was last told that the upstream there is to be drawn, by {@link System#nanoTime}. */
    long readyAt() {
        return ask(() -> readyAt);
    }

    /** Whom the last to ask accused. */
    List<Accusation> accusations() {
        return ask(() -> last == null ? List.of() : last.accusations());
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
