package sablehinge.tools.standin;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ColdOverload;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.standin.model.Faults;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.model.ServerModel;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/**
 * A stand-in server of a tier, as specified in PROTOCOL. It listens at a separate address for each balancer, so that
 * its records identify the sender of each request. Confined to one event loop.
 */
final class Server implements ServerConnection.Owner {

    private static final int MAX_KEYS = 100_000;

    private final Place place;
    private final EventLoop loop;
    private final Scenario scenario;
    private final Faults faults;
    private final DoubleSupplier runStart;
    private final Directory directory;
    private final Consumer<Evidence> record;
    private final Map<String, Long> keys;
    private final SplittableRandom random;
    private final ServerModel.Capacity capacity;
    private final ServerListeners listeners;
    private final Map<Long, ServerWork> requests = new HashMap<>();
    private final Set<ServerConnection> connections = new HashSet<>();
    private ServerModel model;
    private Caller caller;
    private long lastId;
    private ScheduledFuture<?> tick;
    private boolean up;
    private boolean unresponsive;
    private double meanLatencyMs;

    /** The identity of a server and its position in the fleet. */
    record Place(String name, int tier, int number, String zone, int cell) {}

    Server(
            Place place,
            EventLoop loop,
            Scenario scenario,
            Faults faults,
            DoubleSupplier runStart,
            Directory directory,
            Map<String, Long> keys,
            double speed,
            long seed,
            Consumer<Evidence> record) {
        this.place = place;
        this.loop = loop;
        this.scenario = scenario;
        this.faults = faults;
        this.runStart = runStart;
        this.directory = directory;
        this.keys = keys;
        this.record = record;
        listeners = new ServerListeners(
                place.name, loop, () -> up, (channel, balancer) -> new ServerConnection(channel, loop, balancer, this));
        random = new SplittableRandom(seed);
        TierPart tier = scenario.tiers().get(place.tier);
        capacity = new ServerModel.Capacity(
                tier.cores(),
                speed,
                tier.slots(),
                tier.queue(),
                tier.warmUpFrom(),
                tier.warmUpFor(),
                scenario.rules().fallMultiple(),
                scenario.rules().fallAfter());
    }

    Place place() {
        return place;
    }

    EventLoop loop() {
        return loop;
    }

    boolean isUp() {
        return up;
    }

    /** Returns the address at which the server listens for a balancer; called on any thread. */
    InetSocketAddress address(String balancer) {
        return listeners.address(balancer);
    }

    /** Opens a port for a balancer and waits until it is bound; must not be called on the loop. */
    void listenFor(String balancer) throws InterruptedException {
        listeners.listenFor(balancer);
    }

    // ---- Start and end --------------------------------------------------------------------------------------

    /** Starts to serve; {@code warmingUp} starts it cold. Called on the loop. */
    void start(boolean warmingUp, Caller calls) {
        model = new ServerModel(capacity, EvidenceStamps.now(), warmingUp ? EvidenceStamps.now() : Double.NaN);
        caller = calls;
        up = true;
        listeners.reopen();
    }

    /** Crashes: resets all connections and refuses new ones; called on the loop. */
    void crash() {
        up = false;
        listeners.close();
        List.copyOf(connections).forEach(this::reset);
        if (caller != null) {
            caller.close();
            caller = null;
        }
    }

    /** Makes new connections fail from now on: refused, or timed out with {@code hang}. Called on the loop. */
    void refuse(boolean hang) {
        listeners.refuse(hang);
    }

    /** Accepts connections again, unless the server has crashed; called on the loop. */
    void reopen() {
        listeners.reopen();
    }

    /** Makes the server unresponsive, or responsive again with all open connections reset; called on the loop. */
    void setUnresponsive(boolean isSilent) {
        unresponsive = isSilent;
        if (isSilent) {
            listeners.refuse(true);
        } else {
            List.copyOf(connections).forEach(this::reset);
            listeners.reopen();
        }
    }

