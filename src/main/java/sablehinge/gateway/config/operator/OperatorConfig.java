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
 * The validated content of an operator file, with defaults applied. Times are in ms.
 *
 * @param discovery address of the discovery service; null if the file lists the servers
 * @param budget null if attempt budgets are disabled
 * @param recorder null if the flight recorder is disabled
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
     * Settings of the process; only {@code versionHeader} may change while it runs.
     *
     * @param position this balancer's index among the siblings that share the servers, from 0
     * @param descriptors maximum number of file descriptors of the process
     * @param state directory of the configuration versions, relative to the operator file
     * @param versionHeader whether responses carry the header {@code Sablehinge-Version}
     * @param accessLog path of the access log, with one line for each response, relative to the operator file; null for
     *     none
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

    /**
     * The admin listener: the path of a Unix socket, relative to the state directory, or a TCP address with a token.
     */
    public record AdminPart(String socket, InetSocketAddress listen, String tokenFile) {}

    /** A listener for clients. */
    public record ListenerPart(String name, InetSocketAddress address) {}

    /** A request class; {@code zones} and {@code kinds} are null if any are allowed. */
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

    /** A tenant, by the name that clients send. */
    public record TenantPart(String name) {}

    /** A server listed in the file. */
    public record UpstreamPart(String id, InetSocketAddress address, String zone, String kind, int cell, State state) {}

    /**
     * Log format and classification rules for the replay command; the balancer does not use them.
     *
     * @param zone time zone of timestamps without one
     * @param fields field names for JSON logs; empty for the default names
     */
    public record ReplayPart(String format, ZoneId zone, Map<String, String> fields, List<Rule> rules) {}

    /**
     * Attempt budgets over a chain of tiers, as configured at this hop.
     *
     * @param service name of the service that this balancer's servers form together; used for loop detection
     * @param entry whether external clients call this balancer
     * @param loadShedding settings of load shedding by value; null if it is disabled
     * @param keys secret files by key name, relative to the operator file; the first key signs
     */
    public record BudgetPart(
            String service,
            boolean entry,
            BudgetSettings settings,
            LoadShedder.Settings loadShedding,
            Map<String, String> keys) {}

    /**
     * Settings of the flight recorder, which can't change while the process runs. Times are in ms.
     *
     * @param mib size of the ring buffer in MiB
     * @param directory directory of the dumps, relative to the operator file; null for none
     * @param keep number of dumps to retain
     * @param stall maximum time without progress of a body that could be transferred
     * @param turn maximum time between two turns of the event loop
     * @param overdue maximum time that a request may remain after its deadline
     * @param quiet idle time after which all resource counts must be zero
     * @param atRestKib maximum size of buffers in use when idle, in KiB
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
     * How a change of the configuration is tested and when it is reverted.
     *
     * @param confirmWithin time after which an unconfirmed change is reverted
     * @param readyWithin time within which servers must be reached and server lists received
     * @param readyLeast minimum number of servers that must be reached
     * @param failedRise maximum rise of the share of failed responses, 0 to 1
     * @param refusedRise maximum rise of the share of refused requests, 0 to 1
     * @param leastCount minimum number of responses for a significant share
     */
    public record ChangePart(
            double confirmWithin,
            double readyWithin,
            int readyLeast,
            double failedRise,
            double refusedRise,
            int leastCount) {}

    /**
     * Returns the configuration version of this file.
     *
     * @param zoneNames names of the zones that already have an index; new zones of the file are appended
     * @param kindNames names of the machine types that already have an index; new ones are appended
     */
    public Version version(int number, List<String> zoneNames, List<String> kindNames) {
        zones.forEach(zone -> indexOf(zoneNames, zone));
        kinds.forEach(kind -> indexOf(kindNames, kind));
        List<ServiceClass> serviceClasses = new ArrayList<>();
        for (ClassPart part : classes) {
            serviceClasses.add(new ServiceClass(
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
                    indices(zoneNames, part.zones),
                    indices(kindNames, part.kinds),
                    0));
        }
        List<Tenant> equalTenants = tenants.stream()
                .map(t -> new Tenant(t.name, 1.0 / tenants.size(), 0))
                .toList();
        Settings settings = new Settings(
                node.position,
                node.siblings,
                0,
                1,
                indexOf(zoneNames, node.zone),
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
                serviceClasses,
                equalTenants,
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

    /**
     * Returns the servers that the file lists, with the same indices as {@link #version}; empty if discovery is used.
     */
    public Roster roster(int number, List<String> zoneNames, List<String> kindNames) {
        List<Member> members = new ArrayList<>();
        for (UpstreamPart part : upstreams) {
            // The address is part of the id: a server with a new address is a new server, and the old one is removed.
            long id = RosterParser.number(part.id + "@" + part.address);
            members.add(new Member(
                    new Upstream(
                            id,
                            indexOf(zoneNames, part.zone),
                            indexOf(kindNames, part.kind),
                            part.cell,
                            part.state,
                            1,
                            0),
                    part.address));
        }
        return new Roster(number, true, members);
    }

    private static List<Integer> indices(List<String> names, List<String> selected) {
        return selected == null
                ? null
                : selected.stream().map(name -> indexOf(names, name)).toList();
    }

    private static int indexOf(List<String> names, String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            names.add(name);
            return names.size() - 1;
        }
        return index;
    }
}
