package sablehinge.reservoir;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sablehinge.cistern.Intake;
import sablehinge.cistern.Roll;
import sablehinge.headgate.mesh.Editions;
import sablehinge.headgate.mesh.Machine;
import sablehinge.headgate.mesh.MeshDuties;
import sablehinge.headgate.mesh.MeshNodes;
import sablehinge.headgate.mesh.MeshStatus;
import sablehinge.meter.Pool;
import sablehinge.penstock.Desk;
import sablehinge.watermaster.Member;
import sablehinge.watermaster.Pulse;

/** What a machine of the core can tell operators of itself and, while it leads, of the mesh. */
final class Sight {

    /** Lists are cut after so many lines, with the count of what is left out. */
    static final int MOST_LINES = 2_000;

    private final String node;
    private final String zone;
    private final String control;
    private final Roll roll;
    private final Desk<?> desk;
    private final Pool pool;
    private final Authority authority;

    /** {@code control} is where operators call this machine. */
    Sight(String node, String zone, String control, Roll roll, Desk<?> desk, Pool pool, Authority authority) {
        this.node = node;
        this.zone = zone;
        this.control = control;
        this.roll = roll;
        this.desk = desk;
        this.pool = pool;
        this.authority = authority;
    }

    MeshStatus status() {
        return new MeshStatus(node, zone, id(authority.self()), control,
                authority.standing().role().name().toLowerCase(Locale.ROOT), authority.standing().term(),
                authority.leader(), authority.pulse().commit(), authority.cistern().edition(), members(),
                authority.leads() ? plane() : null);
    }

    private static String id(Member member) {
        return member == null ? "" : Long.toHexString(member.id());
    }

    private List<Machine> members() {
        Pulse pulse = authority.pulse();
        List<Machine> members = new ArrayList<>();
        for (Member member : authority.standing().members()) {
            Double silent = pulse.silentMs().get(member.id());
            members.add(new Machine(id(member), member.control(),
                    silent == null ? null : Math.round(silent)));
        }
        return members;
    }

    private MeshStatus.Plane plane() {
        double now = authority.now();
        Map<String, MeshStatus.Service> services = new TreeMap<>();
        int known = 0;
        int ready = 0;
        for (Roll.Line line : roll.lines(now)) {
            Intake intake = line.intake();
            boolean takes = intake.ready() && !line.gone();
            known += line.gone() ? 0 : 1;
            ready += takes ? 1 : 0;
            if (!intake.upstream().isEmpty()) {
                services.merge(intake.service(), new MeshStatus.Service(intake.service(), 1, takes ? 1 : 0,
                        takes ? intake.berths() : 0), Sight::sum);
            }
        }
        return new MeshStatus.Plane(known, ready, roll.isComplete(now), cut(List.copyOf(services.values())),
                more(services.size()));
    }

    private static MeshStatus.Service sum(MeshStatus.Service one, MeshStatus.Service other) {
        return new MeshStatus.Service(one.name(), one.known() + other.known(), one.ready() + other.ready(),
                one.berths() + other.berths());
    }

    MeshNodes nodes() {
        double now = authority.now();
        List<MeshNodes.Balancer> balancers = new ArrayList<>();
        for (Roll.Line line : roll.lines(now)) {
            Intake intake = line.intake();
            balancers.add(new MeshNodes.Balancer(intake.node(), intake.zone(), intake.inbound(),
                    intake.service(), intake.upstream(), state(line), intake.berths(),
                    Math.round(line.silentMs())));
        }
        return new MeshNodes(control, authority.standing().term(), roll.isComplete(now),
                cut(balancers), more(balancers.size()), members());
    }

    private static String state(Roll.Line line) {
        return line.gone() ? "gone" : line.intake().upstream().isEmpty() ? "empty"
                : line.intake().ready() ? "ready" : "draining";
    }

    MeshDuties duties() {
        double now = authority.now();
        List<MeshDuties.Pool> pools = new ArrayList<>();
        for (Pool.Line line : pool.lines(now)) {
            pools.add(new MeshDuties.Pool(line.tenant(), line.quota().perSecond(), line.quota().bound(),
                    line.left()));
        }
        return new MeshDuties(node, control, authority.standing().term(),
                Math.round(authority.pulse().leaseMs()), roll.stamp(), roll.isComplete(now),
                desk.askers().size(), cut(pools), more(pools.size()));
    }

    Editions editions() {
        List<Editions.Taken> taken = new ArrayList<>();
        authority.cistern().read((edition, basedOn, at, length, sum) -> taken.add(new Editions.Taken(edition,
                basedOn < 0 ? null : basedOn, length, String.format(Locale.ROOT, "%016x", sum),
                at < 0 ? null : Instant.ofEpochMilli(at).toString())));
        return new Editions(authority.cistern().edition(), taken);
    }

    private static <T> List<T> cut(List<T> lines) {
        return lines.subList(0, Math.min(MOST_LINES, lines.size()));
    }

    private static int more(int lines) {
        return Math.max(0, lines - MOST_LINES);
    }
}
