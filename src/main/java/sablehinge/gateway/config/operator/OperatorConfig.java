package sablehinge.gateway.config.operator;

import java.net.InetSocketAddress;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sablehinge.common.logging.LogTerms;
import sablehinge.common.mapping.Rule;
import sablehinge.dataplane.budget.BudgetSettings;
import sablehinge.dataplane.budget.LoadShedder;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.discovery.RosterParser;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Tenant;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;

/**
 * What an operator file says, checked and with its defaults. Times are ms.
 *
 * @param discovery where the list of servers comes from; null where the file lists them itself
 * @param budget null where budgets are off
 * @param recorder null where there is no flight recorder
 */
public record OperatorConfig(
        NodePart node,
        AdminPart admin,
        List<ListenerPart> listeners,
        List<ClassPart> classes,
        List<TenantPart> tenants,
        List<String> zones,
        List<String> kinds,
        List<UpstreamPart> upstreams,
        InetSocketAddress discovery,
        Limits limits,
        Rules rules,
        double crossZonePrice,
        double worstClassWeight,
        ChangePart change,
        ReplayPart replay,
        BudgetPart budget,
        RecorderPart recorder,
        LogTerms log) {

    /**
     * The process itself; of this only {@code versionHeader} may change while it runs.
     *
     * @param position this balancer's number among the siblings that share the servers
     * @param descriptors how many file descriptors the process may hold
     * @param state the directory of the versions, relative to the operator file
     * @param versionHeader whether answers carry {@code Sablehinge-Version}
     * @param accessLog the file of a line for each answer, relative to the operator file; null for none
     */
    public record NodePart(
            String name,
            String zone,
            int position,
            int siblings,
            int descriptors,
            String state,
            boolean versionHeader,
            String accessLog) {}

    /** The admin listener: a Unix socket's path, relative to the state directory, or a port with a token. */
    public record AdminPart(String socket, InetSocketAddress listen, String tokenFile) {}

    /** An address where callers are let in. */
    public record ListenerPart(String name, InetSocketAddress address) {}

    /** A class of requests; {@code zones} and {@code kinds} are null where any will do. */
    public record ClassPart(
            String name,
            Repeat effect,
            Group group,
            double window,
            double aim,
            double deadline,
            double value,
            double lateValue,
            List<String> zones,
            List<String> kinds) {}

    /** A tenant, as callers name it. */
    public record TenantPart(String name) {}

    /** A server that the file lists. */
    public record UpstreamPart(String id, InetSocketAddress address, String zone, String kind, int cell, State state) {}

    /**
     * How logs are written and what their requests are, for the replay; a balancer has no use for it.
     *
     * @param zone of times that name none
     * @param fields of lines of JSON; empty for the usual names
     */
    public record ReplayPart(String format, ZoneId zone, Map<String, String> fields, List<Rule> rules) {}

    /**
     * Budgets over a chain of tiers, at this hop.
     *
     * @param service what this balancer's servers are together, by which loops are detected
     * @param entry whether clients of outside call here
     * @param loadShedding by what terms work is given up by its value here; null for none
     * @param keys the files of the secrets by their names, relative to the operator file; the first one signs
     */
    public record BudgetPart(
            String service, boolean entry, BudgetSettings settings, LoadShedder.Settings loadShedding, Map<String, String> keys) {}

    /**
     * The flight recorder; of this nothing changes while the process runs. Times in ms.
     *
     * @param mib of the ring
     * @param directory of the dumps, relative to the operator file; null for none
     * @param keep how many dumps are kept
     * @param stall how long a body may stand still that could move
     * @param turn how long the loop may have no turn
     * @param overdue how long past its deadline a request may be there
     * @param quiet how long nothing must be at work before all counts must be zero
     * @param atRestKib of buffers that may be in use then
     */
    public record RecorderPart(
            double mib,
            String directory,
            int keep,
            double tick,
            double stall,
            double turn,
            double overdue,
            double quiet,
            int atRestKib) {}

    /**
     * How a change of the configuration is tried and when it is undone.
     *
     * @param confirmWithin the time after which an unconfirmed change is undone
     * @param readyWithin the time by which servers must have been reached and lists have come
     * @param readyLeast how many servers must be reached
     * @param failedRise by how much the share of failed answers may rise, 0 to 1
     * @param refusedRise likewise of refused ones
     * @param leastCount answers below which a share proves nothing
     */
    public record ChangePart(
            double confirmWithin,
            double readyWithin,
            int readyLeast,
            double failedRise,
            double refusedRise,
            int leastCount) {}

    /**
     * The version that this file is, for core.
     *
     * @param zoneNames the names of zones that have a number, to which those of the file are added
     * @param kindNames likewise of machine types
     */
    public Version version(int number, List<String> zoneNames, List<String> kindNames) {
        zones.forEach(zone -> place(zoneNames, zone));
        kinds.forEach(kind -> place(kindNames, kind));
        List<ServiceClass> types = new ArrayList<>();
        for (ClassPart part : classes) {
            types.add(new ServiceClass(
                    part.name,
                    part.aim,
                    0,
                    part.deadline,
                    part.value,
                    part.lateValue,
                    part.effect,
                    part.group,
                    part.window,
                    false,
                    false,
                    places(zoneNames, part.zones),
                    places(kindNames, part.kinds),
                    0));
        }
        List<Tenant> shares = tenants.stream()
                .map(t -> new Tenant(t.name, 1.0 / tenants.size(), 0))
                .toList();
        Settings settings = new Settings(
                node.position,
                node.siblings,
                0,
                1,
                place(zoneNames, node.zone),
                Math.max(1, zoneNames.size()),
                Math.max(1, kindNames.size()),
                discovery != null,
                true,
                false,
                false,
                false,
                1,
                WeightKind.NONE,
                Reports.NONE,
                List.of(),
                types,
                shares,
                limits,
                rules,
                new Goal(1 - worstClassWeight, 0, worstClassWeight, 0, 0, 0, 0, 0),
                new Prices(crossZonePrice, 0, 0, 0, 0, 0, 0, 0));
        return new Version(
                number,
                settings,
                classes.stream().map(ClassPart::name).toList(),
                tenants.stream().map(TenantPart::name).toList(),
                node.versionHeader);
    }

    /** The servers that the file lists, by the same names as {@link #version}; empty under discovery. */
    public Roster roster(int number, List<String> zoneNames, List<String> kindNames) {
        List<Member> members = new ArrayList<>();
        for (UpstreamPart part : upstreams) {
            // The address belongs to what a server is: one that moves is another one, and the old one gone.
            long id = RosterParser.number(part.id + "@" + part.address);
            members.add(new Member(
                    new Upstream(
                            id, place(zoneNames, part.zone), place(kindNames, part.kind), part.cell, part.state, 1, 0),
                    part.address));
        }
        return new Roster(number, true, members);
    }

    private static List<Integer> places(List<String> names, List<String> wanted) {
        return wanted == null
                ? null
                : wanted.stream().map(name -> place(names, name)).toList();
    }

    private static int place(List<String> names, String name) {
        int at = names.indexOf(name);
        if (at < 0) {
            names.add(name);
            return names.size() - 1;
        }
        return at;
    }
}
