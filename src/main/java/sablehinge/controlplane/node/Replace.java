package sablehinge.controlplane.node;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.mesh.api.Asked;
import sablehinge.mesh.api.CallException;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.api.Headed;
import sablehinge.mesh.api.Reply;
import sablehinge.mesh.routing.Configuration;

/** An operator sends a configuration. */
final class Replace extends Headed<Replace.Replacement, Settled> {

    private final Authority authority;

    Replace(Authority authority) {
        super("POST", ControlRequest.CONFIG_REPLACE.path());
        this.authority = authority;
    }

    /** A configuration is to take the place of another. */
    record Replacement(long basedOn, byte[] body) {}

    @Override
    public Replacement read(Asked asked) {
        String basedOn = asked.headers().get("Sablehinge-Based-On");
        try {
            return new Replacement(Long.parseLong(String.valueOf(basedOn).strip()), asked.body());
        } catch (NumberFormatException e) {
            throw new CallException(400, "BASED_ON", "Sablehinge-Based-On is no version: " + basedOn);
        }
    }

    @Override
    public void carryOut(Replacement call, Consumer<Settled> answer) {
        authority
                .gate()
                .require(
                        authority.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> {
                            long term = authority.standing().term();
                            authority.check(() -> check(call, term, answer));
                        },
                        refusal -> answer.accept(Settled.elsewhere(refusal, path())));
    }

    /** On the thread beside: what is wrong with the body is so whoever is asked. */
    private void check(Replacement call, long term, Consumer<Settled> answer) {
        Settled refused;
        try {
            Configuration checked = ConfigurationCheck.check(call.body());
            ChangeCoordinator.Order order =
                    new ChangeCoordinator.Order(call.basedOn(), checked.edition(), BodyDigest.of(call.body()));
            authority.settle(() -> submit(order, call.body(), term, answer));
            return;
        } catch (CheckException e) {
            refused = new Settled(Reply.error(
                    400, e.code().name(), e.place(), e.problems().get(0).text()));
        } catch (RuntimeException e) {
            refused = Settled.error(500, "BROKEN", String.valueOf(e.getMessage()));
        }
        Settled settled = refused;
        authority.settle(() -> answer.accept(settled));
    }

    private void submit(ChangeCoordinator.Order order, byte[] body, long term, Consumer<Settled> answer) {
        if (authority.standing().term() != term) {
            // A copy that was sent elsewhere meanwhile may have been answered there.
            answer.accept(Settled.error(503, "NO_MAJORITY", "the core's leader has changed"));
            return;
        }
        authority
                .gate()
                .require(
                        authority.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> authority
                                .changes()
                                .submit(
                                        authority.now(),
                                        order,
                                        body,
                                        authority.timeOfDay(),
                                        verdict -> answer.accept(reply(order, verdict))),
                        refusal -> answer.accept(Settled.elsewhere(refusal, path())));
    }

    private Settled reply(ChangeCoordinator.Order order, ChangeCoordinator.Verdict verdict) {
        long current = authority.configurations().edition();
        return switch (verdict) {
            // An order that is repeated late was taken, and another edition may be in force by now.
            case TAKEN ->
                new Settled(Reply.of(200, ("{\"edition\":" + current + "}").getBytes(StandardCharsets.US_ASCII)));
            case STALE -> Settled.error(412, "STALE", "version " + current + " is in place, not " + order.basedOn());
            case OLD ->
                new Settled(Reply.error(
                        400,
                        CheckException.Code.OLD_EDITION.name(),
                        "/edition",
                        "edition " + order.edition() + " is not above " + current));
            case AHEAD ->
                Settled.error(
                        503,
                        "AHEAD",
                        "version " + order.basedOn() + " is not in place yet; the same call may be made again");
            case UNCLEAR ->
                Settled.error(503, "NO_MAJORITY", "no majority has answered; the same call may be made again");
        };
    }

    @Override
    public Reply write(Settled answer) {
        return answer.reply();
    }
}
