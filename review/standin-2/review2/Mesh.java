package review2;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's own programs as processes, started with the commands of the deploy
 * file, with the settings and bounds of the site vtb-plagio.
 */
final class Mesh implements AutoCloseable {
    static final String HOST = "mesh.example";
    static final String KEY = "k3y0f7h3d3m0";
    static final int BEAT_MS = 1_500;
    /** The case can't run here. */
    static final int CANNOT_RUN = 2;

    private static final String BOUNDS = "[bounds]\nseedDelayS = 3\nreaddressAfterS = 2\ncontactMs = 3000\n"
            + "receiptMs = 5000\nonboardS = 4\nunloadMs = 2500\ngraceS = 6\nlostSlackMs = 200\neditionMs = 2500\n"
            + "revertMs = 250\nmaxStretchMs = 8000\nsealed = false\nrevokeMs = 5000\nretryRatio = 0.2\n"
            + "retryWindowS = 10\nretrySlack = 56\nquotaWindowS = 5\nquotaExcess = 0.1\nquotaSlack = 20\n"
            + "recoverS = 15\n";

    final Log log;
    final Path folder;
    final String prefix;
    final int ports;
    final int cores;
    final List<String> depots;
    private final Path root;
    final Process[] coreProcesses;
    final Process[] sidecarProcesses;
    final int[] coreStarts;
    private final List<Process> all = new ArrayList<>();

