package sablehinge.controlplane.node;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sablehinge.controlplane.api.Editions;
import sablehinge.controlplane.api.Machine;
import sablehinge.controlplane.api.MeshNodes;
import sablehinge.controlplane.api.MeshSingletonRoles;
import sablehinge.controlplane.api.MeshStatus;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftMetrics;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.quota.Pool;
import sablehinge.mesh.watch.Registration;

/** What a machine of the core can tell operators of itself and, while it leads, of the mesh. */
final class ControlStatus {

    /** Lists are cut after so many lines, with the count of what is left out. */
    static final int MAX_LINES = 2_000;

    private final String node;
    private final String zone;
    private final String control;
    private final Registry registry;
    private final WatchServer<?> queue;
    private final Pool pool;
    private final CallContext context;

    /** {@code control} is where operators call this machine. */
    ControlStatus(
            String node,
            String zone,
            String control,
            Registry registry,
            WatchServer<?> queue,
            Pool pool,
            CallContext context) {
        this.node = node;
        this.zone = zone;
        this.control = control;
        this.registry = registry;
        this.queue = queue;
        this.pool = pool;
        this.context = context;
    }

    MeshStatus status() {
        return new MeshStatus(
                node,
                zone,
                id(context.self()),
                control,
                context.raftStatus().role().name().toLowerCase(Locale.ROOT),
                context.raftStatus().term(),
                leader(),
                context.metrics().commit(),
                context.configurations().edition(),
                members(),
                context.gate().allows(context.now(), ControlRequest.MESH_STATUS_PLANE) ? plane() : null);
    }

    /** Where operators call the leader; null where none is known. */
    private String leader() {
        QuorumGate.Refusal elsewhere = context.gate().refusal(context.now());
        Member leader = elsewhere.leads() ? context.self() : elsewhere.leader();
        return leader == null ? null : leader.control();
    }

    private static String id(Member member) {
        return member == null ? "" : Long.toHexString(member.id());
    }

    private List<Machine> members() {
        RaftMetrics metrics = context.metrics();
        List<Machine> members = new ArrayList<>();
        for (Member member : context.raftStatus().members()) {
            Double sinceMs = metrics.sinceLastMessageMs().get(member.id());
            members.add(new Machine(id(member), member.control(), sinceMs == null ? null : Math.round(sinceMs)));
        }
        return members;
    }

    private MeshStatus.Plane plane() {
        double now = context.now();
        Map<String, MeshStatus.Service> services = new TreeMap<>();
        int known = 0;
        int ready = 0;
        for (Registry.Entry line : registry.lines(now)) {
            Registration registration = line.registration();
            boolean takes = registration.ready() && !line.gone();
            known += line.gone() ? 0 : 1;
            ready += takes ? 1 : 0;
            if (!registration.upstream().isEmpty()) {
                services.merge(
                        registration.service(),
                        new MeshStatus.Service(
                                registration.service(), 1, takes ? 1 : 0, takes ? registration.berths() : 0),
                        ControlStatus::sum);
            }
        }
        return new MeshStatus.Plane(
                known, ready, registry.isComplete(now), cut(List.copyOf(services.values())), more(services.size()));
    }

    private static MeshStatus.Service sum(MeshStatus.Service one, MeshStatus.Service other) {
        return new MeshStatus.Service(
                one.name(), one.known() + other.known(), one.ready() + other.ready(), one.berths() + other.berths());
    }

    MeshNodes nodes() {
        double now = context.now();
        List<MeshNodes.Balancer> balancers = new ArrayList<>();
        for (Registry.Entry line : registry.lines(now)) {
            Registration registration = line.registration();
            balancers.add(new MeshNodes.Balancer(
                    registration.node(),
                    registration.zone(),
                    registration.inbound(),
                    registration.service(),
                    registration.upstream(),
                    state(line),
                    registration.berths(),
                    Math.round(line.sinceLastMessageMs())));
        }
        return new MeshNodes(
                control,
                context.raftStatus().term(),
                registry.isComplete(now),
                cut(balancers),
                more(balancers.size()),
                members());
    }

    private static String state(Registry.Entry line) {
        return line.gone()
                ? "gone"
                : line.registration().upstream().isEmpty()
                        ? "empty"
                        : line.registration().ready() ? "ready" : "draining";
    }

    MeshSingletonRoles singletonRoles() {
        double now = context.now();
        List<MeshSingletonRoles.Pool> pools = new ArrayList<>();
        for (Pool.Line line : pool.lines(now)) {
            pools.add(new MeshSingletonRoles.Pool(
                    line.tenant(), line.quota().perSecond(), line.quota().burst(), line.available()));
        }
        return new MeshSingletonRoles(
                node,
                control,
                context.raftStatus().term(),
                Math.round(context.metrics().leaseMs()),
                registry.stamp(),
                registry.isComplete(now),
                queue.subscribers().size(),
                cut(pools),
                more(pools.size()));
    }

    Editions editions() {
        List<Editions.Taken> taken = new ArrayList<>();
        context.configurations()
                .read((edition, basedOn, at, length, digest) -> taken.add(new Editions.Taken(
                        edition,
                        basedOn < 0 ? null : basedOn,
                        length,
                        digest.hex(),
                        at < 0 ? null : Instant.ofEpochMilli(at).toString())));
        return new Editions(context.configurations().edition(), taken);
    }

    private static <T> List<T> cut(List<T> lines) {
        return lines.subList(0, Math.min(MAX_LINES, lines.size()));
    }

    private static int more(int lines) {
        return Math.max(0, lines - MAX_LINES);
    }
}
