package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the recorded traffic of a small mesh against its rules; only traffic on sockets is checked. */
public final class MeshJudge {

    private final TrafficLog trafficLog;
    private final List<Operator.Order> orders;
    private final double unloadMs;
    private final double editionMs;
    private final List<String> breaches = new ArrayList<>();

    /** Creates a judge of one run; times are in ms. */
    public MeshJudge(TrafficLog trafficLog, List<Operator.Order> orders, double unloadMs, double editionMs) {
        this.trafficLog = trafficLog;
        this.orders = List.copyOf(orders);
        this.unloadMs = unloadMs;
        this.editionMs = editionMs;
    }

    /** Returns the violated rules, one line each that begins with the name of the rule; empty for a correct run. */
    public List<String> breaches(byte[] readBack) {
        breaches.clear();
        Map<String, TrafficLog.Sent> sent = new HashMap<>();
        trafficLog.sent().forEach(request -> sent.put(request.id(), request));
        Map<String, List<TrafficLog.Run>> runs = new HashMap<>();
        trafficLog.runs().forEach(run -> runs.computeIfAbsent(run.id(), id -> new ArrayList<>())
                .add(run));
        trafficLog.strays().forEach(description -> breach("MIXED", description));
        trafficLog
                .answered()
                .forEach(answer -> checkAnswer(
                        answer, sent.get(answer.requestId()), runs.getOrDefault(answer.requestId(), List.of())));
        trafficLog.runs().forEach(run -> checkRun(run, sent.get(run.id())));
        runs.forEach((id, runsOfRequest) -> {
            if (runsOfRequest.size() > 1 && sent.containsKey(id) && sent.get(id).kind() != TrafficLog.Kind.SAFE) {
                breach("TWICE", id + " ran " + runsOfRequest.size() + " times");
            }
        });
        checkShutdowns();
        checkReadBack(readBack);
        return List.copyOf(breaches);
    }

    private void breach(String rule, String description) {
        breaches.add(rule + ": " + description);
    }

    private void checkAnswer(TrafficLog.Answered answer, TrafficLog.Sent sent, List<TrafficLog.Run> runs) {
        if (answer.status() / 100 == 2) {
            TrafficLog.Run matchingRun = runs.stream()
                    .filter(run -> run.stamp().equals(answer.stamp()))
                    .findFirst()
                    .orElse(null);
            if (!answer.requestId().equals(answer.id())) {
                breach("MIXED", answer.requestId() + " got the answer of " + answer.id());
            } else if (matchingRun == null) {
                breach("MIXED", answer.requestId() + " got a success with no stamp of its own");
            } else if (matchingRun.answer() != answer.sum()) {
                breach("MIXED", answer.requestId() + " got a body that its upstream did not send");
            }
        } else if (!runs.isEmpty()
                && sent.kind() != TrafficLog.Kind.SAFE
                && Set.of(408, 421, 429, 503).contains(answer.status())) {
            breach("REFUSED", answer.requestId() + " got " + answer.status() + " and yet ran");
        } else if (answer.status() / 100 == 4
                && answer.status() != 429
                && answer.status() != 408
                && answer.status() != 421) {
            breach("DENIED", answer.requestId() + " got " + answer.status());
        }
    }

    private void checkRun(TrafficLog.Run run, TrafficLog.Sent sent) {
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
        boolean allowedByAny = false;
        boolean allowedByCurrent = false;
        for (int i = 0; i < orders.size(); i++) {
            boolean allows = orders.get(i).version().allows(sent.prefix(), run.service());
            boolean replaced =
                    i + 1 < orders.size() && sent.at() > orders.get(i + 1).ackedAt() + editionMs;
            allowedByAny |= allows && orders.get(i).sentAt() <= run.at();
            allowedByCurrent |= allows && !replaced;
        }
        if (!allowedByAny) {
            breach("ROUTE", run.id() + " ran at " + run.service());
        } else if (!allowedByCurrent) {
            breach("CONFIG", run.id() + " ran at " + run.service() + ", as only an older version has it");
        }
    }

    private void checkShutdowns() {
        Set<String> seen = new HashSet<>();
        for (TrafficLog.Left left : trafficLog.left()) {
            double deadline = left.at() + unloadMs;
            trafficLog.runs().stream()
                    .filter(run -> run.upstream().equals(left.upstream()) && run.at() > deadline)
                    .filter(run -> seen.add(run.stamp()))
                    .forEach(run -> breach("DRAIN", run.id() + " ran at " + run.upstream() + " too late"));
        }
    }

    private void checkReadBack(byte[] body) {
        Operator.Order lost = lostOrder(orders, body);
        if (lost != null) {
            breach("CONFIG", "read back is not edition " + lost.version().edition());
        }
    }

    /** Returns the newest acknowledged configuration if neither it nor a later unacknowledged one was read back. */
    static Operator.Order lostOrder(List<Operator.Order> orders, byte[] body) {
        Operator.Order newest = null;
        List<Operator.Order> unacknowledged = new ArrayList<>();
        for (Operator.Order order : orders) {
            if (Double.isNaN(order.ackedAt())) {
                unacknowledged.add(order);
            } else {
                newest = order;
                unacknowledged.clear();
            }
        }
        boolean isReadBack = newest == null
                || Operator.hasSameContent(body, newest.version())
                || unacknowledged.stream().anyMatch(order -> Operator.hasSameContent(body, order.version()));
        return isReadBack ? null : newest;
    }
}