    // ---- Work --------------------------------------------------------------------------------------

    private double elapsed() {
        return EvidenceStamps.now() - runStart.getAsDouble();
    }

    /** Advances the server model to the current time and processes the completed work. */
    private void advance() {
        double now = EvidenceStamps.now();
        model.slow(faults.slowdown(place.tier, place.number, elapsed()));
        model.stall(unresponsive || faults.isActive(Kind.STALL, place.tier, place.number, elapsed()));
        while (model.time() < now) {
            List<Long> done = model.advance(now);
            for (long id : done) {
                ServerWork work = requests.get(id);
                if (work != null) {
                    onWorkDone(work);
                }
            }
        }
        if (tick != null) {
            tick.cancel(false);
        }
        if (!requests.isEmpty() && up) {
            // Limits the delay, so that the begin and the end of faults are noticed.
            double delayMs = Math.min(20, model.nextCompletionAt() - EvidenceStamps.now());
            tick = loop.schedule(this::advance, (long) (Math.max(0.2, delayMs) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void onWorkDone(ServerWork work) {
        if (work.callsLeft > 0) {
            work.inCalls = true;
            work.callsLeft--;
            work.call = caller.call(
                    String.format(Locale.ROOT, "%016x", random.nextLong()),
                    work.type.effect() == Repeat.IDEMPOTENT,
                    work.type.name(),
                    work.key.isEmpty() ? "" : work.key + "-" + work.callsLeft,
                    work.cookie,
                    work.deadline,
                    served -> onCallEnded(work, served));
        } else if (work.inCalls && work.remainingWork > 0) {
            work.inCalls = false;
            model.resume(work.id, work.remainingWork);
        } else {
            finish(work);
        }
    }

    private void onCallEnded(ServerWork work, boolean served) {
        work.call = null;
        if (work.ended) {
            return;
        }
        if (!served) {
            // A failed call to the next tier fails the request.
            end(work, How.ERROR);
            work.connection.answer(500, "a call failed", false);
        } else {
            onWorkDone(work);
        }
        advance();
    }

    private void finish(ServerWork work) {
        Kind fault = work.fault;
        meanLatencyMs += 0.1 * (EvidenceStamps.now() - work.takenAt - meanLatencyMs);
        if (fault == Kind.RESET_AFTER) {
            end(work, How.RESET);
            reset(work.connection);
        } else if (fault == Kind.HALF) {
            end(work, How.RESET);
            work.connection.writeHalf(body(work.txn));
        } else if (fault == Kind.SPOIL) {
            end(work, How.ERROR);
            work.connection.writeMalformed();
        } else {
            end(work, How.SERVED);
            work.connection.answer(200, body(work.txn), false);
        }
    }

    private String body(String txn) {
        return "txn=" + txn + "\nserver=" + place.name + "\n" + "tile".repeat(16) + "\n";
    }

    private void end(ServerWork work, How outcome) {
        if (!work.ended) {
            work.ended = true;
            requests.remove(work.id);
            model.remove(work.id);
            if (work.call != null) {
                work.call.cancel();
            }
            recordOutcome(work.connection, work.txn, work.key, work.firstByteAt, work.takenAt, outcome);
        }
    }

    private void recordOutcome(
            ServerConnection from, String txn, String key, double firstByteAt, double takenAt, How outcome) {
        record.accept(new ServerAttempt(
                EvidenceStamps.now(),
                place.name,
                place.zone,
                place.cell,
                from.balancer,
                txn,
                key,
                from.serviceClass,
                from.sessionKey,
                firstByteAt,
                takenAt,
                outcome));
    }

    // ---- Events of connections ----------------------------------------------------------------------

    @Override
    public boolean isUnresponsive() {
        return unresponsive;
    }

    @Override
    public void onOpened(ServerConnection connection) {
        connections.add(connection);
    }

    @Override
    public void onRequest(ServerConnection connection, HttpRequest request) {
        String path = request.uri();
        if (path.equals("/ping") || path.equals("/_load")) {
            boolean busy = model.queuedRequests() >= capacity.queue();
            connection.answer(busy ? 503 : 200, path.equals("/ping") ? "" : report(), false);
            return;
        }
        if (connection.txn.isEmpty()) {
            connection.answer(404, "", false);
            return;
        }
        String name = path.split("[/?]", 3)[1];
        ClassPart type = scenario.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(null);
        if (type == null) {
            connection.answer(400, "no such class", false);
            return;
        }
        admit(connection, request, type);
    }

    private String report() {
        return String.format(
                Locale.ROOT, "TEXT queue=%d, eps=0, latency_ms=%.2f", model.queuedRequests(), meanLatencyMs);
    }

    private void admit(ServerConnection connection, HttpRequest request, ClassPart type) {
        String key = request.headers().get("Idempotency-Key", "");
        if (!key.isEmpty() && isRepeat(key, type)) {
            recordOutcome(connection, key, EvidenceStamps.now(), How.SERVED);
            connection.answer(200, body(connection.txn), false);
            return;
        }
        advance();
        TierPart tier = scenario.tiers().get(place.tier);
        double workMs = type.work() * tier.share() * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
        boolean lastTier = place.tier + 1 == scenario.tiers().size();
        ServerWork work = new ServerWork(++lastId, connection, request, type, lastTier ? 0 : tier.calls(), workMs);
        work.fault = faults.requestFault(place.tier, place.number, elapsed(), random.nextDouble());
        if (work.fault == Kind.RESET_BEFORE) {
            recordOutcome(connection, key, work.takenAt, How.RESET);
            reset(connection);
            return;
        }
        boolean admitted = ServerWork.remaining(request) > 0
                && model.offer(
                        EvidenceStamps.now(),
                        work.id,
                        work.callsLeft == 0 ? workMs : workMs - work.remainingWork,
                        directory.knowsStart(connection.balancer, place.name));
        if (!Double.isNaN(model.crashedAt()) && up) {
            record.accept(new ColdOverload(EvidenceStamps.now(), place.name, model.informedShare()));
            recordOutcome(connection, key, work.takenAt, How.RESET);
            crash();
            return;
        }
        if (!admitted) {
            recordOutcome(connection, key, work.takenAt, How.TURNED_AWAY);
            connection.reject();
            return;
        }
        remember(key);
        if (work.fault == Kind.ERROR) {
            model.remove(work.id);
            recordOutcome(connection, key, work.takenAt, How.ERROR);
            connection.answer(500, "struck", false);
            return;
        }
        connection.work = work;
        requests.put(work.id, work);
        advance();
    }

    /** Returns whether a server of this cell has received the key within the window. */
    private boolean isRepeat(String key, ClassPart type) {
        Long lastUse = keys.get(key);
        return lastUse != null && EvidenceStamps.now() - lastUse < type.window();
    }

    private void remember(String key) {
        if (key.isEmpty()) {
            return;
        }
        if (keys.size() >= MAX_KEYS) {
            keys.clear();
        }
        keys.put(key, (long) EvidenceStamps.now());
    }

    /** Records the outcome of the last request on a connection. */
    private void recordOutcome(ServerConnection from, String key, double takenAt, How outcome) {
        recordOutcome(from, from.txn, key, from.firstByteAt, takenAt, outcome);
    }

    private void reset(ServerConnection connection) {
        ServerWork work = connection.work;
        connection.work = null;
        if (work != null) {
            end(work, How.RESET);
        }
        connection.close();
    }

    @Override
    public void onCut(ServerConnection connection, HttpRequest head) {
        recordOutcome(connection, head.headers().get("Idempotency-Key", ""), Double.NaN, How.CUT);
    }

    @Override
    public void onClosed(ServerConnection connection) {
        connections.remove(connection);
        if (connection.work != null) {
            end(connection.work, How.CANCELLED);
        }
    }
}
