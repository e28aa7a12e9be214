package sablehinge.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sablehinge.policy.Call.Attempt;

/**
 * All decisions of sablehinge. Read {@link LoadBalancer} (LoadBalancer.java) first: it is the interface.
 *
 * <p>The ordinary path: every server has a cost l = base + p * (1/s - 1), where base is its smoothed served latency, s
 * its windowed success share and p the class's steady time-out; each call goes to a ready server drawn at random in
 * proportion to 1/l. The file follows a request: arrival, the draw, the send, the outcome, the next attempt or the
 * final answer; then the evidence behind l, then the server list.
 */
public final class LatencyWeightedBalancer implements LoadBalancer {

    /** Ms in which evidence fades to 1/e: shorter than most faults, so an unhealthy server is retried. */
    private static final double EVIDENCE_FADE = 8_000;
    /** Ms between refreshes of a server's faded evidence; far below the fade, it only saves CPU. */
    private static final double FADE_STEP = 200;
    /** Samples that the mean of a server's machine type weighs in its base, as most bases rest on few. */
    private static final double BASE_POOL = 2;
    /** Calls that its machine type's record weighs in s: a faulty type shows in all its servers. */
    private static final double SUCCESS_POOL = 2;
    /** Calls that a server's record over all classes weighs in s for one: it may fail one class or all. */
    private static final double CLASS_POOL = 1;
    /** Least s: keeps l finite, so that even a dead server is drawn now and then. */
    private static final double SUCCESS_FLOOR = 0.05;
    /** Weight of a sample in the averages over all servers (class latency, machine type, cost hints). */
    private static final double FLEET_GAIN = 0.02;
    /** Expected latency before any was seen, as a share of the class's aim. */
    private static final double FIRST_GUESS = 0.2;
    /** Latencies closer than this, ms, are equal; keeps every l above zero. */
    private static final double MIN_LATENCY = 0.01;
    /** Share of an expected latency that goes with the hinted work; the rest is waiting that all share. */
    private static final double HINT_SHARE = 0.5;
    /** Growth of l for each own call in flight there: they will be served first. */
    private static final double IN_FLIGHT = 1.4;
    /** Ms added to l per ms that the oldest call there is overdue: a hang shows before it times out. */
    private static final double OVERDUE_WEIGHT = 4;
    /** Growth of l across zones, times the root of the price: a dear crossing must still be possible. */
    private static final double CROSSING = 400;
    /** Power with which a crowd at a server offsets the price of crossing: little at half the aim. */
    private static final double CROWD_POWER = 4;
    /** Share of calls lost at a server that justifies a crossing, about what a crossing costs of a call. */
    private static final double ZONE_EXIT_RATIO = 0.4;
    /** Bound of the factor for that: its few calls must still show when it is well again. */
    private static final double MAX_LEAVING = 16;
    /** Own calls that a server takes beside each other; so few in flight are no crowd. */
    private static final double ROOM = 4;
    /** Servers in the subset that an instance prefers: enough to lose a few, few enough to know. */
    private static final double SUBSET = 8;
    /** Growth of l outside the subset while there is no evidence; it shrinks as servers become known. */
    private static final double OUTSIDE = 60;
    /** Growth of l outside it for each point of price on connections: all to all fills every table. */
    private static final double CONNECTION = 200;
    /** Growth of a server's l with the pressure of a class bound there, for those that may go elsewhere. */
    private static final double RELIEF = 40;
    /** Share of calls slower than the delay after which a hedged request or a retry pays. */
    private static final double SLOW_SHARE = 0.05;
    /** Step of the quantile estimate behind that delay, relative to its value. */
    private static final double SLOW_STEP = 0.05;
    /** That delay over the expected latency, at first and within bounds: for even and long-tailed classes. */
    private static final double FIRST_SLOW_RATIO = 3;

    private static final double MIN_SLOW_RATIO = 1.5;
    private static final double MAX_SLOW_RATIO = 10;
    /** Without second copies an attempt that may be repeated is given up after this many such delays. */
    private static final double GIVE_UP = 2;
    /** Least share of the expected latency that must be left for a send. */
    private static final double TOO_LATE = 0.25;
    /** Share of the allowed multiple of a warming server's capacity that its send budget uses. */
    private static final double WARM_UP_MARGIN = 0.3;
    /** Ms after which a request that finds no server to go to looks again; well below any aim. */
    private static final double LOOK_AGAIN = 20;
    /** Share of its time for which a request is held that finds no server: the rest is its client's. */
    private static final double HOLD_SHARE = 0.45;
    /** Least and, with as much again at random, most wait before the registry is requested again, of askEvery. */
    private static final double ASK_AGAIN = 0.1;

