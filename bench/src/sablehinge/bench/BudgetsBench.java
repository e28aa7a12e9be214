package sablehinge.bench;

import ch.qos.logback.classic.Level;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import sablehinge.gateway.node.OperatorNode;
import sablehinge.testing.Listener;
import sablehinge.testing.Logs;
import sablehinge.testing.Peer;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.audit.judge.AuditRules.ClassTerms;
import sablehinge.tools.audit.judge.AuditRules.Effect;
import sablehinge.tools.audit.judge.AuditRules.Group;
import sablehinge.tools.audit.judge.Breach;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.ClientAttempt;
import sablehinge.tools.audit.judge.Evidence.Echo;
import sablehinge.tools.audit.judge.Evidence.End;
import sablehinge.tools.audit.judge.Evidence.How;
import sablehinge.tools.audit.judge.Evidence.ServerAttempt;
import sablehinge.tools.audit.judge.RuleChecker;

/**
 * Run by {@code bench/run budgets}: real balancers between three tiers of servers on loopback, all in one process, with
 * budgets and without. What callers and servers saw is judged by the four rules.
 */
public final class BudgetsBench {

    private static final int BOUND = 8;
    private static final int SERVERS = 2;
    private static final double DEADLINE_MS = 1_000;
    private static final String[] TIERS = {"front", "render", "store"};
    private static final double[] WORK_MS = {5, 5, 20};
    private static final int[] SLOTS = {64, 64, 2};
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final long BASE_NANOS = System.nanoTime();
    private static final double BASE_MS = System.currentTimeMillis();

    private BudgetsBench() {}

    private static double now() {
        return BASE_MS + (System.nanoTime() - BASE_NANOS) / 1e6;
    }

    /** What one chain has seen. */
    private static final class Chain implements AutoCloseable {
        final List<java.io.Closeable> open = new ArrayList<>();
        final ConcurrentLinkedQueue<Evidence> evidence = new ConcurrentLinkedQueue<>();
        /** By the client's request: when it gives up, and attempts at the last tier. */
        final Map<String, Double> until = new ConcurrentHashMap<>();

        final Map<String, AtomicInteger> leaves = new ConcurrentHashMap<>();
        final AtomicInteger dead = new AtomicInteger();
        final List<List<Server>> tiers = new ArrayList<>();
        final boolean budgets;
        volatile double failing;
        final InetSocketAddress entry;
        private final Path folder;

        Chain(Path folder, boolean budgets) throws Exception {
            this.folder = folder;
            this.budgets = budgets;
            for (int tier = 0; tier < TIERS.length; tier++) {
                List<Server> servers = new ArrayList<>();
                for (int i = 0; i < SERVERS; i++) {
                    servers.add(new Server(this, tier, i));
                }
                tiers.add(servers);
            }
            for (int tier = 0; tier < TIERS.length - 1; tier++) {
                for (Server server : tiers.get(tier)) {
                    server.next = balancer(tier + 1, TIERS[tier + 1] + "-of-" + server.place);
                    server.nextName = TIERS[tier + 1] + "-of-" + server.place;
                }
            }
            entry = balancer(0, "front");
        }

        private InetSocketAddress balancer(int tier, String name) throws Exception {
            StringBuilder text = new StringBuilder("[[listener]]\naddress = \"127.0.0.1:0\"\n");
            for (String type : new String[] {"cheap", "dear", "spend"}) {
                text.append("[[class]]\nname = \"")
                        .append(type)
                        .append("\"\naim = \"500ms\"\ndeadline = \"1s\"\n")
                        .append("effect = \"")
                        .append(type.equals("spend") ? "unsafe" : "safe")
                        .append("\"\nworth = ")
                        .append(type.equals("dear") ? 8 : 1)
                        .append('\n');
            }
            for (int i = 0; i < SERVERS; i++) {
                text.append("[[upstream]]\nid = \"")
                        .append(TIERS[tier])
                        .append(i)
                        .append("\"\naddress = \"")
                        .append(tiers.get(tier).get(i).listener.address())
                        .append("\"\n");
            }
            if (budgets) {
                text.append("[budget]\nservice = \"")
                        .append(TIERS[tier])
                        .append("\"\nattempts = ")
                        .append(BOUND)
                        .append("\nentry = ")
                        .append(tier == 0)
                        .append("\nlast = ")
                        .append(tier == TIERS.length - 1)
                        .append('\n');
            }
            Path own = Files.createDirectories(folder.resolve((budgets ? "with-" : "without-") + name));
            OperatorNode node = OperatorNode.start(Files.writeString(own.resolve("operator.toml"), text), true);
            open.add(node::kill);
            return node.addresses().get(0);
        }

