package sablehinge.controlplane.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.mesh.api.ApiResponse;

/**
 * Operators of a {@link ControlCluster} that follow the protocol: up to eight change requests in flight, each resent
 * unchanged to another node after a second without an answer, a 5xx or a lost answer; a 307 is followed twice. A copy
 * of a request may also arrive up to 20 s late. The model knows only what operators observe, and fails as soon as their
 * observations contradict a single linear history.
 */
final class OperatorModel {

    private static final double RESEND_TIMEOUT_MS = 1_000;
    private static final double RESEND_DELAY_MS = 30;
    private static final int MAX_IN_FLIGHT = 8;
    /** No answer takes longer, except from a node that was paused. */
    private static final double MAX_ANSWER_MS = 930;

    /** A change request and its observed outcome. */
    static final class Change {
        final long basedOn;
        final long edition;
        final String body;
        boolean acknowledged;
        int refused;
        boolean inFlight;

        Change(long basedOn, long edition, String body) {
            this.basedOn = basedOn;
            this.edition = edition;
            this.body = body;
        }

        @Override
        public String toString() {
            return edition + " on " + basedOn + (acknowledged ? ", acknowledged" : "") + ", " + refused
                    + (inFlight ? ", in flight" : "");
        }
    }

    private final ControlCluster cluster;
    private final String name;
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Change> acknowledgedByBase = new HashMap<>();
    private final Map<Long, Change> acknowledgedByEdition = new HashMap<>();
    private long newestSeen;
    private int bodyCount;
    double answerLossRate;
    int acknowledgements;
    int refusals;
    int unclearAnswers;
    int reads;

    OperatorModel(ControlCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
    }