    /** Calls in a row that a listed server rejected or did not let connect: the list may be old. */
    private static final int DOUBTS = 3;
    /** Least time without an update after which one is requested, of askEvery; it doubles while none comes. */
    private static final double DOUBT_AFTER = 0.3;

    /** A first-tier call that takes more of its aim than this, and its value when late, tells of overload. */
    private static final double STRAINED = 0.5;
    /** Change of the share of work refused in a second of signs of overload, and in one of the opposite. */
    private static final double PRESSURE_UP = 0.9;

    private static final double PRESSURE_DOWN = 0.22;
    /** The longest time in ms for which one outcome stands. */
    private static final double MAX_GAP = 250;

    private static final double MAX_PRESSURE = 0.95;
    private static final int PLAN_STEPS = 10;
    /** The longest wait advised to a refused client, of its aim: it should come back in good time. */
    private static final double RETURN_SHARE = 0.5;
    /** Above this share of work refused nothing is sent in a second copy: it would deepen the jam. */
    private static final double CALM = 0.05;
    /** Least share of the requests that a class is reckoned with; keeps ratios finite. */
    private static final double SEEN_LEAST = 1e-6;

    private static final long WATCH_TOKEN = -1;
    private static final int HOLD_TIMER = 0xff;
    private static final int STRAIN_TIMER = 0x80;

    private final Actions actions;
    private final Extras extras;
    /** Of the version of the settings that holds for what arrives now, and all that are not forgotten. */
    private Settings settings;

    private View current;
    private final List<View> views = new ArrayList<>();
    private SplittableRandom random;
    private final Map<Long, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    /** Rule 5: the requests of each key that are not settled; looked up by key only, dropped when empty. */
    private final Map<Long, ArrayDeque<Call>> lines = new HashMap<>();

    private Server.Kind[] kinds;
    private double extraCalls;
    private double warmUpUntil = Double.NEGATIVE_INFINITY;
    /** When the registry last answered or was requested, and for how long that is trusted. */
    private double heardAt;

    private double trust;
    /** Own calls of late for each ready server. */
    private double evidence;
    /** Places for classes in the servers' records. */
    private int places;

    /** Creates an instance that asks its host for actions through {@code actions}. */
    public LatencyWeightedBalancer(Actions actions) {
        this(actions, new Extras(0.1, 3, 1, Double.POSITIVE_INFINITY));
    }

    /** Likewise, with other bounds on calls beyond the first. */
    public LatencyWeightedBalancer(Actions actions, Extras extras) {
        this.actions = actions;
        this.extras = extras;
        extraCalls = extras.saved;
    }

    /** Calls beyond the first: earned by a request, kept, taken after no run; aims to hold one. */
    public record Extras(double perRequest, double saved, double redraw, double hold) {}

    @Override
    public void start(double now, Settings given, long seed) {
        random = new SplittableRandom(seed);
        kinds = new Server.Kind[0];
        heardAt = now;
        adopt(now, given);
        if (given.subscribe()) {
            actions.watch(true);
        }
    }

    // ---- Versions of the settings ------------------------------------------------------------------

    /** A view for each, and one record of the servers: rules 3 and 4 hold over all versions together. */
    @Override
    public void adopt(double now, Settings given) {
        current = views.stream()
                .filter(view -> view.settings == given)
                .findFirst()
                .orElseGet(() -> begin(given, current));
        settings = given;
        kinds = Arrays.copyOf(kinds, Math.max(kinds.length, given.kinds()));
        Arrays.setAll(kinds, i -> kinds[i] == null ? new Server.Kind(FLEET_GAIN) : kinds[i]);
        trust = DOUBT_AFTER * given.rules().askEvery();
        chooseReady();
    }

