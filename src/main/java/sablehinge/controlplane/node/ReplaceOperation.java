package sablehinge.controlplane.node;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.CallException;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.api.HttpOperation;
import sablehinge.mesh.routing.Configuration;

/** An operator sends a configuration. */
final class ReplaceOperation extends HttpOperation<ReplaceOperation.ReplaceRequest, CallOutcome> {

    private final CallContext context;

    ReplaceOperation(CallContext context) {
        super("POST", ControlRequest.CONFIG_REPLACE.path());
        this.context = context;
    }

    /** A configuration is to take the place of another. */
    record ReplaceRequest(long basedOn, byte[] body) {}

    @Override
    public ReplaceRequest read(ApiRequest request) {
        String basedOn = request.headers().get("Sablehinge-Based-On");
        try {
            return new ReplaceRequest(Long.parseLong(String.valueOf(basedOn).strip()), request.body());
        } catch (NumberFormatException e) {
            throw new CallException(400, "BASED_ON", "Sablehinge-Based-On is no version: " + basedOn);
        }
    }

    @Override
    public void execute(ReplaceRequest call, Consumer<CallOutcome> answer) {
        context.gate()
                .require(
                        context.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> {
                            long term = context.raftStatus().term();
                            context.runOffLoop(() -> check(call, term, answer));
                        },
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    /** On the checks' thread: an invalid body is invalid whichever member checks it. */
    private void check(ReplaceRequest call, long term, Consumer<CallOutcome> answer) {
        CallOutcome refused;
        try {
            Configuration checked = ConfigurationCheck.check(call.body());
            ChangeCoordinator.Order order =
                    new ChangeCoordinator.Order(call.basedOn(), checked.edition(), BodyDigest.of(call.body()));
            context.runOnLoop(() -> submit(order, call.body(), term, answer));
            return;
        } catch (CheckException e) {
            refused = new CallOutcome(ApiResponse.error(
                    400, e.code().name(), e.place(), e.problems().get(0).text()));
        } catch (RuntimeException e) {
            refused = CallOutcome.error(500, "BROKEN", String.valueOf(e.getMessage()));
        }
        CallOutcome outcome = refused;
        context.runOnLoop(() -> answer.accept(outcome));
    }

    private void submit(ChangeCoordinator.Order order, byte[] body, long term, Consumer<CallOutcome> answer) {
        if (context.raftStatus().term() != term) {
            // A copy that was sent elsewhere meanwhile may have been answered there.
            answer.accept(CallOutcome.error(503, "NO_MAJORITY", "the core's leader has changed"));
            return;
        }
        context.gate()
                .require(
                        context.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> context.changes()
                                .submit(
                                        context.now(),
                                        order,
                                        body,
                                        context.timeOfDay(),
                                        verdict -> answer.accept(reply(order, verdict))),
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    private CallOutcome reply(ChangeCoordinator.Order order, ChangeCoordinator.Verdict verdict) {
        long current = context.configurations().edition();
        return switch (verdict) {
            // An order that is repeated late was taken, and another edition may be in force by now.
            case TAKEN ->
                new CallOutcome(
                        ApiResponse.of(200, ("{\"edition\":" + current + "}").getBytes(StandardCharsets.US_ASCII)));
            case STALE ->
                CallOutcome.error(412, "STALE", "version " + current + " is in place, not " + order.basedOn());
            case OLD ->
                new CallOutcome(ApiResponse.error(
                        400,
                        CheckException.Code.OLD_EDITION.name(),
                        "/edition",
                        "edition " + order.edition() + " is not above " + current));
            case AHEAD ->
                CallOutcome.error(
                        503,
                        "AHEAD",
                        "version " + order.basedOn() + " is not in place yet; the same call may be made again");
            case UNCLEAR ->
                CallOutcome.error(503, "NO_MAJORITY", "no majority has answered; the same call may be made again");
        };
    }

    @Override
    public ApiResponse write(CallOutcome answer) {
        return answer.reply();
    }
}