    private void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(name + ", " + cluster.now() + " ms: " + message);
        }
    }

    /** A valid configuration. */
    static String body(long edition, int number) {
        return """
                {"edition":%d,"limits":{"headerBytes":16384,"bodyBytes":67108864,"headerMs":3000,
                 "idleMs":15000},"senders":[],
                 "gates":[{"station":"s%d.example","regulations":[{"name":"r-1","kind":"safe",
                 "targetMs":600,"priority":2,"open":true,"sorting":{"lanePrefix":"/a/"},
                 "dispatch":{"depot":"d","timeoutMs":4000,"attempts":2}}]}],
                 "fleets":[{"name":"d","healthPath":"/health","connCap":110}]}"""
                .formatted(edition, number);
    }

    /** Sends a change request that is new or shares some components with an earlier one. */
    void sendRandomChange() {
        if (changes.stream().filter(change -> change.inFlight).count() >= MAX_IN_FLIGHT) {
            return;
        }
        send(randomChange());
    }

    private Change randomChange() {
        int kind = cluster.random.nextInt(10);
        long base = newestSeen;
        long edition = base + 1 + cluster.random.nextInt(3);
        Change earlier = changes.isEmpty() ? null : changes.get(cluster.random.nextInt(changes.size()));
        if (earlier != null && kind == 0) {
            return earlier;
        } else if (earlier != null && kind == 1) {
            return findOrCreate(base, earlier.edition, earlier.body);
        } else if (earlier != null && kind == 2) {
            return findOrCreate(earlier.basedOn, earlier.edition, body(earlier.edition, ++bodyCount));
        } else if (earlier != null && kind == 3) {
            return findOrCreate(earlier.basedOn, edition, body(edition, ++bodyCount));
        } else if (earlier != null && kind == 4) {
            // Based on an edition that may never be accepted, so possibly several steps ahead of the newest edition
            // seen.
            return findOrCreate(earlier.edition, earlier.edition + 1, body(earlier.edition + 1, ++bodyCount));
        }
        return findOrCreate(base, edition, body(edition, ++bodyCount));
    }

    private Change findOrCreate(long basedOn, long edition, String body) {
        for (Change candidate : changes) {
            if (candidate.basedOn == basedOn && candidate.edition == edition && candidate.body.equals(body)) {
                return candidate;
            }
        }
        Change created = new Change(basedOn, edition, body);
        changes.add(created);
        return created;
    }

    void send(Change change) {
        change.inFlight = true;
        send(change, randomNode(), 0);
    }

    private ControlCluster.Machine randomNode() {
        List<ControlCluster.Machine> all = List.copyOf(cluster.machines.values());
        return all.get(cluster.random.nextInt(all.size()));
    }

    private void send(Change change, ControlCluster.Machine to, int redirects) {
        boolean[] completed = new boolean[1];
        boolean lost = cluster.random.nextDouble() < answerLossRate;
        double sentAt = cluster.now();
        double copyDelayMs = cluster.random.nextDouble() < 0.1 ? cluster.random.nextDouble() * 20_000 : 0;
        if (copyDelayMs > 0) {
            cluster.schedule(copyDelayMs, () -> call(change, to, reply -> {}));
        }
        cluster.schedule(
                cluster.random.nextDouble() * 2,
                () -> call(change, to, reply -> {
                    if (!completed[0] && !lost && cluster.now() - sentAt < RESEND_TIMEOUT_MS) {
                        completed[0] = true;
                        handleAnswer(change, reply, redirects);
                    }
                }));
        cluster.schedule(RESEND_TIMEOUT_MS, () -> {
            if (!completed[0]) {
                completed[0] = true;
                resend(change);
            }
        });
    }

    private void call(Change change, ControlCluster.Machine to, Consumer<ApiResponse> answer) {
        if (to.up()) {
            double sentAt = cluster.now();
            boolean running = !to.paused;
            to.call(ControlRequest.CONFIG_REPLACE, change.basedOn, change.body, reply -> {
                check(
                        !running || to.resumedAt > sentAt || cluster.now() - sentAt <= MAX_ANSWER_MS,
                        "an answer took " + (cluster.now() - sentAt) + " ms");
                answer.accept(reply);
            });
        }
    }

    private void resend(Change change) {
        unclearAnswers++;
        cluster.schedule(RESEND_DELAY_MS, () -> send(change, randomNode(), 0));
    }

    private void handleAnswer(Change change, ApiResponse reply, int redirects) {
        switch (reply.status()) {
            case 200 -> handleAcknowledgement(change);
            case 400, 412 -> handleRefusal(change, reply);
            case 307 -> {
                String to = reply.location()
                        .substring("http://".length(), reply.location().indexOf("/s"));
                check(cluster.machines.containsKey(to), "redirected to " + reply.location());
                if (redirects < 2) {
                    send(change, cluster.machines.get(to), redirects + 1);
                } else {
                    resend(change);
                }
            }
            default -> {
                check(reply.status() >= 500, "unexpected status " + reply.status());
                resend(change);
            }
        }
    }

    private void handleAcknowledgement(Change change) {
        acknowledgements++;
        change.inFlight = false;
        check(change.refused == 0, "acknowledged after a refusal: " + change);
        check(change.edition > change.basedOn, "acknowledged an old edition: " + change);
        Change other = acknowledgedByBase.putIfAbsent(change.basedOn, change);
        check(other == null || other == change, "acknowledged two changes on the same base: " + change + "; " + other);
        other = acknowledgedByEdition.putIfAbsent(change.edition, change);
        check(
                other == null || other == change,
                "acknowledged two changes with the same edition: " + change + "; " + other);
        change.acknowledged = true;
        newestSeen = Math.max(newestSeen, change.edition);
    }

    private void handleRefusal(Change change, ApiResponse reply) {
        refusals++;
        change.inFlight = false;
        check(!change.acknowledged, "refused with " + reply.status() + " after an acknowledgement: " + change);
        check(reply.status() != 400 || change.edition <= change.basedOn, "400 for a valid change: " + change);
        change.refused = reply.status();
    }

    /** Reads the newest configuration from a node. */
    void read(ControlCluster.Machine at) {
        if (!at.up()) {
            return;
        }
        long minEdition = acknowledgedByEdition.keySet().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        at.call(ControlRequest.CONFIG_READ, 0, "", reply -> {
            if (reply.status() == 200) {
                reads++;
                String body = new String(reply.body(), StandardCharsets.UTF_8);
                Change found = changes.stream()
                        .filter(change -> change.body.equals(body))
                        .findAny()
                        .orElse(null);
                check(found != null, "read a configuration that was never sent");
                check(
                        found.edition >= minEdition,
                        "read " + found + " after edition " + minEdition + " was acknowledged");
                newestSeen = Math.max(newestSeen, found.edition);
            } else {
                check(
                        reply.status() >= 500 || reply.status() == 307 || reply.status() == 404 && minEdition == 0,
                        "unexpected status of a read: " + reply.status());
            }
        });
    }

    void readFromRandomNode() {
        read(randomNode());
    }

    /** Without faults: all requests complete, and acknowledged ones are acknowledged again and are in the history. */
    void verifyFinalState() {
        answerLossRate = 0;
        for (int i = 0; i < 100 && changes.stream().anyMatch(this::mustStillComplete); i++) {
            cluster.advance(500);
        }
        check(
                changes.stream().noneMatch(this::mustStillComplete),
                "still in flight: "
                        + changes.stream().filter(this::mustStillComplete).toList());
        for (Change change : List.copyOf(changes)) {
            if (change.acknowledged) {
                send(change);
            }
        }
        cluster.advance(30_000);
        check(changes.stream().noneMatch(change -> change.acknowledged && change.inFlight), "not acknowledged again");
        verifyHistory();
    }

    /** Whether a request must still complete; one that is based on an edition that was never accepted never does. */
    private boolean mustStillComplete(Change change) {
        return change.inFlight && change.basedOn <= cluster.awaitLeader().state.edition();
    }

    private void verifyHistory() {
        Map<Long, Long> bases = new HashMap<>();
        Set<Long> editions = new HashSet<>(Set.of(0L));
        Set<String> accepted = new HashSet<>();
        cluster.awaitLeader().state.read((edition, basedOn, at, length, digest) -> {
            bases.put(basedOn, edition);
            editions.add(edition);
            accepted.add(basedOn + ">" + edition + ":" + digest);
        });
        for (Change change : changes) {
            String entry = change.basedOn + ">" + change.edition + ":"
                    + BodyDigest.of(change.body.getBytes(StandardCharsets.UTF_8));
            check(!change.acknowledged || accepted.contains(entry), "acknowledged but not in the history: " + change);
            check(change.refused == 0 || !accepted.contains(entry), "refused but in the history: " + change);
            check(
                    change.refused != 412 || !editions.contains(change.basedOn) || bases.containsKey(change.basedOn),
                    "refused with 412, but its base was never replaced: " + change);
        }
    }
}