    private View begin(Settings given, View before) {
        ClassRecord[] records = new ClassRecord[given.classes().size()];
        View view = new View(given, records, before == null ? Set.of() : before.listed);
        BitSet taken = new BitSet();
        views.forEach(other -> Arrays.stream(other.classes).forEach(c -> taken.set(c.index)));
        for (int i = 0; i < records.length; i++) {
            ServiceClass type = given.classes().get(i);
            ClassRecord old = before == null ? null : before.named(type.name());
            int place = old != null ? old.index : taken.nextClearBit(0);
            records[i] = old != null
                    ? new ClassRecord(old, type)
                    : new ClassRecord(place, type, FIRST_GUESS * type.aim(), FIRST_SLOW_RATIO, FLEET_GAIN);
            if (old == null) {
                taken.set(place);
                places = Math.max(places, place + 1);
                servers.values().forEach(server -> server.begin(place, places));
            }
        }
        for (ClassRecord c : records) {
            c.leader = Arrays.stream(records)
                    .filter(c::sharesPlacement)
                    .findFirst()
                    .orElse(c);
        }
        views.add(view);
        return view;
    }

    @Override
    public void forget(double now, Settings old) {
        views.removeIf(view -> view.settings == old && view != current);
        servers.keySet().removeIf(id -> !isListed(id));
    }

    private boolean isListed(long id) {
        return views.stream().anyMatch(view -> view.listed.contains(id));
    }

    // ---- A request arrives -------------------------------------------------------------------------

    @Override
    public void request(double now, Request request) {
        Call call = new Call(request, current, now);
        calls.put(request.id(), call);
        extraCalls = Math.min(extras.saved, extraCalls + (call.most > 1 ? extras.perRequest : 0));
        if (request.cost() > 0) {
            call.record.hint.add(request.cost());
        }
        // Where a late answer has no value, the work for it is better spent on others.
        double stretched = call.type.aim() + call.type.aimStretch() * request.cost();
        double aim = now + Math.min(call.type.deadline(), stretched);
        call.usefulEnd = call.type.lateValue() > 0 ? request.deadline() : Math.min(request.deadline(), aim);
        if (shed(call)) {
            answerUnserved(call, now);
            return;
        }
        earnWarmUpBudget(call, now);
        if (call.type.inOrder() && request.key() != 0) {
            call.line = lines.computeIfAbsent(request.key(), key -> new ArrayDeque<>());
            call.line.addLast(call);
        }
        dispatch(call, now);
    }

    /**
     * Sends the next attempt. A request that never ran is held while it waits for its turn, or for a server that is
     * ready, open to it and warm enough; it is refused as soon as that cannot end in time.
     */
    private void dispatch(Call call, double now) {
        double latest = call.usefulEnd - TOO_LATE * expected(call) - ahead(call);
        double patient = Math.min(
                latest,
                call.arrivedAt
                        + Math.min(
                                extras.hold * call.type.aim(),
                                HOLD_SHARE * (call.request.deadline() - call.arrivedAt)));
        boolean itsTurn = call.line == null || call.line.peekFirst() == call;
        Server server = itsTurn && now < latest ? draw(call, true, now) : null;
        if (server != null) {
            send(call, server, now);
        } else if (now < patient && call.attempts.isEmpty()) {
            double again = itsTurn ? Math.min(patient, now + LOOK_AGAIN) : patient;
            actions.setTimer(call.id << 8 | HOLD_TIMER, again);
        } else {
            answerUnserved(call, now);
        }
    }

    /** Rule 5: the time that the requests before it in its line are expected to take. */
    private static double ahead(Call call) {
        return call.line == null
                ? 0
                : call.line.stream()
                        .takeWhile(other -> other != call)
                        .mapToDouble(LatencyWeightedBalancer::expected)
                        .sum();
    }

    /**
     * Rule 5: a request leaves its line once it is over, no attempt is out and none that was given up may still be
     * running; then the next one goes. One that leaves before its turn moves nobody.
     */
    private void leaveLine(Call call, double now) {
        boolean first = call.line.peekFirst() == call;
        call.line.remove(call);
        if (call.line.isEmpty()) {
            lines.remove(call.request.key());
        } else if (first) {
            dispatch(call.line.peekFirst(), now);
        }
    }

    // ---- Overload: when every l rises together, weights say nothing ---------------------------------

    /**
     * Under overload all would be late, so a part of the work is refused before any is spent on it: only where clients
     * arrive, since further down a refusal wastes what was done above.
     */
    private boolean shed(Call call) {
        for (ClassRecord c : current.classes) {
            c.share += FLEET_GAIN * ((c == call.record ? 1 : 0) - c.share);
        }
        if (call.record.leader.pressure == 0) {
            return false;
        }
        planShedding(call.record.leader);
        return random.nextDouble() < call.record.refused;
    }

