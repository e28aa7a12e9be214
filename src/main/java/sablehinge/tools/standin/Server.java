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
import sablehinge.tools.audit.judge.Evidence.Fell;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.Ran;
import sablehinge.tools.standin.model.Faults;
import sablehinge.tools.standin.model.Faults.Kind;
import sablehinge.tools.standin.model.ServerModel;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/**
 * A stand-in for a server of a tier, by PROTOCOL. It listens at an address of its own for each balancer, so that what
 * it writes down says who sent. One event loop owns it.
 */
final class Server implements ServerConnection.Owner {

    private static final int MAX_KEYS = 100_000;

    private final Place place;
    private final EventLoop loop;
    private final Scenario scenario;
    private final Faults faults;
    private final DoubleSupplier begun;
    private final Directory directory;
    private final Consumer<Evidence> record;
    private final Map<String, Long> keys;
    private final SplittableRandom random;
    private final ServerModel.Capacity capacity;
    private final ServerListeners listeners;
    private final Map<Long, ServerWork> works = new HashMap<>();
    private final Set<ServerConnection> connections = new HashSet<>();
    private ServerModel model;
    private Caller caller;
    private long lastId;
    private ScheduledFuture<?> tick;
    private boolean up;
    private boolean unresponsive;
    private double latency;

    /** Which server it is. */
    record Place(String name, int tier, int number, String zone, int cell) {}