    /** A deployment of {@code cores} control nodes and one sidecar for each of the depots. */
    Mesh(Log log, int cores, List<String> depots) throws IOException {
        this.log = log;
        this.cores = cores;
        this.depots = depots;
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-2-");
        coreProcesses = new Process[cores];
        sidecarProcesses = new Process[depots.size()];
        coreStarts = new int[cores];
        String chosen = null;
        int base = 0;
        for (int i = 0; i < 50 && chosen == null; i++) {
            String candidate = "127." + ThreadLocalRandom.current().nextInt(2, 250) + "."
                    + ThreadLocalRandom.current().nextInt(2, 250);
            base = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            chosen = isFree(candidate, base) ? candidate : null;
        }
        if (chosen == null) {
            throw new IOException("no free ports");
        }
        prefix = chosen;
        ports = base;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private boolean isFree(String candidate, int base) {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < cores; i++) {
            hosts.add(candidate + "." + (11 + i));
        }
        for (int i = 0; i < depots.size(); i++) {
            hosts.add(candidate + "." + (21 + i));
        }
        for (String host : hosts) {
            for (int port = base; port < base + 24; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    // Free.
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    InetSocketAddress coreControl(int i) {
        return new InetSocketAddress(prefix + "." + (11 + i), ports);
    }

    private InetSocketAddress at(int i, int port) {
        return new InetSocketAddress(prefix + "." + (21 + i), ports + port);
    }

    InetSocketAddress control(int i) {
        return at(i, 0);
    }

    InetSocketAddress outbound(int i) {
        return at(i, 1);
    }

    InetSocketAddress inbound(int i) {
        return at(i, 2);
    }

    InetSocketAddress ready(int i) {
        return at(i, 3);
    }

    InetSocketAddress app(int i) {
        return at(i, 4);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String common(String node, String role, String ip, boolean firstStart) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, cores); i++) {
            seeds.add("\"" + text(coreControl(i)) + "\"");
        }
        boolean core = role.equals("control");
        return "node = \"" + node + "\"\nrole = \"" + role + "\"\nmachineClass = \"" + (core ? "core" : "sidecar")
                + "\"\nserves = [\"" + role + "\"]\nip = \"" + ip + "\"\nzone = \"valley\"\nregion = \"hills\"\n"
                + "innerPorts = [" + (ports + 8) + "," + (ports + 23) + "]\nseeds = [" + String.join(",", seeds)
                + "]\nfirstStart = " + firstStart + "\ncounted = " + core + "\ndiscovery = \"local\"\nentry = \"local\"\n"
                + "beatMs = " + BEAT_MS + "\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                + "\"tenants\",\"quota\"]\n";
    }

    private static String tables(boolean core) {
        return "[zones]\nvalley = \"hills\"\n[limits]\ncpuShare = " + (core ? "0.9" : "0.6") + "\ncores = "
                + (core ? 2 : 1) + "\nmemoryMb = " + (core ? 426 : 430) + "\nfds = " + (core ? 4096 : 4100)
                + "\nlinkMbps = 1000.0\ndiskMb = " + (core ? 256 : 0)
                + "\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n" + BOUNDS;
    }

    Path coreSettings(int i, boolean firstStart) throws IOException {
        Path data = folder.resolve("core-" + i + ".data");
        Files.createDirectories(data);
        return Files.writeString(
                folder.resolve("core-" + i + ".toml"),
                common("core-" + i, "control", prefix + "." + (11 + i), firstStart) + "dataDir = \"" + data + "\"\n"
                        + tables(true) + "[listenOn]\ncontrol = \"" + text(coreControl(i)) + "\"\n");
    }

    Path sidecarSettings(int i) throws IOException {
        return Files.writeString(
                folder.resolve("sidecar-" + i + ".toml"),
                common("sidecar-" + i, "sidecar", prefix + "." + (21 + i), true) + "app = \"" + text(app(i))
                        + "\"\ndepot = \"" + depots.get(i) + "\"\n" + tables(false) + "[listenOn]\ninbound = \""
                        + text(inbound(i)) + "\"\noutbound = \"" + text(outbound(i)) + "\"\nready = \""
                        + text(ready(i)) + "\"\ncontrol = \"" + text(control(i)) + "\"\n");
    }

    /** The command of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.strip().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no role " + role);
    }

    private Process start(String role, String name, Path settings) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(role))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("SABLEHINGE_CONFIG", settings.toString());
        Process process = builder.start();
        synchronized (all) {
            all.add(process);
        }
        return process;
    }

    void startCore(int i) throws IOException {
        coreProcesses[i] = start("control", "core-" + i, coreSettings(i, coreStarts[i]++ == 0));
    }

    void startSidecar(int i) throws IOException {
        sidecarProcesses[i] = start("sidecar", "sidecar-" + i, sidecarSettings(i));
    }

    /** Starts all daemons, takes the configuration and waits until all sidecars are ready. */
    void start(byte[] configuration) throws IOException {
        for (int i = 0; i < cores; i++) {
            startCore(i);
        }
        for (int i = 0; i < depots.size(); i++) {
            startSidecar(i);
        }
        double until = log.now() + 30_000;
        int status = 0;
        while (status != 200) {
            status = replace(0, configuration);
            if (log.now() > until) {
                throw new IOException("the first configuration is not taken: " + status);
            }
            sleep(100);
        }
        log.line("the first configuration is acknowledged");
        for (int i = 0; i < depots.size(); i++) {
            while (!isReady(i)) {
                if (log.now() > until) {
                    throw new IOException("sidecar " + i + " is not ready");
                }
                sleep(50);
            }
        }
        log.line("all sidecars are ready");
    }

    boolean isReady(int i) {
        return http(ready(i), "GET", "/sablehinge/ready", "", new byte[0], 1_000).status() == 200;
    }

    /** Sends a configuration as an operator, to one control node after the other; returns the last status. */
    int replace(long basedOn, byte[] configuration) {
        int status = 0;
        for (int i = 0; i < cores; i++) {
            status = post(coreControl(i), "/sablehinge/Config.Replace", "Sablehinge-Based-On: " + basedOn + "\r\n",
                    configuration, 2_000);
            if (status == 200 || status / 100 == 4) {
                return status;
            }
        }
        return status;
    }

    record Reply(int status, String location, byte[] body) {}

    /** A POST that follows 307 twice; 0 for no answer. */
    static int post(InetSocketAddress to, String path, String more, byte[] body, int timeoutMs) {
        InetSocketAddress next = to;
        for (int i = 0; i < 3; i++) {
            Reply reply = http(next, "POST", path, "Content-Type: application/json\r\n" + more, body, timeoutMs);
            if (reply.status() != 307 || reply.location() == null) {
                return reply.status();
            }
            String rest = reply.location().substring("http://".length());
            String address = rest.substring(0, rest.indexOf('/'));
            int colon = address.lastIndexOf(':');
            next = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        }
        return 307;
    }

    static Reply http(InetSocketAddress to, String method, String path, String more, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout(timeoutMs);
            byte[] head = (method + " " + path + " HTTP/1.1\r\nHost: " + text(to) + "\r\nConnection: close\r\n"
                            + "Content-Length: " + body.length + "\r\n" + more + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(head);
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Head answer = Wire.head(in);
            if (answer == null) {
                return new Reply(0, null, new byte[0]);
            }
            return new Reply(answer.status(), answer.headers.get("Location"), Wire.body(in, answer));
        } catch (IOException e) {
            return new Reply(0, null, new byte[0]);
        }
    }

    /** Waits until a request of the given path is served through each sidecar. */
    void warm(String path, int times) throws IOException {
        for (int i = 0; i < depots.size(); i++) {
            double until = log.now() + 20_000;
            int served = 0;
            while (served < times) {
                try (Client client = new Client(log, outbound(i))) {
                    Client.Answer answer = client.call("GET", path, Client.newId(), 2_000, new byte[0]);
                    served += answer.success() ? 1 : 0;
                    if (!answer.success()) {
                        sleep(100);
                    }
                }
                if (log.now() > until) {
                    throw new IOException("no request is served through sidecar " + i);
                }
            }
        }
    }

    /** One route of a configuration. */
    static String route(String name, String kind, String prefix, String depot, long targetMs, long timeoutMs,
            int attempts) {
        return "{\"name\":\"" + name + "\",\"kind\":\"" + kind + "\",\"targetMs\":" + targetMs
                + ",\"priority\":1,\"open\":false,\"sorting\":{\"lanePrefix\":\"" + prefix
                + "\"},\"dispatch\":{\"depot\":\"" + depot + "\",\"timeoutMs\":" + timeoutMs + ",\"attempts\":"
                + attempts + "}}";
    }

    /** A configuration with the given routes, one tenant without a limit, and the services named. */
    static byte[] configuration(long edition, List<String> services, String... routes) {
        String fleets = services.stream()
                .distinct()
                .map(s -> "{\"name\":\"" + s + "\",\"healthPath\":\"/health\",\"connCap\":110,\"protocol\":\"h1\","
                        + "\"tls\":false}")
                .collect(Collectors.joining(","));
        return ("{\"edition\":" + edition + ",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,"
                        + "\"headerMs\":3000,\"idleMs\":15000},\"senders\":[{\"name\":\"tenant-1\",\"passes\":[\"" + KEY
                        + "\"],\"priority\":1,\"perS\":0,\"burst\":0}],\"gates\":[{\"station\":\"" + HOST
                        + "\",\"regulations\":[" + String.join(",", routes) + "]}],\"fleets\":[" + fleets + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a signal to a process of this deployment. */
    void signal(Process process, String signal) throws IOException {
        try {
            // By the shell, whose own kill is always there.
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).inheritIO().start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Copies the logs of the daemons' events into the record. */
    void recordLogs(String pattern) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.matches(pattern)) {
                        log.quiet(file.getFileName() + ": " + line);
                    }
                }
            }
        }
    }

    @Override
    public void close() {
        synchronized (all) {
            all.forEach(Process::destroyForcibly);
            for (Process process : all) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            all.clear();
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                // It is gone already.
            }
        }
    }
}