    /**
     * How much of each class to refuse so that the pressure's share of their work goes, at least loss: the cheapest
     * value per work first, but no class more than pays: the worst one counts by itself too. Classes of one placement
     * share their pressure: what is bound to crowded servers is shed alone.
     */
    private void planShedding(ClassRecord leader) {
        ClassRecord[] cheapestFirst = Arrays.stream(current.classes)
                .filter(c -> c.leader == leader)
                .sorted(Comparator.comparingDouble(c -> value(c) / work(c)))
                .toArray(ClassRecord[]::new);
        double allWork = Arrays.stream(cheapestFirst).mapToDouble(this::work).sum();
        double totalValue =
                Arrays.stream(cheapestFirst).mapToDouble(this::value).sum();
        double forWorst = settings.goal().worstClass();
        double[] parts = new double[cheapestFirst.length];
        double least = Double.MAX_VALUE;
        for (int step = 1; step <= PLAN_STEPS; step++) {
            double most = (double) step / PLAN_STEPS;
            double left = leader.pressure * allWork;
            double loss = forWorst * most;
            for (int i = 0; i < parts.length; i++) {
                parts[i] = Math.min(most, left / work(cheapestFirst[i]));
                left -= parts[i] * work(cheapestFirst[i]);
                loss += (1 - forWorst) * parts[i] * value(cheapestFirst[i]) / totalValue;
            }
            if (left < allWork / 1_000 && loss < least) {
                least = loss;
                for (int i = 0; i < parts.length; i++) {
                    cheapestFirst[i].refused = parts[i];
                }
            }
        }
    }

    /** A class's part of the work requested; hints tell it best, else served latencies. */
    private double work(ClassRecord c) {
        return (c.share + SEEN_LEAST) * (c.hint.value() > 0 ? c.hint.value() : c.latency.value());
    }

    private double value(ClassRecord c) {
        return c.type.value() * (settings.valueByWork() ? work(c) : c.share + SEEN_LEAST);
    }

    // ---- The draw ----------------------------------------------------------------------------------

    /**
     * A ready server at random in proportion to 1/l, or null if none may be used; one that the request has tried only
     * when all have been tried and nothing is out.
     */
    private Server draw(Call call, boolean untried, double now) {
        double total = 0;
        double tries = 0;
        for (Server server : call.view.ready) {
            tries += server.tries;
            boolean usable = mayGoTo(call, server, now)
                    && !(untried && call.tried(server))
                    && (server.warmUpBudget >= 1 || warmth(server, now) >= 1);
            server.weight = usable ? 1 / cost(server, call, now) : 0;
            total += server.weight;
        }
        evidence = tries / Math.max(1, call.view.ready.size());
        double point = random.nextDouble() * total;
        Server drawn = null;
        for (Server server : call.view.ready) {
            if (server.weight > 0 && point >= 0) {
                drawn = server;
                point -= server.weight;
            }
        }
        return drawn == null && untried && call.running == 0 ? draw(call, false, now) : drawn;
    }

    /** The server's l for this request. */
    private double cost(Server server, Call call, double now) {
        server.fade(now, EVIDENCE_FADE, FADE_STEP);
        double l = server.base(BASE_POOL) * call.record.latency.value();
        double success = server.success(call.record.index, SUCCESS_POOL, CLASS_POOL);
        l += call.type.aim() * (1 / Math.max(SUCCESS_FLOOR, success) - 1);
        // Where to leave a zone is dear, an unhealthy server at home would else keep the calls that it loses: it
        // fails them at once, so none are in flight there, while those that serve seem busy. A failure or
        // two, which may befall any server, does not yet justify a crossing.
        Settings terms = call.view.settings;
        double crossing = CROSSING * Math.sqrt(terms.prices().crossZone()) + call.type.crossing();
        l *= 1 + crossing * Math.min(MAX_LEAVING, Math.pow((1 - success) / ZONE_EXIT_RATIO, CROWD_POWER));
        l *= 1 + IN_FLIGHT * server.out.size();
        if (!server.out.isEmpty()) {
            Attempt oldest = server.out.peekFirst();
            l += OVERDUE_WEIGHT * Math.max(0, now - oldest.sentAt - slowAfter(oldest.call));
        }
        l *= 1 + crossing * Math.pow(crowding(server, call) / call.type.aim(), CROWD_POWER);
        if (server.listed.zone() != terms.zone()) {
            l *= 1 + crossing;
        }
        if (!server.preferred) {
            l *= 1
                    + OUTSIDE / Math.pow(1 + evidence, 2)
                    + CONNECTION * (terms.prices().connection() + terms.prices().handshake());
        }
        // Weights even out latencies, yet only those who are free can make room for those who are bound.
        for (ClassRecord c : call.view.classes) {
            if (c.leader == c && c != call.record.leader && c.isBound() && c.type.admits(server.listed)) {
                l *= 1 + RELIEF * (CALM / 2 + c.pressure);
            }
        }
        return l / warmth(server, now);
    }