    Server(
            Place place,
            EventLoop loop,
            Scenario scenario,
            Faults faults,
            DoubleSupplier begun,
            Directory directory,
            Map<String, Long> keys,
            double speed,
            long seed,
            Consumer<Evidence> record) {
        this.place = place;
        this.loop = loop;
        this.scenario = scenario;
        this.faults = faults;
        this.begun = begun;
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

    /** Where it listens for a balancer; on any thread. */
    InetSocketAddress address(String balancer) {
        return listeners.address(balancer);
    }

    /** Opens a port for a balancer; waits until it is there. Not on the loop. */
    void listenFor(String balancer) throws InterruptedException {
        listeners.listenFor(balancer);
    }

    // ---- Start and end --------------------------------------------------------------------------------------

    /** Begins to serve, warmed up or not; on the loop. */
    void start(boolean warmingUp, Caller calls) {
        model = new ServerModel(capacity, EvidenceStamps.now(), warmingUp ? EvidenceStamps.now() : Double.NaN);
        caller = calls;
        up = true;
        listeners.reopen();
    }

    /** Dies: its connections are reset, new ones refused; on the loop. */
    void die() {
        up = false;
        listeners.close();
        List.copyOf(connections).forEach(this::reset);
        if (caller != null) {
            caller.close();
            caller = null;
        }
    }

    /** New connections are refused from now on, or never come up; on the loop. */
    void refuse(boolean hang) {
        listeners.refuse(hang);
    }

    /** Listens as ever, unless it is dead; on the loop. */
    void reopen() {
        listeners.reopen();
    }

    /** From now on it says nothing, or speaks again; connections that were open then are reset. On the loop. */
    void vanish(boolean on) {
        unresponsive = on;
        if (on) {
            listeners.refuse(true);
        } else {
            List.copyOf(connections).forEach(this::reset);
            listeners.reopen();
        }
    }

    // ---- Work --------------------------------------------------------------------------------------

    private double elapsed() {
        return EvidenceStamps.now() - begun.getAsDouble();
    }

    /** Lets the server model's time pass, and sees to what has come of it. */
    private void pass() {
        double now = EvidenceStamps.now();
        model.slow(faults.slowdown(place.tier, place.number, elapsed()));
        model.stall(unresponsive || faults.isActive(Kind.STALL, place.tier, place.number, elapsed()));
        while (model.time() < now) {
            List<Long> done = model.advance(now);
            for (long id : done) {
                ServerWork work = works.get(id);
                if (work != null) {
                    partDone(work);
                }
            }
        }
        if (tick != null) {
            tick.cancel(false);
        }
        if (!works.isEmpty() && up) {
            // A stall's end and a fault's beginning are looked for too.
            double next = Math.min(20, model.nextCompletionAt() - EvidenceStamps.now());
            tick = loop.schedule(this::pass, (long) (Math.max(0.2, next) * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void partDone(ServerWork work) {
        if (work.callsLeft > 0) {
            work.inCalls = true;
            work.callsLeft--;
            work.call = caller.call(
                    String.format(Locale.ROOT, "%016x", random.nextLong()),
                    work.type.effect() == Repeat.IDEMPOTENT,
                    work.type.name(),
                    work.key.isEmpty() ? "" : work.key + "-" + work.callsLeft,
                    work.cookie,
                    work.until,
                    served -> called(work, served));
        } else if (work.inCalls && work.rest > 0) {
            work.inCalls = false;
            model.resume(work.id, work.rest);
        } else {
            finish(work);
        }
    }

    private void called(ServerWork work, boolean served) {
        work.call = null;
        if (work.ended) {
            return;
        }
        if (!served) {
            // A failure of the tier behind is one of this.
            end(work, How.ERROR);
            work.connection.answer(500, "a call failed", false);
        } else {
            partDone(work);
        }
        pass();
    }

    private void finish(ServerWork work) {
        Kind struck = work.struck;
        latency += 0.1 * (EvidenceStamps.now() - work.taken - latency);
        if (struck == Kind.RESET_AFTER) {
            end(work, How.RESET);
            reset(work.connection);
        } else if (struck == Kind.HALF) {
            end(work, How.RESET);
            work.connection.writeHalf(body(work.txn));
        } else if (struck == Kind.SPOIL) {
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

    private void end(ServerWork work, How how) {
        if (!work.ended) {
            work.ended = true;
            works.remove(work.id);
            model.remove(work.id);
            if (work.call != null) {
                work.call.cancel();
            }
            note(work.connection, work.txn, work.key, work.first, work.taken, how);
        }
    }

    private void note(ServerConnection from, String txn, String key, double first, double taken, How how) {
        record.accept(new Ran(
                EvidenceStamps.now(),
                place.name,
                place.zone,
                place.cell,
                from.balancer,
                txn,
                key,
                from.serviceClass,
                from.about,
                first,
                taken,
                how));
    }

    // ---- What connections report -------------------------------------------------------------------

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
        take(connection, request, type);
    }

    private String report() {
        return String.format(Locale.ROOT, "TEXT queue=%d, eps=0, latency_ms=%.2f", model.queuedRequests(), latency);
    }

    private void take(ServerConnection connection, HttpRequest request, ClassPart type) {
        String key = request.headers().get("Idempotency-Key", "");
        if (!key.isEmpty() && isRepeat(key, type)) {
            note(connection, key, EvidenceStamps.now(), How.SERVED);
            connection.answer(200, body(connection.txn), false);
            return;
        }
        pass();
        TierPart tier = scenario.tiers().get(place.tier);
        double amount = type.work() * tier.share() * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
        boolean last = place.tier + 1 == scenario.tiers().size();
        ServerWork work = new ServerWork(++lastId, connection, request, type, last ? 0 : tier.calls(), amount);
        work.struck = faults.requestFault(place.tier, place.number, elapsed(), random.nextDouble());
        if (work.struck == Kind.RESET_BEFORE) {
            note(connection, key, work.taken, How.RESET);
            reset(connection);
            return;
        }
        boolean admitted = ServerWork.remaining(request) > 0
                && model.offer(
                        EvidenceStamps.now(),
                        work.id,
                        work.callsLeft == 0 ? amount : amount - work.rest,
                        directory.knowsStart(connection.balancer, place.name));
        if (!Double.isNaN(model.crashedAt()) && up) {
            record.accept(new Fell(EvidenceStamps.now(), place.name, model.informedShare()));
            note(connection, key, work.taken, How.RESET);
            die();
            return;
        }
        if (!admitted) {
            note(connection, key, work.taken, How.TURNED_AWAY);
            connection.reject();
            return;
        }
        remember(key);
        if (work.struck == Kind.ERROR) {
            model.remove(work.id);
            note(connection, key, work.taken, How.ERROR);
            connection.answer(500, "struck", false);
            return;
        }
        connection.work = work;
        works.put(work.id, work);
        pass();
    }

    /** Whether servers of this cell have had the key within the window. */
    private boolean isRepeat(String key, ClassPart type) {
        Long before = keys.get(key);
        return before != null && EvidenceStamps.now() - before < type.window();
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

    /** Notes what has become of the request that came last on a connection. */
    private void note(ServerConnection from, String key, double taken, How how) {
        note(from, from.txn, key, from.begun, taken, how);
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
        note(connection, head.headers().get("Idempotency-Key", ""), Double.NaN, How.CUT);
    }

    @Override
    public void onClosed(ServerConnection connection) {
        connections.remove(connection);
        if (connection.work != null) {
            end(connection.work, How.CANCELLED);
        }
    }
}
