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

/** Reports the state of this control node and, while it is the leader, of the mesh. */
final class ControlStatus {

    /** The maximum length of a list in an answer, which also has the number of omitted entries. */
    static final int MAX_LIST_ENTRIES = 2_000;

    private final String node;
    private final String zone;
    private final String control;
    private final Registry registry;
    private final WatchServer<?> watchServer;
    private final Pool pool;
    private final CallContext context;

    /** A reporter; {@code control} is the address of this node's operator API. */
    ControlStatus(
            String node,
            String zone,
            String control,
            Registry registry,
            WatchServer<?> watchServer,
            Pool pool,
            CallContext context) {
        this.node = node;
        this.zone = zone;
        this.control = control;
        this.registry = registry;
        this.watchServer = watchServer;
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

    /** The address of the leader's operator API; null if no leader is known. */
    private String leader() {
        QuorumGate.Refusal refusal = context.gate().refusal(context.now());
        Member leader = refusal.leads() ? context.self() : refusal.leader();
        return leader == null ? null : leader.control();
    }

    private static String id(Member member) {
        return member == null ? "" : Long.toHexString(member.id());
    }

    private List<Machine> members() {
        RaftMetrics metrics = context.metrics();
        List<Machine> members = new ArrayList<>();
        for (Member member : context.raftStatus().members()) {
            Double silentMs = metrics.sinceLastMessageMs().get(member.id());
            members.add(new Machine(id(member), member.control(), silentMs == null ? null : Math.round(silentMs)));
        }
        return members;
    }

    private MeshStatus.Plane plane() {
        double now = context.now();
        Map<String, MeshStatus.Service> services = new TreeMap<>();
        int known = 0;
        int ready = 0;
        for (Registry.Entry entry : registry.entries(now)) {
            Registration registration = entry.registration();
            boolean acceptsRequests = registration.ready() && !entry.gone();
            known += entry.gone() ? 0 : 1;
            ready += acceptsRequests ? 1 : 0;
            if (!registration.upstream().isEmpty()) {
                services.merge(
                        registration.service(),
                        new MeshStatus.Service(
                                registration.service(),
                                1,
                                acceptsRequests ? 1 : 0,
                                acceptsRequests ? registration.berths() : 0),
                        ControlStatus::sum);
            }
        }
        return new MeshStatus.Plane(
                known,
                ready,
                registry.isComplete(now),
                truncate(List.copyOf(services.values())),
                omittedCount(services.size()));
    }

    private static MeshStatus.Service sum(MeshStatus.Service first, MeshStatus.Service second) {
        return new MeshStatus.Service(
                first.name(),
                first.known() + second.known(),
                first.ready() + second.ready(),
                first.berths() + second.berths());
    }

    MeshNodes nodes() {
        double now = context.now();
        List<MeshNodes.Balancer> balancers = new ArrayList<>();
        for (Registry.Entry entry : registry.entries(now)) {
            Registration registration = entry.registration();
            balancers.add(new MeshNodes.Balancer(
                    registration.node(),
                    registration.zone(),
                    registration.inbound(),
                    registration.service(),
                    registration.upstream(),
                    state(entry),
                    registration.berths(),
                    Math.round(entry.sinceLastMessageMs())));
        }
        return new MeshNodes(
                control,
                context.raftStatus().term(),
                registry.isComplete(now),
                truncate(balancers),
                omittedCount(balancers.size()),
                members());
    }

    private static String state(Registry.Entry entry) {
        return entry.gone()
                ? "gone"
                : entry.registration().upstream().isEmpty()
                        ? "empty"
                        : entry.registration().ready() ? "ready" : "draining";
    }

    MeshSingletonRoles singletonRoles() {
        double now = context.now();
        List<MeshSingletonRoles.Pool> pools = new ArrayList<>();
        for (Pool.Line poolLine : pool.lines(now)) {
            pools.add(new MeshSingletonRoles.Pool(
                    poolLine.tenant(),
                    poolLine.quota().perSecond(),
                    poolLine.quota().burst(),
                    poolLine.available()));
        }
        return new MeshSingletonRoles(
                node,
                control,
                context.raftStatus().term(),
                Math.round(context.metrics().leaseMs()),
                registry.stamp(),
                registry.isComplete(now),
                watchServer.subscribers().size(),
                truncate(pools),
                omittedCount(pools.size()));
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

    private static <T> List<T> truncate(List<T> entries) {
        return entries.subList(0, Math.min(MAX_LIST_ENTRIES, entries.size()));
    }

    private static int omittedCount(int entryCount) {
        return Math.max(0, entryCount - MAX_LIST_ENTRIES);
    }
}
