package sablehinge.dataplane.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sablehinge.common.eventloop.Clock;
import sablehinge.common.logging.Log;
import sablehinge.common.rpc.Connection;
import sablehinge.common.rpc.Frame;
import sablehinge.mesh.retrybudget.Grant;
import sablehinge.mesh.watch.RetryBudgetCodec;
import sablehinge.mesh.watch.Tokens;
import sablehinge.mesh.watch.Update;
import sablehinge.mesh.watch.WatchRequest;

/**
 * Watches the core for updates, one machine of it at a time: one that does not lead names the leader. A request that is
 * not answered in time, or a connection that breaks, leads to the next machine that is known.
 */
final class WatchClient implements Connection.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(WatchClient.class);
    private static final long RECONNECT_DELAY_MS = 60;
    private static final double RESPONSE_TIMEOUT_MS = UpdateFilter.MAX_AGE_MS;
    private static final int MAX_CONTACTS = 32;

    private final EventLoop loop;
    private final Clock clock;
    private final Connection connection;
    private List<String> seeds;
    private final Listener listener;
    private final UpdateFilter filter = new UpdateFilter();
    private final Set<String> contacts = new LinkedHashSet<>();
    private Connection.Link link;
    private int number;
    private double requestedAt;
    private int next;
    private boolean closed;

    /** What is requested, and the listener to the answers. */
    interface Listener {

        WatchRequest request(int number);

        /**
         * An update has come; {@code requestedAt} is when its request left, ms.
         *
         * @throws IOException where their configuration can't be read; nothing of them is taken then
         */
        void update(double requestedAt, Update update) throws IOException;

        /** A part of a pool has come. */
        void tokens(Tokens tokens);

        /** Others lack tokens of a tenant: gives up so many. */
        int lends(String tenant);

        /** Shares of further tries have come. */
        void shares(Grant grant);
    }

    WatchClient(EventLoop loop, Clock clock, Connection connection, List<String> seeds, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.connection = connection;
        this.seeds = List.copyOf(seeds);
        this.listener = listener;
        contacts.addAll(seeds);
        // Not all balancers begin with the same machine.
        next = Math.floorMod(System.nanoTime() / 1_000, Math.max(1, seeds.size()));
    }

    /** Where else the core may be. */
    void seeds(List<String> next) {
        seeds = List.copyOf(next);
        contacts.addAll(next);
    }

    void start() {
        connect(null);
    }

    /** Asks nobody any more. */
    void close() {
        Connection.Link open = link;
        closed = true;
        link = null;
        number++;
        if (open != null) {
            open.close();
        }
    }

    /** Requests an update at once, in place of the request before. */
    void requestNow() {
        if (link != null && link.isUp()) {
            request();
        }
    }

    /** Requests tokens of a pool; without a connection to the core there is no answer. */
    void tokens(Tokens wanted) {
        if (link != null) {
            link.send(new Frame(Frame.Kind.TOKENS, wanted.bytes()));
        }
    }

    /** Claims shares of the retry budget; without a connection to the core there is no answer. */
    void shares(Frame claim) {
        if (link != null) {
            link.send(claim);
        }
    }

    private void request() {
        requestedAt = clock.now();
        link.send(new Frame(Frame.Kind.ASK, listener.request(++number).bytes()));
        int waitsFor = number;
        loop.schedule(
                () -> {
                    if (number == waitsFor && link != null) {
                        link.close();
                    }
                },
                (long) RESPONSE_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void connect(String at) {
        if (link != null || closed) {
            return;
        }
        String to = at;
        if (to == null) {
            List<String> known = new ArrayList<>(contacts);
            to = known.get(Math.floorMod(next++, known.size()));
        }
        int colon = to.lastIndexOf(':');
        link = connection.connect(
                new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1))), this);
    }

    @Override
    public void opened(Connection.Link opened) {
        if (opened == link) {
            request();
        } else {
            opened.close();
        }
    }

    @Override
    public void onFrame(Connection.Link from, Frame frame) {
        if (from != link) {
            return;
        }
        try {
            if (frame.kind() == Frame.Kind.UPDATE) {
                Update update = Update.read(frame.body());
                if (update.number() == number) {
                    handleUpdate(from, update);
                }
            } else if (frame.kind() == Frame.Kind.TOKENS) {
                listener.tokens(Tokens.read(frame.body()));
            } else if (frame.kind() == Frame.Kind.PULL) {
                String tenant = Tokens.read(frame.body()).tenant();
                int lent = listener.lends(tenant);
                if (lent > 0) {
                    from.send(new Frame(Frame.Kind.PULL, new Tokens(tenant, lent).bytes()));
                }
            } else if (frame.kind() == Frame.Kind.SHARES) {
                listener.shares(RetryBudgetCodec.decodeGrant(frame.body()));
            } else if (frame.kind() == Frame.Kind.REDIRECT) {
                String leader = new String(frame.body(), StandardCharsets.UTF_8);
                redirect(from, leader.isEmpty() ? null : leader);
            }
        } catch (IOException e) {
            Log.warn(LOG, "news-malformed").addKeyValue("cause", e.getMessage()).log("news can't be read");
            from.close();
        }
    }

    private void handleUpdate(Connection.Link from, Update update) throws IOException {
        UpdateFilter.Verdict verdict = filter.judge(clock.now() - requestedAt, update);
        if (verdict == UpdateFilter.Verdict.DEPOSED) {
            redirect(from, null);
            return;
        }
        if (verdict == UpdateFilter.Verdict.TAKE) {
            contacts.clear();
            contacts.addAll(update.core());
            contacts.addAll(seeds);
            while (contacts.size() > MAX_CONTACTS) {
                contacts.remove(contacts.iterator().next());
            }
            listener.update(requestedAt, update);
        }
        request();
    }

    /** Asks another machine from now on: one that is named, or the next that is known. */
    private void redirect(Connection.Link from, String to) {
        link = null;
        from.close();
        number++;
        loop.schedule(() -> connect(to), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void closed(Connection.Link closed) {
        if (closed == link) {
            link = null;
            number++;
            loop.schedule(() -> connect(null), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