    /**
     * The latency to expect behind the calls in flight there, by Little's law: served latencies and the calls in flight
     * when they were sent tell at what rate the server works. The price of crossing keeps calls at home even where they
     * queue until they are late, while other zones stand idle and clients are refused. That shows here as soon as the
     * calls gather, before any comes back late, and is over as soon as they are gone, whatever made the server slow: a
     * burst, a pause, an unhealthy core. Does harm where one call has less value than a crossing costs, or where a
     * server got faster and its record tells of a jam.
     */
    private static double crowding(Server server, Call call) {
        double each = server.base(BASE_POOL) * expected(call) / (1 + Math.max(ROOM, server.crowd(BASE_POOL)));
        return each * (1 + server.out.size());
    }

    /** Rules 6 and 2: placement; an attempt that may have run ties a request to its group, or ends it. */
    private boolean mayGoTo(Call call, Server server, double now) {
        Limits limits = call.limits();
        if (call.attempts.size() >= call.most
                || call.running > 0 && !limits.parallel()
                || !call.type.admits(server.listed)) {
            return false;
        }
        Attempt first = call.firstMaybeRun();
        ServiceClass c = call.type;
        if (first == null || c.repeat() == Repeat.IDEMPOTENT) {
            return true;
        }
        Upstream from = first.server.listed;
        Upstream to = server.listed;
        return c.repeat() == Repeat.DEDUPLICATED
                && now < first.sentAt + c.memory()
                && (c.group() == Group.ALL
                        || (c.group() == Group.ZONE ? from.zone() == to.zone() : from.cell() == to.cell()));
    }

    // ---- Rule 4: servers that have just started ----------------------------------------------------

    /** The share of its capacity that a server can be trusted to have: a linear slow start over the warm-up. */
    private double warmth(Server server, double now) {
        double age = now - server.listed.startedAt();
        if (server.listed.startedAt() == 0 || age >= settings.rules().warmUp()) {
            return 1;
        }
        double from = settings.rules().startCapacity();
        return from + (1 - from) * Math.max(0, age) / settings.rules().warmUp();
    }

    /**
     * Every request earns the warming servers open to it a part of a call: their warmth's share of the traffic times
     * what the rule allows, less a margin. Shares need no history and add up over siblings that do alike. Counting
     * requests, not sends, lets a fleet that warms up as a whole begin; the half that is taken as warm at least keeps
     * it from being pushed over.
     */
    private void earnWarmUpBudget(Call call, double now) {
        if (now >= warmUpUntil) {
            return;
        }
        List<Server> open = call.view.ready.stream()
                .filter(server -> call.type.admits(server.listed))
                .toList();
        double warm = open.stream().mapToDouble(server -> warmth(server, now)).sum();
        double part = Math.min(1, WARM_UP_MARGIN * settings.rules().fallMultiple());
        part /= Math.max(warm, open.size() / 2.0);
        for (Server server : open) {
            server.warmUpBudget = Math.min(1, server.warmUpBudget + part * warmth(server, now));
        }
    }

    // ---- The send ----------------------------------------------------------------------------------

    private void send(Call call, Server server, double now) {
        Attempt attempt = new Attempt(call, server, now);
        double timeout = call.usefulEnd - now;
        double slowAfter = slowAfter(call);
        boolean repeatable = call.type.repeat() != Repeat.AT_MOST_ONCE && !call.type.streamed();
        if (repeatable && call.limits().parallel() && slowAfter + expected(call) < timeout) {
            actions.setTimer(call.id << 8 | attempt.number, now + slowAfter);
        } else if (repeatable && extraCalls >= 1 && GIVE_UP * slowAfter + expected(call) < timeout) {
            timeout = GIVE_UP * slowAfter;
        }
        call.attempts.add(attempt);
        call.running++;
        server.out.addLast(attempt);
        if (warmth(server, now) < 1) {
            server.warmUpBudget -= 1;
        }
        if (settings.tier() == 0) {
            actions.setTimer(call.id << 8 | STRAIN_TIMER | attempt.number, now + strainedAfter(call));
        }
        actions.send(call.id, server.listed.id(), timeout);
    }

