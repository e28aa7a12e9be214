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
 * Operators over a {@link ControlCluster}, who follow the protocol: up to eight orders under way, each sent again as it
 * was, elsewhere, after a second without an answer, a 5xx or a lost answer; 307 is followed twice. Copies of an order
 * may also come once more, up to 20 s late. It knows only what operators saw, and fails as soon as that can't be true
 * of one history.
 */
final class OperatorModel {

    private static final double NO_CONTACT_MS = 1_000;
    private static final double PAUSE_MS = 30;
    private static final int MAX_UNDER_WAY = 8;
    /** No answer takes longer, in ms, but of a machine that stood still. */
    private static final double AT_ONCE_MS = 930;

    /** An order as it is sent, and what was seen of it. */
    static final class Order {
        final long basedOn;
        final long edition;
        final String body;
        boolean acknowledged;
        int refused;
        boolean underWay;

        Order(long basedOn, long edition, String body) {
            this.basedOn = basedOn;
            this.edition = edition;
            this.body = body;
        }

        @Override
        public String toString() {
            return edition + " on " + basedOn + (acknowledged ? ", acknowledged" : "") + ", " + refused
                    + (underWay ? ", under way" : "");
        }
    }

    private final ControlCluster cluster;
    private final String name;
    private final List<Order> orders = new ArrayList<>();
    private final Map<Long, Order> acknowledgedByBase = new HashMap<>();
    private final Map<Long, Order> acknowledgedByEdition = new HashMap<>();
    private long newestSeen;
    private int drawn;
    double lossOfAnswers;
    int acknowledgements;
    int refusals;
    int unclear;
    int reads;

    OperatorModel(ControlCluster cluster, String name) {
        this.cluster = cluster;
        this.name = name;
    }

