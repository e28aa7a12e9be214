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
 * Watches the control plane for updates through one control node at a time; a node that is not the leader redirects to
 * the leader. If a request times out or the connection breaks, the client connects to the next known node.
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
    private int requestNumber;
    private double requestedAt;
    private int nextContact;
    private boolean closed;

    /** Creates the requests and receives the responses. */
    interface Listener {

        WatchRequest createRequest(int number);

        /**
         * Handles an update; {@code requestedAt} is when its request was sent, in ms.
         *
         * @throws IOException if its configuration can't be read; nothing of the update is applied then
         */
        void onUpdate(double requestedAt, Update update) throws IOException;

        /** Handles tokens granted from a pool. */
        void onTokens(Tokens tokens);

        /** Returns the number of a tenant's tokens that are given up for other sidecars. */
        int lendTokens(String tenant);

        /** Handles granted shares of the retry budget. */
        void onShares(Grant grant);
    }

    WatchClient(EventLoop loop, Clock clock, Connection connection, List<String> seeds, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.connection = connection;
        this.seeds = List.copyOf(seeds);
        this.listener = listener;
        contacts.addAll(seeds);
        // Spreads the sidecars over the control nodes.
        nextContact = Math.floorMod(System.nanoTime() / 1_000, Math.max(1, seeds.size()));
    }

    /** Sets the addresses of control nodes from the settings. */
    void setSeeds(List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
        contacts.addAll(newSeeds);
    }

    void start() {
        connect(null);
    }

    /** Closes the connection and stops reconnecting. */
    void close() {
        Connection.Link open = link;
        closed = true;
        link = null;
        requestNumber++;
        if (open != null) {
            open.close();
        }
    }

    /** Requests an update immediately, replacing the pending request. */
    void requestNow() {
        if (link != null && link.isUp()) {
            request();
        }
    }

    /** Requests tokens of a pool; without a connection to the control plane there is no response. */
    void requestTokens(Tokens wanted) {
        if (link != null) {
            link.send(new Frame(Frame.Kind.TOKENS, wanted.bytes()));
        }
    }

    /** Claims shares of the retry budget; without a connection to the control plane there is no response. */
    void claimShares(Frame claim) {
        if (link != null) {
            link.send(claim);
        }
    }

    private void request() {
        requestedAt = clock.now();
        link.send(new Frame(
                Frame.Kind.ASK, listener.createRequest(++requestNumber).bytes()));
        int expectedNumber = requestNumber;
        loop.schedule(
                () -> {
                    if (requestNumber == expectedNumber && link != null) {
                        link.close();
                    }
                },
                (long) RESPONSE_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void connect(String address) {
        if (link != null || closed) {
            return;
        }
        String target = address;
        if (target == null) {
            List<String> known = new ArrayList<>(contacts);
            target = known.get(Math.floorMod(nextContact++, known.size()));
        }
        int colon = target.lastIndexOf(':');
        link = connection.connect(
                new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))), this);
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
                if (update.number() == requestNumber) {
                    handleUpdate(from, update);
                }
            } else if (frame.kind() == Frame.Kind.TOKENS) {
                listener.onTokens(Tokens.read(frame.body()));
            } else if (frame.kind() == Frame.Kind.PULL) {
                String tenant = Tokens.read(frame.body()).tenant();
                int lent = listener.lendTokens(tenant);
                if (lent > 0) {
                    from.send(new Frame(Frame.Kind.PULL, new Tokens(tenant, lent).bytes()));
                }
            } else if (frame.kind() == Frame.Kind.SHARES) {
                listener.onShares(RetryBudgetCodec.decodeGrant(frame.body()));
            } else if (frame.kind() == Frame.Kind.REDIRECT) {
                String leader = new String(frame.body(), StandardCharsets.UTF_8);
                redirect(from, leader.isEmpty() ? null : leader);
            }
        } catch (IOException e) {
            Log.warn(LOG, "news-malformed")
                    .addKeyValue("cause", e.getMessage())
                    .log("malformed frame from the control plane; closing the connection");
            from.close();
        }
    }

    private void handleUpdate(Connection.Link from, Update update) throws IOException {
        UpdateFilter.Verdict verdict = filter.evaluate(clock.now() - requestedAt, update);
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
            listener.onUpdate(requestedAt, update);
        }
        request();
    }

    /** Reconnects to the given node, or to the next known one if it is null. */
    private void redirect(Connection.Link from, String to) {
        link = null;
        from.close();
        requestNumber++;
        loop.schedule(() -> connect(to), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void closed(Connection.Link closed) {
        if (closed == link) {
            link = null;
            requestNumber++;
            loop.schedule(() -> connect(null), RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }
}
