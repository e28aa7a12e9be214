import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: three control nodes and one sidecar per entry of {@code services}, started with the
 * commands of deploy/system.toml, with the operator's and the platform's calls. Each machine has an address of its own.
 */
final class Mesh implements AutoCloseable {

    static final String HOST = "ficu95.example";
    static final String KEY = "3fexd9dnn2ctnfzs989a";
    static final String TENANT = "hule930";
    static final int CONTROL = 8367;
    static final int OUTBOUND = 8365;
    static final int INBOUND = 8366;
    static final int READY = 8369;
    static final int APP = 8363;

    /** A signal that ends the case with exit 2: it could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    private static final long START = System.nanoTime();

    /** The record of the case: one line for each thing sent, answered, run or done. */
    static final class Record implements AutoCloseable {
        private final BufferedWriter out;

        Record(Path file) throws IOException {
            out = Files.newBufferedWriter(file);
        }

        synchronized void line(String format, Object... values) {
            try {
                out.write(String.format(Locale.ROOT, "%9.1f ms  ", now()) + String.format(Locale.ROOT, format, values));
                out.newLine();
                out.flush();
            } catch (IOException e) {
                throw new CannotRun("cannot write the record: " + e);
            }
        }

        @Override
        public synchronized void close() throws IOException {
            out.close();
        }
    }

    /** The time in ms since the start of the case, by the steady clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(double ms) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) Math.max(0, ms * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CannotRun("interrupted");
        }
    }

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    final Record record;
    final List<String> services;
    private final String prefix;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Mesh(Record record, List<String> services) throws IOException {
        this.record = record;
        this.services = services;
        folder = Files.createTempDirectory("sablehinge-review");
        prefix = freePrefix(services.size());
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static String freePrefix(int sidecars) {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String candidate = "127." + (1 + random.nextInt(253)) + "." + (1 + random.nextInt(253));
            if (isFree(candidate + ".11", CONTROL) && isFree(candidate + ".21", OUTBOUND)
                    && isFree(candidate + "." + (20 + sidecars), APP)) {
                return candidate;
            }
        }
        throw new CannotRun("no free loopback addresses");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress core(int i, int port) {
        return new InetSocketAddress(prefix + "." + (11 + i), port);
    }

    InetSocketAddress machine(int i, int port) {
        return new InetSocketAddress(prefix + "." + (21 + i), port);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String settings(String node, boolean core, int i) {
        InetSocketAddress self = core ? core(i, CONTROL) : machine(i, CONTROL);
        StringBuilder out = new StringBuilder();
        out.append("node = \"" + node + "\"\nrole = \"" + (core ? "control" : "sidecar") + "\"\n");
        out.append("machineClass = \"" + (core ? "core" : "sidecar") + "\"\n");
        out.append("serves = [\"" + (core ? "control" : "sidecar") + "\"]\n");
        out.append("ip = \"" + self.getAddress().getHostAddress() + "\"\n");
        out.append("zone = \"monza-a\"\nregion = \"lombardia\"\ninnerPorts = [7780,7795]\n");
        out.append("seeds = [\"" + text(core(0, CONTROL)) + "\",\"" + text(core(1, CONTROL)) + "\",\""
                + text(core(2, CONTROL)) + "\"]\n");
        out.append("firstStart = true\ncounted = " + core + "\ndiscovery = \"local\"\nentry = \"local\"\nbeatMs = 1500\n");
        out.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\"]\n");
        if (core) {
            out.append("dataDir = \"" + folder.resolve(node + ".data") + "\"\n");
        } else {
            out.append("app = \"" + text(machine(i, APP)) + "\"\ndepot = \"" + services.get(i) + "\"\n");
        }
        out.append("[zones]\nmonza-a = \"lombardia\"\n[listenOn]\n");
        if (core) {
            out.append("control = \"" + text(core(i, CONTROL)) + "\"\n");
        } else {
            out.append("inbound = \"" + text(machine(i, INBOUND)) + "\"\noutbound = \"" + text(machine(i, OUTBOUND))
                    + "\"\nready = \"" + text(machine(i, READY)) + "\"\ncontrol = \"" + text(machine(i, CONTROL))
                    + "\"\n");
        }
        out.append("[limits]\ncpuShare = 0.9\ncores = 1\nmemoryMb = 430\nfds = 4100\nlinkMbps = 1000.0\ndiskMb = "
                + (core ? 256 : 0) + "\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedDelayS = 3\n"
                + "readdressAfterS = 2\ncontactMs = 3000\nreceiptMs = 5000\nonboardS = 4\nunloadMs = 2500\ngraceS = 6\n"
                + "lostSlackMs = 200\neditionMs = 2500\nrevertMs = 250\nmaxStretchMs = 8000\nsealed = false\n"
                + "revokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 56\nquotaWindowS = 5\n"
                + "quotaExcess = 0.1\nquotaSlack = 20\nrecoverS = 15\n");
        return out.toString();
    }

    /** The command of a role in deploy/system.toml. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.trim().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(run.split(" "));
            }
        }
        throw new CannotRun("deploy/system.toml has no role " + role);
    }

    private void startProcess(String node, String role) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(role)).directory(root.toFile()).redirectErrorStream(true);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("SABLEHINGE_CONFIG", folder.resolve(node + ".toml").toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        processes.put(node, builder.start());
        record.line("started %s", node);
    }

    /** Starts all processes; returns at once. */
    void start() throws IOException {
        for (int i = 0; i < 3; i++) {
            String node = "core-" + (i + 1);
            Files.createDirectories(folder.resolve(node + ".data"));
            Files.writeString(folder.resolve(node + ".toml"), settings(node, true, i));
            startProcess(node, "control");
        }
        for (int i = 0; i < services.size(); i++) {
            String node = "sidecar-" + (i + 1);
            Files.writeString(folder.resolve(node + ".toml"), settings(node, false, i));
            startProcess(node, "sidecar");
        }
    }