        /** A client's request; its status, or 0 if none came in time. */
        int ask(String type) {
            String client = "c" + IDS.incrementAndGet();
            until.put(client, now() + DEADLINE_MS);
            leaves.put(client, new AtomicInteger());
            return call(this, "clients", entry, "front", type, client, DEADLINE_MS, null).status;
        }

        @Override
        public void close() throws IOException {
            for (int i = open.size() - 1; i >= 0; i--) {
                open.get(i).close();
            }
        }
    }

    private record TierAnswer(int status, String spent) {}

    private static TierAnswer call(
            Chain chain,
            String caller,
            InetSocketAddress to,
            String balancer,
            String type,
            String client,
            double remaining,
            String budget) {
        String txn = "t" + IDS.incrementAndGet();
        double sent = now();
        End end = End.UNREACHABLE;
        Peer.Message answer = null;
        try (Peer peer = Peer.to(to)) {
            peer.socket.setSoTimeout((int) Math.max(1, remaining + 500));
            sent = now();
            peer.write((type.equals("spend") ? "POST /" : "GET /") + type + "?" + client
                    + " HTTP/1.1\r\nX-Txn: "
                    + txn + "\r\nX-Lane: " + type
                    + String.format(Locale.ROOT, "\r\nX-Remaining: %.3f\r\n", Math.max(0, remaining) / 1_000)
                    + (type.equals("spend") ? "Content-Length: 0\r\n" : "")
                    + (budget == null ? "" : "Sablehinge-Budget: " + budget + "\r\n") + "\r\n");
            end = End.SILENT;
            answer = peer.read();
            end = answer == null ? End.BROKEN : End.ANSWERED;
        } catch (SocketException e) {
            end = end == End.UNREACHABLE ? end : End.BROKEN;
        } catch (IOException e) {
            end = End.SILENT;
        }
        double at = now();
        int status = answer == null ? 0 : answer.status();
        chain.evidence.add(new ClientAttempt(
                at,
                caller,
                balancer,
                txn,
                txn,
                type,
                "",
                sent,
                sent + remaining,
                answer == null ? Double.NaN : at,
                end,
                status,
                status == 200 ? Echo.SAME : Echo.UNKNOWN));
        return new TierAnswer(status, answer == null ? null : answer.header("Sablehinge-Spent"));
    }

    /** A server with some slots, which calls the next tier while it holds one. */
    private static final class Server {
        final Listener listener = new Listener();
        final Chain chain;
        final int tier;
        final String place;
        final Semaphore slots;
        final SplittableRandom random;
        volatile InetSocketAddress next;
        volatile String nextName;

