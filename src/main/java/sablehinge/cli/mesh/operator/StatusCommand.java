package sablehinge.cli.mesh.operator;

import com.github.rvesse.airline.annotations.Command;
import java.util.stream.Collectors;
import sablehinge.controlplane.api.MeshStatus;

/** Tells how the core stands. */
@Command(
        name = "status",
        description = "Tells who leads the core, which members answer and whether that is "
                + "a majority, the edition in force, and what is on the roll. Asks each machine for itself, and so "
                + "works with a part of the core too")
public final class StatusCommand extends CoreCommand {

    /** Made by the command line. */
    public StatusCommand() {}

    @Override
    int run() throws InterruptedException {
        CoreSurvey survey = CoreSurvey.take(core(), caller());
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
        shell().say("core      " + (survey.majority() ? "a majority answers: " : "NO MAJORITY: ")
                + survey.answering() + " of " + survey.members() + " members"
                + (survey.majority() ? "" : " answer; nothing can be changed or confirmed before " + needed + " do"));
        shell().say("leader    " + (survey.leader() == null ? "none" : survey.leader()) + ", term " + survey.term());
        shell().say("edition   " + (survey.edition() == 0 ? "none" : survey.edition())
                + (survey.leader() == null ? ", the highest of those that answer" : ""));
        MeshStatus.Plane plane = survey.plane();
        shell().say("balancers "
                + (plane == null
                        ? "not known without a leader"
                        : plane.known() + " known, " + plane.ready() + " ready"
                                + (plane.complete() ? "" : "; the leader has just begun to hear of them")));
        shell().say("");
        TextTable core = new TextTable("MEMBER", "NODE", "ZONE", "ROLE", "TERM", "COMMIT", "EDITION");
        for (CoreSurvey.Line line : survey.machines()) {
            MeshStatus status = line.status();
            if (status == null) {
                core.line(line.address(), null, null, "silent: " + line.error());
            } else {
                core.line(
                        status.control(),
                        status.node(),
                        status.zone(),
                        status.role(),
                        status.term(),
                        status.commit(),
                        status.edition());
            }
        }
        core.print(shell());
        if (plane != null) {
            shell().say("");
            TextTable services = new TextTable("SERVICE", "UPSTREAMS", "READY", "BERTHS");
            plane.services().forEach(one -> services.line(one.name(), one.known(), one.ready(), one.berths()));
            services.print(shell());
            left(plane.more());
        }
    }
}