    /** Sends SIGTERM to a sidecar, as the platform does. */
    void terminate(int sidecar) {
        Process process = processes.get("sidecar-" + (sidecar + 1));
        record.line("SIGTERM to sidecar-%d", sidecar + 1);
        process.destroy();
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    private void killAll() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            try (Stream<Path> logs = Files.list(folder)) {
                for (Path log : logs.filter(p -> p.toString().endsWith(".log")).toList()) {
                    Files.copy(log, Path.of(keep).resolve(log.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    // ---- The operator and the platform -------------------------------------------------------------

    /** A route: its prefix, kind, service, time-out and attempts. */
    record Route(String prefix, String kind, String service, int targetMs, int timeoutMs, int attempts) {}

    static String configuration(int edition, List<Route> routes, List<String> machines) {
        List<String> services = machines.stream().distinct().toList();
        StringBuilder out = new StringBuilder("{\"edition\":" + edition
                + ",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,\"headerMs\":3000,\"idleMs\":15000},"
                + "\"senders\":[{\"name\":\"" + TENANT + "\",\"passes\":[\"" + KEY
                + "\"],\"priority\":1,\"perS\":2000,\"burst\":2000}],\"gates\":[{\"station\":\"" + HOST
                + "\",\"regulations\":[");
        int number = 0;
        for (Route route : routes) {
            out.append(number == 0 ? "" : ",").append("{\"name\":\"r-" + ++number + "\",\"kind\":\"" + route.kind()
                    + "\",\"targetMs\":" + route.targetMs() + ",\"priority\":1,\"open\":false,\"sorting\":"
                    + "{\"lanePrefix\":\"" + route.prefix() + "\"},\"dispatch\":{\"depot\":\"" + route.service()
                    + "\",\"timeoutMs\":" + route.timeoutMs() + ",\"attempts\":" + route.attempts() + "}}");
        }
        out.append("]}],\"fleets\":[");
        for (int i = 0; i < services.size(); i++) {
            out.append(i == 0 ? "" : ",").append("{\"name\":\"" + services.get(i)
                    + "\",\"healthPath\":\"/health\",\"connCap\":110,\"protocol\":\"h1\",\"tls\":false}");
        }
        return out.append("]}").toString();
    }

    /** Sends a configuration until it is taken, as the operator does. */
    void replace(String configuration, int basedOn, double timeoutMs) {
        double until = now() + timeoutMs;
        InetSocketAddress to = core(0, CONTROL);
        for (int call = 0; now() < until; call++) {
            try {
                Http.Message answer = Http.call(to, 1_000, "POST", "/sablehinge/Config.Replace",
                        List.of("Host: " + text(to), "Content-Type: application/json", "Sablehinge-Based-On: " + basedOn),
                        configuration.getBytes(StandardCharsets.UTF_8));
                if (answer != null && answer.status() == 200) {
                    record.line("operator: configuration acknowledged by %s", text(to));
                    return;
                }
                if (answer != null && answer.status() == 307) {
                    String at = answer.header("location").replaceFirst("^http://", "").replaceFirst("/.*", "");
                    to = new InetSocketAddress(at.substring(0, at.lastIndexOf(':')),
                            Integer.parseInt(at.substring(at.lastIndexOf(':') + 1)));
                    continue;
                }
            } catch (IOException e) {
                // The next control node is called.
            }
            to = core(call % 3, CONTROL);
            sleep(200);
        }
        throw new CannotRun("no configuration was acknowledged in time");
    }

    /** Whether a sidecar answers 200 on its ready port. */
    boolean isReady(int sidecar) {
        try {
            InetSocketAddress at = machine(sidecar, READY);
            Http.Message answer = Http.call(at, 1_000, "GET", "/sablehinge/ready", List.of("Host: " + text(at)), null);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(double timeoutMs) {
        double until = now() + timeoutMs;
        for (int i = 0; i < services.size(); i++) {
            while (!isReady(i)) {
                if (now() > until) {
                    throw new CannotRun("sidecar-" + (i + 1) + " is not ready in time");
                }
                sleep(100);
            }
        }
        record.line("platform: all sidecars are ready");
    }

    /** The usual start: processes, upstreams, the first configuration, and a calm time longer than contactMs. */
    static List<Upstream> startAll(Mesh mesh, List<Upstream> upstreams, String configuration) throws IOException {
        mesh.start();
        for (Upstream upstream : upstreams) {
            upstream.start();
        }
        mesh.replace(configuration, 0, 30_000);
        mesh.awaitReady(20_000);
        sleep(5_000);
        return new ArrayList<>(upstreams);
    }

    static byte[] bytes(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        in.transferTo(out);
        return out.toByteArray();
    }

    static void write(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
    }
}