    /** A call is slower than nearly all: a second copy elsewhere, if the budget has one. */
    @Override
    public void timer(double now, long token) {
        if (token == WATCH_TOKEN) {
            actions.watch(true);
            return;
        }
        Call call = calls.get(token >>> 8);
        int number = (int) (token & 0xff);
        if (call == null) {
            return;
        }
        if (call.done) {
            forgetIfSettled(call, now);
        } else if (number == HOLD_TIMER && call.attempts.isEmpty()) {
            dispatch(call, now);
        } else if (number >= STRAIN_TIMER && number < HOLD_TIMER) {
            // Overload is felt when a call becomes overdue: by the time it ends, a crowd has gathered.
            Attempt attempt = call.attempts.get(number - STRAIN_TIMER);
            if (attempt.result == null && !attempt.streaming) {
                attempt.strained = true;
                feelPressure(call.record.leader, false, now);
            }
        } else if (!call.streaming
                && call.attempts.size() == number + 1
                && call.attempts.get(number).result == null
                && extraCalls >= 1
                && call.record.leader.pressure < CALM
                && call.usefulEnd - now > expected(call)) {
            Server server = draw(call, true, now);
            if (server != null) {
                extraCalls -= 1;
                send(call, server, now);
            }
        }
    }

    // ---- The outcome -------------------------------------------------------------------------------

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        Call call = calls.get(outcome.requestId());
        if (call == null
                || outcome.attempt() >= call.attempts.size()
                || call.attempts.get(outcome.attempt()).result != null) {
            return;
        }
        Attempt attempt = call.attempts.get(outcome.attempt());
        attempt.result = outcome.result();
        attempt.server.out.remove(attempt);
        call.running--;
        if (outcome.result() == Result.TIMEOUT
                || outcome.result() == Result.RESET
                || outcome.result() == Result.CANCELLED) {
            call.restsUntil = now + call.view.settings.rules().orderSettle();
        }
        learn(attempt, outcome, now);
        boolean inGoodTime = outcome.elapsed() < strainedAfter(call);
        // What breaks at once is a sign of an unhealthy server: to refuse others would not help.
        boolean unhealthy = inGoodTime
                && (outcome.result() == Result.ERROR
                        || outcome.result() == Result.RESET
                        || outcome.result() == Result.CONNECT_FAILED);
        if (settings.tier() == 0 && !attempt.strained && outcome.result() != Result.CANCELLED && !unhealthy) {
            feelPressure(call.record.leader, outcome.result() == Result.OK && inGoodTime, now);
        }
        if (outcome.result() == Result.OK && attempt.number > 0) {
            // It served where another did not: unhealthy servers, not overload, so as many again are due.
            extraCalls = Math.min(extras.saved, extraCalls + extras.redraw);
        }
        freeConnection(attempt.server, outcome.result(), now);
        doubtList(attempt.server, outcome.result(), now);
        if (outcome.closed() || call.done) {
            over(call, now);
        } else if (call.running == 0) {
            tryAgain(call, outcome.result(), now);
        }
    }

    /**
     * Idle connections of many balancers fill a server's table, and it turns callers away though it has time to spare.
     * Whoever meets a full table gives back what it does not use there, as long as idle ones last. Elsewhere
     * connections stay: a failed connect may as well mean that a server is down.
     */
    private void freeConnection(Server server, Result result, double now) {
        if (result == Result.CONNECT_FAILED) {
            server.crowdedUntil = now + settings.limits().connectionIdle();
        }
        if (now < server.crowdedUntil && server.out.isEmpty()) {
            actions.closeIdle(server.listed.id());
        }
    }

    /**
     * A watch may be dead without a sign, its registry restarted or cut off, and what is listed as ready be long gone
     * or draining. That shows in servers that take nothing: then the watch is begun anew, which brings what was missed.
     * Guards against any unnoticed loss of updates; a server that crashed unnoticed looks the same, so the requests
     * grow rare while no update comes, lest those of a whole fleet flood the registry.
     */
    private void doubtList(Server server, Result result, double now) {
        if (result == Result.FULL || result == Result.CONNECT_FAILED) {
            server.doubts += 1;
        } else if (result == Result.OK) {
            server.doubts = 0;
        }
        if (settings.subscribe()
                && server.doubts >= DOUBTS
                && server.listed.state() == State.READY
                && now - heardAt >= trust) {
            heardAt = now;
            trust *= 2;
            actions.watch(true);
        }
    }

    /** Another attempt if rule, time and budget allow; otherwise the final answer. */
    private void tryAgain(Call call, Result result, double now) {
        double price = result.neverRan() ? extras.redraw : 1;
        if (result == Result.NOT_SENT || extraCalls < price) {
            answerUnserved(call, now);
        } else {
            extraCalls -= price;
            dispatch(call, now);
        }
    }

    /** Rule 1's one final answer: a refusal only where trying again is known to be harmless. */
    private void answerUnserved(Call call, double now) {
        ServiceClass c = call.type;
        boolean harmless = c.repeat() == Repeat.IDEMPOTENT
                || call.firstMaybeRun() == null
                || c.repeat() == Repeat.DEDUPLICATED && c.group() == Group.ALL;
        if (harmless) {
            actions.refuse(call.id, call.limits().retryAfter() ? comeBackAfter(call) : 0);
        } else {
            actions.fail(call.id);
        }
        over(call, now);
    }

    /** When a refused client ought to return: the later, the more has to go before there is room for it. */
    private double comeBackAfter(Call call) {
        double longest = Math.min(call.limits().maxRetryAfter(), RETURN_SHARE * call.type.aim());
        return Math.min(longest, LOOK_AGAIN + longest * call.record.leader.pressure);
    }

    /** The request has its answer: copies still out only waste work. */
    private void over(Call call, double now) {
        for (Attempt attempt : call.attempts) {
            if (!call.done
                    && attempt.result == null
                    && !attempt.streaming
                    && call.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
        call.done = true;
        forgetIfSettled(call, now);
    }

    private void forgetIfSettled(Call call, double now) {
        if (call.running > 0) {
            return;
        }
        if (call.line != null && now < call.restsUntil) {
            actions.setTimer(call.id << 8 | HOLD_TIMER, call.restsUntil);
        } else if (calls.remove(call.id) != null && call.line != null) {
            leaveLine(call, now);
        }
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        Call call = calls.get(requestId);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
            call.attempts.get(attempt).streaming = true;
            observeLatency(call.attempts.get(attempt), elapsed);
        }
    }

    @Override
    public void clientGone(double now, long requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            over(call, now);
        }
    }

    // ---- The evidence behind l ---------------------------------------------------------------------

    /** Served calls succeed; errors, full, time-outs, failed and reset connections count against s. */
    private void learn(Attempt attempt, Outcome outcome, double now) {
        Server server = attempt.server;
        Result result = outcome.result();
        // The copy that lost is evidence only when overdue, and then the same as a time-out.
        boolean tooEarly = result == Result.CANCELLED && outcome.elapsed() <= slowAfter(attempt.call);
        if (result == Result.NOT_SENT || tooEarly) {
            return;
        }
        server.fade(now, EVIDENCE_FADE, FADE_STEP);
        server.count(attempt.call.record.index, result == Result.OK);
        if (result == Result.OK) {
            if (!attempt.streaming) {
                observeLatency(attempt, outcome.elapsed());
            }
        } else if (result == Result.CANCELLED || result == Result.TIMEOUT) {
            observeRatio(attempt.call.record, Double.MAX_VALUE);
        }
    }

    private static double strainedAfter(Call call) {
        return (STRAINED + call.type.lateValue()) * call.type.aim() * Math.max(1, call.size());
    }

    /**
     * Each sign stands for the time since the one before: the level moves as fast where traffic is thin, or where so
     * much is refused that few outcomes come, and does not outlast its cause.
     */
    private static void feelPressure(ClassRecord leader, boolean fine, double now) {
        double seconds = Math.min(MAX_GAP, now - leader.feltAt) / 1_000;
        leader.feltAt = now;
        double changed = leader.pressure + (fine ? -PRESSURE_DOWN : PRESSURE_UP) * seconds;
        leader.pressure = Math.min(MAX_PRESSURE, Math.max(0, changed));
    }

    private void observeLatency(Attempt attempt, double elapsed) {
        Call call = attempt.call;
        Server server = attempt.server;
        double perHint = Math.max(MIN_LATENCY, elapsed) / hintFactor(call);
        double relative = perHint / call.record.latency.value();
        observeRatio(call.record, relative);
        call.record.latency.add(perHint / server.base(BASE_POOL));
        server.latencySum += relative;
        server.latencyCount += 1;
        server.crowdSum += attempt.behind;
        server.kind.latency.add(relative);
    }

    /** Moves the estimate of the latency over the expected one that only SLOW_SHARE of calls exceed. */
    private static void observeRatio(ClassRecord c, double ratio) {
        double slow = c.slowRatio * (1 + SLOW_STEP * (ratio > c.slowRatio ? 1 - SLOW_SHARE : -SLOW_SHARE));
        c.slowRatio = Math.min(MAX_SLOW_RATIO, Math.max(MIN_SLOW_RATIO, slow));
    }

    private static double hintFactor(Call call) {
        return 1 - HINT_SHARE + HINT_SHARE * call.size();
    }

    private static double expected(Call call) {
        return call.record.latency.value() * hintFactor(call);
    }

    private static double slowAfter(Call call) {
        return expected(call) * call.record.slowRatio;
    }

    // ---- The list of servers -----------------------------------------------------------------------

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> upstreams) {
        heardAt = now;
        if (!upstreams.isEmpty()) {
            trust = DOUBT_AFTER * settings.rules().askEvery();
        }
        if (change == Change.FAILED) {
            double wait = ASK_AGAIN * (1 + random.nextDouble());
            actions.setTimer(WATCH_TOKEN, now + wait * settings.rules().askEvery());
            return;
        }
        Map<Long, Server> before = new LinkedHashMap<>(servers);
        Set<Long> listed = new HashSet<>();
        if (change == Change.DELTA) {
            listed.addAll(current.listed);
        } else {
            servers.clear();
        }
        for (Upstream upstream : upstreams) {
            Server known = before.get(upstream.id());
            listed.add(upstream.id());
            if (upstream.state() == State.REMOVED) {
                listed.remove(upstream.id());
            } else if (known == null || known.listed.startedAt() != upstream.startedAt()) {
                // A restart is a new server: warming up, with a clean record.
                Server.Kind kind = kinds[Math.min(upstream.kind(), kinds.length - 1)];
                servers.put(upstream.id(), new Server(upstream, kind, places, now, random.nextDouble()));
                if (upstream.startedAt() != 0) {
                    warmUpUntil = Math.max(
                            warmUpUntil, upstream.startedAt() + settings.rules().warmUp());
                }
            } else {
                known.listed = upstream;
                servers.put(upstream.id(), known);
            }
        }
        current.listed = listed;
        // What is gone is remembered while another version lists it, which may come back into force.
        servers.keySet().retainAll(listed);
        before.keySet().removeIf(id -> listed.contains(id) || !isListed(id));
        before.values().forEach(server -> server.listed = server.listed.gone());
        servers.putAll(before);
        chooseReady();
    }

    /** Rule 3: only ready servers are ever drawn; what drains or is gone leaves at once, for all versions. */
    private void chooseReady() {
        for (View view : views) {
            view.ready = servers.values().stream()
                    .filter(s -> s.listed.state() == State.READY && view.listed.contains(s.listed.id()))
                    .toList();
        }
        chooseSubset(current.ready);
    }

    /**
     * Every so many-th server in an order by zone and machine type, each sibling beginning at its own place: a subset
     * is a small picture of the fleet, and every server is in as many subsets as the others. Each round of siblings
     * shuffles anew, so that no two servers share all their callers.
     */
    private void chooseSubset(List<Server> ready) {
        int stride = (int) Math.max(1, ready.size() / SUBSET);
        long round = settings.position() / stride;
        List<Server> ordered = new ArrayList<>(ready);
        ordered.forEach(server -> server.weight = new SplittableRandom(server.listed.id() * 31 + round).nextDouble());
        ordered.sort(Comparator.<Server>comparingInt(server -> server.listed.zone())
                .thenComparingInt(server -> server.listed.kind())
                .thenComparingDouble(server -> server.weight));
        for (int i = 0; i < ordered.size(); i++) {
            ordered.get(i).preferred = (i + settings.position()) % stride == 0;
        }
    }
}