        Server(Chain chain, int tier, int number) throws IOException {
            this.chain = chain;
            this.tier = tier;
            place = TIERS[tier] + number;
            slots = new Semaphore(SLOTS[tier], true);
            random = new SplittableRandom(tier * 10 + number);
            chain.open.add(listener::close);
            daemon(() -> {
                while (true) {
                    try {
                        Peer peer = listener.accept();
                        daemon(() -> serve(peer));
                    } catch (AssertionError e) {
                        // Nobody came for a while; connections that are there are used.
                        continue;
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Peer peer) {
            try (peer) {
                for (Peer.Message request = peer.read(); request != null; request = peer.read()) {
                    double taken = now();
                    String target = request.first().split(" ")[1];
                    String type = target.substring(1, target.indexOf('?'));
                    String client = target.substring(target.indexOf('?') + 1);
                    if (taken > chain.until.getOrDefault(client, Double.MAX_VALUE)) {
                        chain.dead.incrementAndGet();
                    }
                    if (tier == TIERS.length - 1) {
                        chain.leaves.get(client).incrementAndGet();
                    }
                    boolean fails;
                    synchronized (random) {
                        fails = tier == TIERS.length - 1 && random.nextDouble() < chain.failing;
                    }
                    String spent = null;
                    slots.acquire();
                    try {
                        TimeUnit.MICROSECONDS.sleep((long) (WORK_MS[tier] * 1_000));
                        if (next != null) {
                            double left = Double.parseDouble(request.header("X-Remaining")) * 1_000 - (now() - taken);
                            TierAnswer below = call(
                                    chain,
                                    place,
                                    next,
                                    nextName,
                                    type,
                                    client,
                                    left,
                                    request.header("Sablehinge-Budget"));
                            spent = below.spent;
                            fails = below.status != 200;
                        }
                    } finally {
                        slots.release();
                    }
                    boolean written = true;
                    try {
                        peer.write("HTTP/1.1 " + (fails ? 500 : 200) + " x\r\nContent-Length: 2\r\n"
                                + (spent == null ? "" : "Sablehinge-Spent: " + spent + "\r\n") + "\r\nok");
                    } catch (IOException e) {
                        written = false;
                    }
                    chain.evidence.add(new ServerAttempt(
                            now(),
                            place,
                            "main",
                            0,
                            "",
                            request.header("X-Txn"),
                            "",
                            type,
                            "",
                            taken,
                            taken,
                            !written ? How.CANCELLED : fails ? How.ERROR : How.SERVED));
                }
            } catch (IOException | InterruptedException e) {
                // Its caller has given it up.
            }
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** What a stretch of load has come to. */
    private record Stretch(double kept, double amplification, int most) {}

    private static Stretch load(Chain chain, double perSecond, double seconds, long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        int count = (int) (perSecond * seconds);
        double[] worths = new double[2];
        int before = chain.leaves.values().stream().mapToInt(AtomicInteger::get).sum();
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = now();
        for (int i = 0; i < count; i++) {
            String type = random.nextInt(4) == 0 ? "dear" : random.nextInt(4) == 0 ? "spend" : "cheap";
            int value = type.equals("dear") ? 8 : 1;
            double due = start + i * 1_000 / perSecond;
            while (now() < due) {
                TimeUnit.MICROSECONDS.sleep(200);
            }
            worths[0] += value;
            clients.execute(() -> {
                double requested = now();
                if (chain.ask(type) == 200 && now() - requested <= DEADLINE_MS) {
                    synchronized (worths) {
                        worths[1] += value;
                    }
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(1, TimeUnit.MINUTES);
        // What was given up may still be under way.
        TimeUnit.MILLISECONDS.sleep(1_500);
        int leaves = chain.leaves.values().stream().mapToInt(AtomicInteger::get).sum() - before;
        int most = chain.leaves.values().stream()
                .mapToInt(AtomicInteger::get)
                .max()
                .orElse(0);
        return new Stretch(worths[1] / worths[0], leaves / (double) count, most);
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }

    private static int breaches(Chain chain) {
        Map<String, ClassTerms> classes = new HashMap<>();
        classes.put("cheap", new ClassTerms(Effect.SAFE, Group.ALL, 0));
        classes.put("dear", new ClassTerms(Effect.SAFE, Group.ALL, 0));
        classes.put("spend", new ClassTerms(Effect.UNSAFE, Group.ALL, 0));
        List<Breach> found = new ArrayList<>();
        RuleChecker judge = new RuleChecker(new AuditRules(classes, 140, 2_050, 100, 10_000, true, true), found::add);
        chain.evidence.stream().sorted(Comparator.comparingDouble(Evidence::at)).forEach(judge::add);
        judge.end();
        found.stream().limit(3).forEach(breach -> System.err.println(breach));
        return found.size();
    }

    /** Passes that a loop of three hops makes until it is found: the most that any server sees of one call. */
    private static int loopPasses(Path folder) throws Exception {
        try (Chain chain = new Chain(Files.createDirectories(folder.resolve("loop")), true)) {
            // The last tier calls the first again, which takes it for a friend's call by its header.
            for (Server store : chain.tiers.get(2)) {
                store.next = chain.tiers.get(1).get(0).next;
                store.nextName = "store-of-render0";
            }
            chain.ask("cheap");
            return chain.leaves.values().stream()
                    .mapToInt(AtomicInteger::get)
                    .max()
                    .orElse(0);
        }
    }

    public static void main(String[] arguments) throws Exception {
        Locale.setDefault(Locale.ROOT);
        Logs.level(Level.OFF);
        double seconds = arguments.length > 0 ? Double.parseDouble(arguments[0]) : 5;
        Path folder = Files.createTempDirectory("budgets");
        try (Chain without = new Chain(folder, false);
                Chain with = new Chain(folder, true)) {
            for (Chain chain : List.of(without, with)) {
                load(chain, 50, 2, 1);
            }
            double[][] times = new double[2][300];
            for (int i = 0; i < 300; i++) {
                for (int which = 0; which < 2; which++) {
                    double begun = now();
                    (which == 0 ? without : with).ask("cheap");
                    times[which][i] = (now() - begun) * 1_000;
                }
            }
            double overhead = median(times[1]) - median(times[0]);
            Stretch[][] got = new Stretch[3][2];
            String[] names = {"usual load", "store fails 0.6", "2.5 times the load"};
            double[] rates = {120, 60, 300};
            for (int stretch = 0; stretch < 3; stretch++) {
                for (int which = 0; which < 2; which++) {
                    Chain chain = which == 0 ? without : with;
                    chain.failing = stretch == 1 ? 0.6 : 0;
                    chain.leaves.clear();
                    got[stretch][which] = load(chain, rates[stretch], seconds, 7 + stretch);
                }
            }
            System.out.printf(
                    "%-20s %12s %12s %18s %18s%n",
                    "", "kept without", "kept with", "attempts without", "attempts with");
            for (int i = 0; i < 3; i++) {
                System.out.printf(
                        "%-20s %12.3f %12.3f %8.2f, most %3d %8.2f, most %3d%n",
                        names[i],
                        got[i][0].kept,
                        got[i][1].kept,
                        got[i][0].amplification,
                        got[i][0].most,
                        got[i][1].amplification,
                        got[i][1].most);
            }
            int most = Arrays.stream(got).mapToInt(pair -> pair[1].most).max().orElse(0);
            StringBuilder json = new StringBuilder("{\"bound\":" + BOUND + ",\"attempts_max\":" + most);
            field(json, "amplification_without", got[1][0].amplification);
            field(json, "amplification_with", got[1][1].amplification);
            field(json, "dead_sent", with.dead.get());
            field(json, "dead_sent_without", without.dead.get());
            field(json, "loop_passes", loopPasses(folder));
            field(json, "worth_kept_without", got[2][0].kept);
            field(json, "worth_kept_with", got[2][1].kept);
            field(json, "overhead_us_p50", overhead);
            field(json, "breaches", breaches(with));
            field(json, "breaches_without", breaches(without));
            System.out.println(json.append('}'));
        }
        System.exit(0);
    }

    private static void field(StringBuilder json, String name, double value) {
        json.append(",\"")
                .append(name)
                .append("\":")
                .append(new java.math.BigDecimal(value)
                        .setScale(4, java.math.RoundingMode.HALF_UP)
                        .stripTrailingZeros()
                        .toPlainString());
    }
}
