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
 * What all machines of the core that can be reached say together.
 *
 * @param majority whether more than half of the members answer
 * @param answering members that answer
 * @param members in the list of the latest term that anybody tells
 * @param leader where operators call the one who says that it leads; null for none
 * @param term the latest that anybody tells
 * @param edition the highest in force with anybody
 * @param plane as the leader knows it; null for no leader
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

    /** Addresses that are queried at most. */
    private static final int MAX_REQUESTED = 64;

    /**
     * One machine.
     *
     * @param status what it says; null where it says nothing
     * @param error why it says nothing; null where it does
     */
    record Line(String address, MeshStatus status, String error) {}

    /** Asks all addresses that were named, and those of all members that anybody tells of. */
    static CoreSurvey take(List<String> core, CoreCaller caller) throws InterruptedException {
        Set<String> known = new LinkedHashSet<>(core);
        List<Line> lines = new ArrayList<>();
        Set<String> heard = new HashSet<>();
        List<String> round = core;
        while (!round.isEmpty()) {
            List<String> statuses = new ArrayList<>();
            for (String address : round) {
                Line line = ask(address, caller);
                // A machine may be known by two names.
                if (line.status() == null || heard.add(line.status().member())) {
                    lines.add(line);
                }
                if (line.status() != null) {
                    known.add(line.status().control());
                    line.status().members().stream()
                            .map(Machine::control)
                            .filter(control -> known.size() < MAX_REQUESTED && known.add(control))
                            .forEach(statuses::add);
                }
            }
            round = statuses;
        }
        return of(lines);
    }

    private static Line ask(String address, CoreCaller caller) throws InterruptedException {
        try {
            HttpCaller.Answer answer = caller.once(address, HttpCaller.Request.get("Mesh.Status"));
            return CoreCaller.isSuccess(answer)
                    ? new Line(address, Json.read(answer.body(), MeshStatus.class), null)
                    : new Line(
                            address,
                            null,
                            answer.status() + " " + CoreAnswer.of(answer).line());
        } catch (IOException e) {
            return new Line(address, null, Shell.plain(String.valueOf(e.getMessage())));
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
