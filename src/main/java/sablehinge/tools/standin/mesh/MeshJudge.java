package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds what was seen in a small mesh against the rules; what is not seen on sockets is not judged. */
public final class MeshJudge {

    private final TrafficLog trafficLog;
    private final List<Operator.Order> orders;
    private final double unloadMs;
    private final double editionMs;
    private final List<String> breaches = new ArrayList<>();

    /** A judge of one day; times are in ms. */
    public MeshJudge(TrafficLog trafficLog, List<Operator.Order> orders, double unloadMs, double editionMs) {
        this.trafficLog = trafficLog;
        this.orders = List.copyOf(orders);
        this.unloadMs = unloadMs;
        this.editionMs = editionMs;
    }

    /** The rules that were broken, a line each, beginning with the rule's name; none is as it should be. */
    public List<String> breaches(byte[] readBack) {
        breaches.clear();
        Map<String, TrafficLog.Sent> sent = new HashMap<>();
        trafficLog.sent().forEach(one -> sent.put(one.id(), one));
        Map<String, List<TrafficLog.Run>> runs = new HashMap<>();
        trafficLog.runs().forEach(run -> runs.computeIfAbsent(run.id(), id -> new ArrayList<>())
                .add(run));
        trafficLog.strays().forEach(words -> breach("MIXED", words));
        trafficLog.answered().forEach(one -> answer(one, sent.get(one.of()), runs.getOrDefault(one.of(), List.of())));
        trafficLog.runs().forEach(run -> run(run, sent.get(run.id())));
        runs.forEach((id, of) -> {
            if (of.size() > 1 && sent.containsKey(id) && sent.get(id).kind() != TrafficLog.Kind.SAFE) {
                breach("TWICE", id + " ran " + of.size() + " times");
            }
        });
        leaving();
        readBack(readBack);
        return List.copyOf(breaches);
    }

    private void breach(String rule, String words) {
        breaches.add(rule + ": " + words);
    }

    private void answer(TrafficLog.Answered one, TrafficLog.Sent sent, List<TrafficLog.Run> runs) {
        if (one.status() / 100 == 2) {
            TrafficLog.Run by = runs.stream()
                    .filter(run -> run.stamp().equals(one.stamp()))
                    .findFirst()
                    .orElse(null);
            if (!one.of().equals(one.id())) {
                breach("MIXED", one.of() + " got the answer of " + one.id());
            } else if (by == null) {
                breach("MIXED", one.of() + " got a success with no stamp of its own");
            } else if (by.answer() != one.sum()) {
                breach("MIXED", one.of() + " got a body that its upstream did not send");
            }
        } else if (!runs.isEmpty()
                && sent.kind() != TrafficLog.Kind.SAFE
                && Set.of(408, 421, 429, 503).contains(one.status())) {
            breach("REFUSED", one.of() + " got " + one.status() + " and yet ran");
        } else if (one.status() / 100 == 4 && one.status() != 429 && one.status() != 408 && one.status() != 421) {
            breach("DENIED", one.of() + " got " + one.status());
        }
    }

    private void run(TrafficLog.Run run, TrafficLog.Sent sent) {
        if (sent == null
                || !sent.method().equals(run.method())
                || !sent.uri().equals(run.uri())
                || sent.sum() != run.sum()) {
            breach("UNASKED", run.id() + " ran at " + run.upstream() + " in a form that nobody sent");
            return;
        }
        if (!sent.depot().equals(run.caller())) {
            breach("UNASKED", run.id() + " ran as of " + run.caller() + ", not " + sent.depot());
        }
        if (!MeshVersion.TENANT.equals(run.sender())) {
            breach("UNASKED", run.id() + " ran for " + run.sender());
        }
        boolean ever = false;
        boolean now = false;
        for (int i = 0; i < orders.size(); i++) {
            boolean allows = orders.get(i).version().allows(sent.prefix(), run.service());
            boolean replaced =
                    i + 1 < orders.size() && sent.at() > orders.get(i + 1).ackedAt() + editionMs;
            ever |= allows && orders.get(i).sentAt() <= run.at();
            now |= allows && !replaced;
        }
        if (!ever) {
            breach("ROUTE", run.id() + " ran at " + run.service());
        } else if (!now) {
            breach("CONFIG", run.id() + " ran at " + run.service() + ", as only an older version has it");
        }
    }

    private void leaving() {
        Set<String> seen = new HashSet<>();
        for (TrafficLog.Left left : trafficLog.left()) {
            double until = left.at() + unloadMs;
            trafficLog.runs().stream()
                    .filter(run -> run.upstream().equals(left.upstream()) && run.at() > until)
                    .filter(run -> seen.add(run.stamp()))
                    .forEach(run -> breach("DRAIN", run.id() + " ran at " + run.upstream() + " too late"));
        }
    }

    private void readBack(byte[] body) {
        Operator.Order gone = gone(orders, body);
        if (gone != null) {
            breach("CONFIG", "read back is not edition " + gone.version().edition());
        }
    }

    /** The newest acknowledged order, if what was read back is neither that nor one that came after it. */
    static Operator.Order gone(List<Operator.Order> orders, byte[] body) {
        Operator.Order newest = null;
        List<Operator.Order> unclear = new ArrayList<>();
        for (Operator.Order order : orders) {
            if (Double.isNaN(order.ackedAt())) {
                unclear.add(order);
            } else {
                newest = order;
                unclear.clear();
            }
        }
        boolean there = newest == null
                || Operator.same(body, newest.version())
                || unclear.stream().anyMatch(one -> Operator.same(body, one.version()));
        return there ? null : newest;
    }
}