    private void check(boolean holds, String text) {
        if (!holds) {
            throw new AssertionError(name + ", " + cluster.now() + " ms: " + text);
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

    /** Sends an order that is new, or the same as one before in some part. */
    void sendSomething() {
        if (orders.stream().filter(order -> order.underWay).count() >= MAX_UNDER_WAY) {
            return;
        }
        send(draw());
    }

    private Order draw() {
        int kind = cluster.random.nextInt(10);
        long base = newestSeen;
        long edition = base + 1 + cluster.random.nextInt(3);
        Order known = orders.isEmpty() ? null : orders.get(cluster.random.nextInt(orders.size()));
        if (known != null && kind == 0) {
            return known;
        } else if (known != null && kind == 1) {
            return order(base, known.edition, known.body);
        } else if (known != null && kind == 2) {
            return order(known.basedOn, known.edition, body(known.edition, ++drawn));
        } else if (known != null && kind == 3) {
            return order(known.basedOn, edition, body(edition, ++drawn));
        } else if (known != null && kind == 4) {
            // On one that may come to be: more than one step ahead of what was seen.
            return order(known.edition, known.edition + 1, body(known.edition + 1, ++drawn));
        }
        return order(base, edition, body(edition, ++drawn));
    }

    private Order order(long basedOn, long edition, String body) {
        for (Order one : orders) {
            if (one.basedOn == basedOn && one.edition == edition && one.body.equals(body)) {
                return one;
            }
        }
        Order made = new Order(basedOn, edition, body);
        orders.add(made);
        return made;
    }

    void send(Order order) {
        order.underWay = true;
        send(order, any(), 0);
    }

    private ControlCluster.Machine any() {
        List<ControlCluster.Machine> all = List.copyOf(cluster.machines.values());
        return all.get(cluster.random.nextInt(all.size()));
    }

    private void send(Order order, ControlCluster.Machine to, int redirects) {
        boolean[] over = new boolean[1];
        boolean lost = cluster.random.nextDouble() < lossOfAnswers;
        double sentAt = cluster.now();
        double late = cluster.random.nextDouble() < 0.1 ? cluster.random.nextDouble() * 20_000 : 0;
        if (late > 0) {
            cluster.after(late, () -> call(order, to, reply -> {}));
        }
        cluster.after(
                cluster.random.nextDouble() * 2,
                () -> call(order, to, reply -> {
                    if (!over[0] && !lost && cluster.now() - sentAt < NO_CONTACT_MS) {
                        over[0] = true;
                        answered(order, reply, redirects);
                    }
                }));
        cluster.after(NO_CONTACT_MS, () -> {
            if (!over[0]) {
                over[0] = true;
                again(order);
            }
        });
    }

    private void call(Order order, ControlCluster.Machine to, Consumer<ApiResponse> answer) {
        if (to.up()) {
            double came = cluster.now();
            boolean awake = !to.frozen;
            to.call(ControlRequest.CONFIG_REPLACE, order.basedOn, order.body, reply -> {
                check(
                        !awake || to.thawedAt > came || cluster.now() - came <= AT_ONCE_MS,
                        "an answer took " + (cluster.now() - came) + " ms");
                answer.accept(reply);
            });
        }
    }

    private void again(Order order) {
        unclear++;
        cluster.after(PAUSE_MS, () -> send(order, any(), 0));
    }

    private void answered(Order order, ApiResponse reply, int redirects) {
        switch (reply.status()) {
            case 200 -> acknowledged(order);
            case 400, 412 -> refused(order, reply);
            case 307 -> {
                String to = reply.location()
                        .substring("http://".length(), reply.location().indexOf("/s"));
                check(cluster.machines.containsKey(to), "sent to " + reply.location());
                if (redirects < 2) {
                    send(order, cluster.machines.get(to), redirects + 1);
                } else {
                    again(order);
                }
            }
            default -> {
                check(reply.status() >= 500, "an answer of " + reply.status());
                again(order);
            }
        }
    }

    private void acknowledged(Order order) {
        acknowledgements++;
        order.underWay = false;
        check(order.refused == 0, "acknowledged after it was refused: " + order);
        check(order.edition > order.basedOn, "an old edition is acknowledged: " + order);
        Order other = acknowledgedByBase.putIfAbsent(order.basedOn, order);
        check(other == null || other == order, "two on one version: " + order + "; " + other);
        other = acknowledgedByEdition.putIfAbsent(order.edition, order);
        check(other == null || other == order, "two under one number: " + order + "; " + other);
        order.acknowledged = true;
        newestSeen = Math.max(newestSeen, order.edition);
    }

    private void refused(Order order, ApiResponse reply) {
        refusals++;
        order.underWay = false;
        check(!order.acknowledged, "refused with " + reply.status() + " after it was acknowledged: " + order);
        check(reply.status() != 400 || order.edition <= order.basedOn, "400 for a valid one: " + order);
        order.refused = reply.status();
    }

    /** Reads the newest configuration at some machine. */
    void read(ControlCluster.Machine at) {
        if (!at.up()) {
            return;
        }
        long least = acknowledgedByEdition.keySet().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        at.call(ControlRequest.CONFIG_READ, 0, "", reply -> {
            if (reply.status() == 200) {
                reads++;
                String body = new String(reply.body(), StandardCharsets.UTF_8);
                Order found = orders.stream()
                        .filter(order -> order.body.equals(body))
                        .findAny()
                        .orElse(null);
                check(found != null, "something is in force that nobody sent");
                check(found.edition >= least, "read " + found + " after " + least + " was acknowledged");
                newestSeen = Math.max(newestSeen, found.edition);
            } else {
                check(
                        reply.status() >= 500 || reply.status() == 307 || reply.status() == 404 && least == 0,
                        "a read is answered with " + reply.status());
            }
        });
    }

    void readAnywhere() {
        read(any());
    }

    /** In calm: all that is under way ends, what was acknowledged is acknowledged again and in the history. */
    void concludes() {
        lossOfAnswers = 0;
        for (int i = 0; i < 100 && orders.stream().anyMatch(this::isOpen); i++) {
            cluster.run(500);
        }
        check(
                orders.stream().noneMatch(this::isOpen),
                "still under way: " + orders.stream().filter(this::isOpen).toList());
        for (Order order : List.copyOf(orders)) {
            if (order.acknowledged) {
                send(order);
            }
        }
        cluster.run(30_000);
        check(orders.stream().noneMatch(order -> order.acknowledged && order.underWay), "not acknowledged again");
        agreesWithHistory();
    }

    /** One that is on a version that never came to be has no end. */
    private boolean isOpen(Order order) {
        return order.underWay && order.basedOn <= cluster.awaitLeader().state.edition();
    }

    private void agreesWithHistory() {
        Map<Long, Long> bases = new HashMap<>();
        Set<Long> editions = new HashSet<>(Set.of(0L));
        Set<String> taken = new HashSet<>();
        cluster.awaitLeader().state.read((edition, basedOn, at, length, digest) -> {
            bases.put(basedOn, edition);
            editions.add(edition);
            taken.add(basedOn + ">" + edition + ":" + digest);
        });
        for (Order order : orders) {
            String mark = order.basedOn + ">" + order.edition + ":"
                    + BodyDigest.of(order.body.getBytes(StandardCharsets.UTF_8));
            check(!order.acknowledged || taken.contains(mark), "acknowledged and lost: " + order);
            check(order.refused == 0 || !taken.contains(mark), "refused and in force: " + order);
            check(
                    order.refused != 412 || !editions.contains(order.basedOn) || bases.containsKey(order.basedOn),
                    "412, but nothing ever followed: " + order);
        }
    }
}
