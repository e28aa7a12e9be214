package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import java.util.stream.Collectors;
import sablehinge.controlplane.api.MeshStatus;

/** Shows the status of the core and the data plane. */
@Command(
        name = "status",
        description = "Tells who leads the core, which members answer and whether that is "
                + "a majority, the edition in force, and what is on the roll. Asks each machine for itself, and so "
                + "works with a part of the core too")
public final class StatusCommand extends CoreCommand {

    /** Called by the command line parser. */
    public StatusCommand() {}

    @Override
    int run() throws InterruptedException {
        CoreSurvey survey = CoreSurvey.query(coreAddresses(), caller());
        if (survey.machines().stream().allMatch(line -> line.status() == null)) {
            throw new CommandException(
                    CommandException.Exit.UNCLEAR,
                    "NO_CLEAR_ANSWER",
                    "",
                    "no machine of the core answers; "
                            + survey.machines().stream()
                                    .map(line -> line.address() + ": " + line.error())
                                    .collect(Collectors.joining("; ")));
        }
        print(survey, () -> show(survey));
        return DONE;
    }

    private void show(CoreSurvey survey) {
        int needed = survey.members() / 2 + 1;
        context()
                .printLine("core      " + (survey.majority() ? "a majority answers: " : "NO MAJORITY: ")
                        + survey.answering() + " of " + survey.members() + " members"
                        + (survey.majority()
                                ? ""
                                : " answer; nothing can be changed or confirmed before " + needed + " do"));
        context()
                .printLine("leader    " + (survey.leader() == null ? "none" : survey.leader()) + ", term "
                        + survey.term());
        context()
                .printLine("edition   " + (survey.edition() == 0 ? "none" : survey.edition())
                        + (survey.leader() == null ? ", the highest of those that answer" : ""));
        MeshStatus.Plane plane = survey.plane();
        context()
                .printLine("balancers "
                        + (plane == null
                                ? "not known without a leader"
                                : plane.known() + " known, " + plane.ready() + " ready"
                                        + (plane.complete() ? "" : "; the leader has just begun to hear of them")));
        context().printLine("");
        TextTable members = new TextTable("MEMBER", "NODE", "ZONE", "ROLE", "TERM", "COMMIT", "EDITION");
        for (CoreSurvey.Line line : survey.machines()) {
            MeshStatus status = line.status();
            if (status == null) {
                members.line(line.address(), null, null, "silent: " + line.error());
            } else {
                members.line(
                        status.control(),
                        status.node(),
                        status.zone(),
                        status.role(),
                        status.term(),
                        status.commit(),
                        status.edition());
            }
        }
        members.print(context());
        if (plane != null) {
            context().printLine("");
            TextTable services = new TextTable("SERVICE", "UPSTREAMS", "READY", "BERTHS");
            plane.services()
                    .forEach(service ->
                            services.line(service.name(), service.known(), service.ready(), service.berths()));
            services.print(context());
            printTruncation(plane.more());
        }
    }
}
