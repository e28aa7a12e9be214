package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sablehinge.controlplane.api.Machine;
import sablehinge.controlplane.api.MeshStatus;

/**
 * The combined status of all reachable machines of the core.
 *
 * @param majority whether more than half of the members answer
 * @param answering the number of members that answer
 * @param members the number of members in the member list of the latest reported term
 * @param leader the control address of the machine that reports itself as leader; null if there is none
 * @param term the latest reported term
 * @param edition the highest edition in force on any machine
 * @param plane the data plane as the leader knows it; null without a leader
 * @param machines the result of each queried address
 */
record CoreSurvey(
        boolean majority,
        int answering,
        int members,
        String leader,
        long term,
        long edition,
        MeshStatus.Plane plane,
        List<Line> machines) {

    /** Maximum number of addresses that are queried. */
    private static final int MAX_ADDRESSES = 64;

    /**
     * The result of querying one address.
     *
     * @param status the reported status; null if the query failed
     * @param error why the query failed; null if it succeeded
     */
    record Line(String address, MeshStatus status, String error) {}

    /** Queries the given addresses and those of all members that any machine reports. */
    static CoreSurvey query(List<String> core, CoreCaller caller) throws InterruptedException {
        Set<String> addresses = new LinkedHashSet<>(core);
        List<Line> lines = new ArrayList<>();
        Set<String> seenMembers = new HashSet<>();
        List<String> pending = core;
        while (!pending.isEmpty()) {
            List<String> discovered = new ArrayList<>();
            for (String address : pending) {
                Line line = queryStatus(address, caller);
                // A machine may be reachable under two addresses.
                if (line.status() == null || seenMembers.add(line.status().member())) {
                    lines.add(line);
                }
                if (line.status() != null) {
                    addresses.add(line.status().control());
                    line.status().members().stream()
                            .map(Machine::control)
                            .filter(control -> addresses.size() < MAX_ADDRESSES && addresses.add(control))
                            .forEach(discovered::add);
                }
            }
            pending = discovered;
        }
        return of(lines);
    }

    private static Line queryStatus(String address, CoreCaller caller) throws InterruptedException {
        try {
            HttpCaller.Answer answer = caller.callOnce(address, HttpCaller.Request.get("Mesh.Status"));
            return CoreCaller.isSuccess(answer)
                    ? new Line(address, Json.read(answer.body(), MeshStatus.class), null)
                    : new Line(
                            address,
                            null,
                            answer.status() + " " + CoreError.of(answer).line());
        } catch (IOException e) {
            return new Line(address, null, CommandContext.plain(String.valueOf(e.getMessage())));
        }
    }

    private static CoreSurvey of(List<Line> lines) {
        List<MeshStatus> statuses = lines.stream()
                .map(Line::status)
                .filter(status -> status != null)
                .toList();
        MeshStatus leader = statuses.stream()
                .filter(MeshStatus::leads)
                .max(Comparator.comparingLong(MeshStatus::term))
                .orElse(null);
        MeshStatus latest = statuses.stream()
                .filter(status -> !status.members().isEmpty())
                .max(Comparator.comparingLong(MeshStatus::term).thenComparing(MeshStatus::leads))
                .orElse(null);
        List<Machine> members = latest == null ? List.of() : latest.members();
        int answering = (int) members.stream()
                .filter(member ->
                        statuses.stream().anyMatch(status -> status.member().equals(member.member())))
                .count();
        return new CoreSurvey(
                2 * answering > members.size(),
                answering,
                members.size(),
                leader == null ? null : leader.control(),
                statuses.stream().mapToLong(MeshStatus::term).max().orElse(0),
                statuses.stream().mapToLong(MeshStatus::edition).max().orElse(0),
                leader == null ? null : leader.plane(),
                lines);
    }
}
